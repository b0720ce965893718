from behave import then, when

from features.subjects.demo import DemoSubject


@when("the demonstration runs")
def step_run(context):
    context.subject = DemoSubject()


@then("it ends by itself with exit code {code:d}")
def step_code(context, code):
    assert context.subject.done.returncode == code, context.subject.done.stderr


@then("its lines are those of the README, but for ports and seconds")
def step_lines(context):
    subject = context.subject
    shown, printed = subject.read_shown(), subject.mask(subject.done.stdout)
    assert shown == printed, f"README:\n{shown}\nprinted:\n{printed}"
