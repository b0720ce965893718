from behave import given, then, when

from burdockwall.connection.wire import Acknowledgement, Envelope
from features.subjects.contained_messages import FAR, ContainedMessages, Reading


@given("an instance that sends messages to another")
def step_instances(context):
    context.subject = ContainedMessages()


@when("it sends the messages 1, 2 and 3, of which 2 can't be encoded")
def step_unencodable(context):
    context.subject.run(context.subject.send_unencodable)


@when("the other answers 1, 2 and 3 at once, of which the answer to 2 can't be encoded")
def step_unencodable_answer(context):
    context.subject.run(context.subject.answer_unencodable)


@when("it sends the messages 1, 2 and 3, and the handling of 2 raises")
def step_raise(context):
    context.subject.run(context.subject.raise_in_handling)


@when("it sends a batch that is nested too deep, and then the message 3")
def step_nested(context):
    context.subject.run(context.subject.send_unreadable)


@when("the other's acknowledgements can't be read for {seconds:g} s")
def step_garble(context, seconds):
    subject = context.subject
    subject.run(lambda: subject.garble_acknowledgements(seconds))


@then('the messages "{expected}" arrive over one connection')
def step_arrive(context, expected):
    subject = context.subject
    assert subject.arrived == [int(item) for item in expected.split()], subject.arrived
    assert subject.replacements == 0, subject.replacements


@then('the answers "{expected}" arrive over one connection')
def step_answers(context, expected):
    subject = context.subject
    wanted = [int(item) for item in expected.split()]
    assert subject.answered == wanted, subject.answered
    assert subject.replacements == 0, subject.replacements


@then("the error is counted once at the receiver")
def step_counted(context):
    assert context.subject.buses[FAR].failures.count == 1


@then("messages arrive again afterwards")
def step_again(context):
    assert 99 in context.subject.arrived, context.subject.arrived


@when("a batch of 3 messages is read, of which the second {fault}")
def step_read_batch(context, fault):
    context.subject = Reading()
    context.subject.read(Envelope, fault)


@when("an acknowledgement of 3 messages is read, of which the second {fault}")
def step_read_acknowledgement(context, fault):
    context.subject = Reading()
    context.subject.read(Acknowledgement, fault)


@then("the first and the third are read")
def step_others(context):
    assert context.subject.nonces == [1, 3], context.subject.nonces


@when("{count:d} changed batches are read, with seed {seed:d}")
def step_changed(context, count, seed):
    context.subject = Reading()
    context.subject.read_changed(count, seed)


@then("no other error came of it")
def step_no_error(context):
    assert not context.subject.errors, context.subject.errors[:5]
