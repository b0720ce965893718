from behave import given, then, when

from features.subjects.endless_answers import (
    EndlessPeer,
    EndlessRead,
    measure_encoded_answer,
)

BYTES_PER_MB = 1_000_000
READ_LIMIT_BYTES = 1_048_576


@given("a server that answers without end")
def step_server(context):
    context.pause_s = 0.0


@given("a server that answers without end, a byte each {pause_s:g} s")
def step_slow_server(context, pause_s):
    context.pause_s = pause_s


@when("{reader} is read from it")
def step_read(context, reader):
    context.subject = EndlessRead(reader, context.pause_s)
    context.subject.run()


@then("the read has ended after at most {count:d} MB")
def step_ended(context, count):
    assert context.subject.ended
    sent = context.subject.server.sent
    assert sent <= count * BYTES_PER_MB, sent


@given("a peer that acknowledges a batch with a message of 2 GB")
def step_peer(context):
    context.subject = EndlessPeer()


@when("a message is sent to it")
def step_send(context):
    context.subject.run()


@then("it could send at most {count:d} MB")
def step_sent(context, count):
    sent = context.subject.sent
    assert sent <= count * BYTES_PER_MB, sent


@when("an answer is read whose {count:d} MB are encoded twice, in a few hundred bytes")
def step_encoded(context, count):
    size_bytes = count * BYTES_PER_MB
    context.peak = measure_encoded_answer(size_bytes, READ_LIMIT_BYTES)


@then("that took at most {count:d} MB of memory")
def step_memory(context, count):
    assert context.peak <= count * BYTES_PER_MB, context.peak
