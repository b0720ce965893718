import io
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from burdockwall.cmdline import cli
from burdockwall.errors import OperatorError
from burdockwall.trace.explanation import explain
from burdockwall.trace.lines import read_entries
from features.subjects.trace import NAMES, build_collected, write_logs


@given("logs of two entry instances and a leader that changed")
def step_logs(context):
    with tempfile.TemporaryDirectory() as folder:
        context.entries = read_entries(write_logs(Path(folder)), io.StringIO())


@given("logs whose lines begin with a time and the instance's name")
def step_collected(context):
    context.entries = read_entries([], io.StringIO(build_collected()))


@when("{what} is traced")
def step_trace(context, what):
    context.explanation = explain(context.entries, NAMES[what])


@then('the verdict says "{text}"')
def step_verdict(context, text):
    assert text in context.explanation.verdict, context.explanation.verdict


@then('the lines are in order and name "{message}"')
def step_order(context, message):
    entries = [event.entry for event in context.explanation.events]
    assert entries == sorted(entries, key=lambda entry: entry.time)
    assert message in {entry.message for entry in entries}


@then('a line says "{text}"')
def step_line(context, text):
    lines = [event.text for event in context.explanation.events]
    assert any(text in line for line in lines), lines


@then('the lines come from "{names}"')
def step_instances(context, names):
    instances = {
        event.entry.instance
        for event in context.explanation.events
        if event.entry.channel == "front"
    }
    assert sorted(instances) == names.split(", "), instances


def run_trace(text, *arguments):
    result = CliRunner().invoke(cli, ["trace", *arguments], input=text)
    assert isinstance(result.exception, OperatorError), result.output
    return result.exception.code.value.number


@then("a file without log lines is refused with code {code:d}")
def step_unreadable(context, code):
    assert run_trace("{no log\n{neither\n", "r") == code


@then("an id that no line names is refused with code {code:d}")
def step_unknown(context, code):
    assert run_trace(build_collected(), "never") == code
