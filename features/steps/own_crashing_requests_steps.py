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


@given("a service that crashes on a call")
def step_service(context):
    context.crashing = CrashingEngines()


@when("the call comes {count:d} times, each {kind}, and then another one comes")
def step_call(context, count, kind):
    context.crashing.call(count, unrepeatable=kind == "with a key of its own")


@then("the service crashed {count:d} times")
def step_service_crashes(context, count):
    assert context.crashing.crashes == count, context.crashing.answers


@then("the last deadly call is refused with code {code:d}, and the other is answered")
def step_last_call(context, code):
    *_, deadly, other = context.crashing.answers
    assert (deadly.status, deadly.code) == (422, code), context.crashing.answers
    assert deadly.retry_after is None, deadly
    assert other.status == 200, context.crashing.answers
