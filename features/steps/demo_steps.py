from behave import then, when

from features.subjects.demo import DemoSubject


@when("the demonstration runs")
def step_run(context):
    context.subject = DemoSubject()


@then("it exits with exit code {code:d}")
def step_code(context, code):
    assert context.subject.done.returncode == code, context.subject.done.stderr


@then("its lines equal those of the README, except for ports and seconds")
def step_lines(context):
    subject = context.subject
    expected, printed = subject.read_expected(), subject.mask(subject.done.stdout)
    assert expected == printed, f"README:\n{expected}\nprinted:\n{printed}"
