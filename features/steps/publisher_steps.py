from behave import given, then, when

from features.subjects.publisher import (
    DocumentFollower,
    LargeFleet,
    PublisherSubject,
)


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


@given("a publisher and a follower with version 1 of a document of {size:d} bytes")
def step_document(context, size):
    context.follower = DocumentFollower(size)


@when("the follower misses {count:d} changes of the document and then reports")
def step_miss(context, count):
    context.follower.miss(count)


@then("it is sent the document once, and has the latest version")
def step_sent_once(context):
    follower = context.follower
    assert follower.replica.version == follower.state.version
    assert follower.sent_bytes < 1.5 * follower.size, follower.sent_bytes


@given(
    "a publisher of a fleet of {members:d} members whose state changes every "
    "{interval_s:f} s"
)
def step_large_fleet(context, members, interval_s):
    context.fleet = LargeFleet(members, interval_s)


@when("its followers report each {report_s:f} s for {seconds:d} s")
def step_run_fleet(context, report_s, seconds):
    context.fleet.run(seconds, report_s)


@then("no change is sent twice to a follower")
def step_once(context):
    sent = context.fleet.sent
    assert len(sent) > 1000
    assert len(sent) == len(set(sent)), len(sent) - len(set(sent))
