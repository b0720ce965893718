from behave import given, then, when

from features.subjects.publisher import PublisherSubject


@given("a publisher whose state changes every {interval_s:f} s")
def step_publisher(context, interval_s):
    context.subject = PublisherSubject(interval_s)


@given("a follower that has reported the latest version")
def step_follower(context):
    context.subject.run(6.0)
    assert not context.subject.is_behind()


@when("the follower restarts and reports version 0")
def step_restart(context):
    context.subject.restart()


@when("every message to the follower is lost for {seconds:f} s")
def step_lose(context, seconds):
    subject = context.subject
    subject.lost_until = subject.now + seconds
    subject.run(seconds)
    assert subject.is_behind()


@then("it is up to date within {limit_s:f} s")
def step_up_to_date(context, limit_s):
    context.subject.run(limit_s)
    assert not context.subject.is_behind(), context.subject.replica.version
