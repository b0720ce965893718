from behave import given, then, when

from features.subjects.upstream import (
    UpstreamSubject,
    feed_endless_event,
    read_endless_answer,
)


@given("an endpoint that answers with {answer}")
def step_endpoint(context, answer):
    context.subject = UpstreamSubject(answer)


@when("a request is sent to it")
def step_send(context):
    context.subject.run(1.0)


@then('the answer\'s body is "{body}" within {limit_s:d} s')
def step_body(context, body, limit_s):
    assert not context.subject.broken
    assert context.subject.body == body.encode(), context.subject.body


@then("the answer is broken within {limit_s:d} s")
def step_broken(context, limit_s):
    assert context.subject.broken, context.subject.body


@then("the connection is not used again")
def step_not_used(context):
    assert not context.subject.recycled


@then("the connection's user timeout is no shorter than its keep-alive probes take")
def step_user_timeout(context):
    subject = context.subject
    assert subject.probes_s > 1
    assert subject.user_timeout_s >= subject.probes_s, subject.user_timeout_s


@when("{count:d} MB of an event without end come from an endpoint")
def step_endless_event(context, count):
    context.fed_bytes = feed_endless_event(count * 1_000_000)


@then("the event is given up after at most {count:d} MB")
def step_given_up(context, count):
    assert context.fed_bytes <= count * 1_000_000, context.fed_bytes


@given("an endpoint of the own interface that answers with {answer} without end")
def step_endless(context, answer):
    context.answer = answer


@when("a pooled client reads at most {count:d} MB of its answer")
def step_read_endless(context, count):
    context.endless = read_endless_answer(context.answer, count * 1_000_000)


@then("the read has failed within {limit_s:g} s")
def step_read_failed(context, limit_s):
    assert context.endless.failed
    assert context.endless.seconds < limit_s, context.endless
