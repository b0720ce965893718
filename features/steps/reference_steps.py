from pathlib import Path

from behave import then, when

from burdockwall.checks import check_files
from burdockwall.errors import Code
from burdockwall.process.reload import ReloadResult
from burdockwall.settings import Settings
from features.subjects.reference import ReferenceSubject
from tools.reference import find_stale_pages

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"
TEMPLATE = ROOT / "deploy" / "settings.ini"


@then("docs/ERRORS.md and docs/SETTINGS.md are what the code defines")
def step_pages(context):
    assert not find_stale_pages(), (
        f"run `python -m tools.reference`: {find_stale_pages()}"
    )


@then("every result code has a number of its own")
def step_numbers(context):
    numbers = ReferenceSubject().list_numbers()
    assert len(numbers) == len(set(numbers))


@then("no code whose retry is not useful has a status that gives a retry time")
def step_retry(context):
    for code in Code:
        if code.value.retry.value == "not useful":
            assert code.value.status not in (429, 503), code


@then("the settings class and the table of options have the same attributes")
def step_settings(context):
    subject = ReferenceSubject()
    assert subject.list_option_attributes() == subject.list_settings_attributes()


@then("each command of the command line has a page in docs/commands")
def step_commands(context):
    assert not ReferenceSubject().list_missing_pages()


@when("running settings are reloaded from a file with a fault and then without one")
def step_reload(context):
    context.subject = ReferenceSubject()
    context.subject.reload_twice()


@then("the first reload changes nothing and the second every setting that may change")
def step_reloaded(context):
    subject = context.subject
    assert len(subject.faults) == 1
    assert subject.after_fault == Settings()
    assert subject.reload == ReloadResult(("max_body_bytes",), ("caller_address",))
    assert subject.settings.max_body_bytes == 5000
    assert subject.settings.caller_address == Settings().caller_address


@when("a settings file with five faults is checked")
def step_faulty(context):
    context.subject = ReferenceSubject()
    context.subject.check_faulty()


@then("five faults are listed, each with its file, section, option and code")
def step_faults(context):
    lines = [str(fault) for fault in context.subject.faults]
    assert len(lines) == 5, lines
    assert all(line.startswith("2001 faulty.ini: [") for line in lines), lines


def list_options(text):
    """List the options of a settings file or its template, by section."""
    options, section = set(), ""
    for line in text.splitlines():
        if line.startswith("["):
            section = line.strip()
        elif " = " in line:
            name = line.split(" = ")[0].rpartition("}}")[2]
            options.add(f"{section} {name}")
    return options


@then("every file of examples/ passes the check")
def step_examples(context):
    context.examples = sorted(EXAMPLES.glob("*/*.ini"))
    assert len(context.examples) == 6
    for path in context.examples:
        assert check_files(path, None) == [], path


@then("each has the template's options, except for addresses and the data folder")
def step_template(context):
    expected = list_options(TEMPLATE.read_text())
    for path in context.examples:
        options = list_options(path.read_text())
        assert options <= expected, (path, options - expected)
        missing = {
            each for each in expected - options if not each.startswith("[listen]")
        }
        assert missing <= {"[instance] data_folder"}, (path, missing)
