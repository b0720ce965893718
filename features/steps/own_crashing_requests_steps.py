from behave import given, then, when

from features.subjects.own_crashing_requests import CrashingEngines


@given("six engines that crash on a question")
def step_engines(context):
    context.crashing = CrashingEngines()


@when("the question is asked {deadly:d} times, and then {others:d} others are")
def step_ask(context, deadly, others):
    context.deadly, context.others = deadly, others
    context.crashing.ask(deadly, others)


@then("at most {most:d} engines crashed")
def step_crashes(context, most):
    assert 3 <= context.crashing.crashes <= most, context.crashing.crashes


@then(
    "the last {count:d} of the deadly answers are {status:d} with code {code:d} and no "
    "time to come back"
)
def step_refused(context, count, status, code):
    deadly = context.crashing.answers[: context.deadly]
    for answer in deadly[-count:]:
        assert (answer.status, answer.code) == (status, code), deadly
        assert answer.retry_after is None, answer


@then("the others are answered")
def step_answered(context):
    others = context.crashing.answers[context.deadly :]
    assert len(others) == context.others
    assert all(item.status == 200 for item in others), others
