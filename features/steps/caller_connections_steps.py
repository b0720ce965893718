from behave import given, then, when

from burdockwall.process.web import WebOptions
from features.subjects.caller_connections import (
    LIMITS,
    CallerConnections,
    create_small_account,
)


@given("a server of callers")
def step_server(context):
    context.subject = CallerConnections()


@given("a server of callers with little room")
def step_small_server(context):
    options = WebOptions(get_limits=lambda: LIMITS, account=create_small_account())
    context.subject = CallerConnections(options)


@when('a caller sends "{what}"')
def step_send(context, what):
    context.subject.send(what)


@then("the answers have the statuses {statuses}, and the connection is {end}")
@then("the answers have the statuses , and the connection is {end}")
def step_check_answers(context, end, statuses=""):
    subject = context.subject
    expected = [int(status) for status in statuses.split()]
    assert subject.statuses == expected, subject.statuses
    assert subject.closed == (end == "closed"), end


@when("a caller stays idle, and another one never ends its head")
def step_race(context):
    context.subject.race()


@then("the head was closed first")
def step_check_race(context):
    assert context.subject.ended == ["head"], context.subject.ended


@when("a caller of HTTP/1.0 and one of HTTP/1.1 get answers that are broken off")
def step_break_off(context):
    context.subject.break_off()


@then("neither takes its answer for whole")
def step_check_broken(context):
    subject = context.subject
    assert subject.errors == ["ConnectionResetError"], subject.errors
    assert len(subject.bodies) == 1, subject.bodies
    assert b"chunked" in subject.bodies[0], subject.bodies
    assert not subject.bodies[0].endswith(b"0\r\n\r\n"), subject.bodies


@when("a caller asks for an answer that takes all room, and reads nothing")
def step_hold_room(context):
    context.subject.hold_room()


@then("another caller's large request is served")
def step_check_served(context):
    assert context.subject.served
