from behave import given, then, when

from features.subjects.peers import ARRIVAL_LIMIT_S, PeersSubject


@given("two instances that exchange messages over a path")
def step_peers(context):
    context.subject = PeersSubject()


@when("their open connection goes silent and messages are sent on")
def step_silence(context):
    context.subject.run(context.subject.silence)


@when("the listening instance restarts and messages are sent on")
def step_restart(context):
    context.subject.run(context.subject.restart)


@then("a message arrives over a fresh connection within the silence bound")
def step_arrives(context):
    subject = context.subject
    assert subject.replaced >= 1
    assert subject.seconds < ARRIVAL_LIMIT_S, subject.seconds
