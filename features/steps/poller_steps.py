from behave import given, then, when

from features.subjects.poller import UNREADABLE, PollerSubject


@given("an endpoint whose first report comes late")
def step_slow(context):
    context.poller = PollerSubject(slow=True, status=200)


@given("an endpoint that has no reports")
def step_unsupported(context):
    context.poller = PollerSubject(slow=False, status=404)


@when("it is polled for {seconds:f} s")
def step_poll(context, seconds):
    context.poller.run(seconds)


@then("its later reports arrive")
def step_arrive(context):
    assert context.poller.reports, context.poller.requests


@then("it was asked for a report once")
def step_once(context):
    assert context.poller.load_requests == 1
    assert not context.poller.reports


@given("an endpoint whose reports are {fault}")
def step_unreadable(context, fault):
    context.poller = PollerSubject(False, 200, UNREADABLE[fault])


@then("it is asked again, and no report arrives")
def step_asked_again(context):
    assert context.poller.load_requests > 1
    assert not context.poller.reports
