from behave import given, then, when

from features.subjects.answer_ends import (
    EVENTS,
    HEAD,
    OWN,
    CutAnswers,
    PlainAnswers,
    relay_answer,
)
from features.subjects.upstream import call_endpoint

LARGE_BYTES = 20_000_000
LENGTH = b"Content-Length: 2\r\n"
# None of these is an answer that may be passed on.
WRONG_ANSWERS = {
    "success and no event": HEAD + b"Content-Length: 0\r\n\r\n",
    "success and a text without events": HEAD + LENGTH + b"\r\n{}",
    "a length and chunks": HEAD
    + LENGTH
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "two lengths": HEAD + LENGTH + b"Content-Length: 3\r\n\r\nok",
    "a negative length": HEAD + b"Content-Length: -2\r\n\r\nok",
    "a length of 20 MB": HEAD
    + b"Content-Length: %d\r\n\r\n" % LARGE_BYTES
    + b"x" * LARGE_BYTES,
    "a head of 80 KB": HEAD + b"X-More: " + b"x" * 80_000,
    "busy, without saying that it has not run": b"HTTP/1.1 503 Busy\r\n"
    + OWN
    + LENGTH
    + b"\r\nno",
    "a refusal that is cut": b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
    + OWN
    + b"Content-Length: 3\r\n\r\nno",
}


INVALID_STATUSES = ("000", "099", "600", "999")
WRONG_ANSWERS |= {
    f"status {status}": b"HTTP/1.1 %s No\r\n" % status.encode()
    + OWN
    + LENGTH
    + b"\r\nno"
    for status in INVALID_STATUSES
}


@given("a {kind} of an unrepeatable request with {framing}")
def step_framing(context, kind, framing):
    context.subject = CutAnswers(framing, kind)


@when("it is cut at each byte, by a close and by a reset")
def step_cut(context):
    context.subject.run()


@then("no caller saw other bytes, a false end, or that the request has not run")
def step_no_faults(context):
    faults = context.subject.faults
    assert not faults, f"{len(faults)}: {faults[:3]}"


@given("endpoints that answer a {kind} with {answer}")
def step_wrong(context, kind, answer):
    context.subject = PlainAnswers(kind)
    context.wrong = WRONG_ANSWERS[answer]


@when("a caller asks for it")
def step_ask(context):
    context.view, context.asked = context.subject.ask(context.wrong, context.wrong)


@then("the caller gets {status:d}, and one endpoint was asked once")
def step_status(context, status):
    assert context.view.status == status, context.view
    assert sorted(context.asked) == [0, 1], context.asked


@given("two endpoints, of which the first breaks a stream off after each byte")
def step_broken_stream(context):
    context.subject = PlainAnswers("stream")
    context.error = b"HTTP/1.1 500 Fault\r\n" + OWN + b"Content-Length: 5\r\n\r\nfault"


@when("callers ask for it")
def step_ask_all(context):
    data = HEAD + b"Content-Length: 99\r\n\r\n" + b"".join(EVENTS)
    context.views = [
        context.subject.ask(data[:cut], context.error)[0] for cut in range(len(data))
    ]


@then("no caller got a byte of the second endpoint's answer")
def step_no_byte(context):
    whole = b"".join(EVENTS)
    for view in context.views:
        assert view.status in (200, 502), view
        assert view.status != 200 or whole.startswith(view.body), view
        assert view.status != 200 or not view.whole, view


@given("a peer that answers a relayed request with status {status}")
def step_peer(context, status):
    context.wrong = WRONG_ANSWERS[f"status {status}"]


@when("a caller's request is relayed to it")
def step_relay(context):
    context.view = relay_answer(context.wrong)


@then("the caller of the relayed request gets 502")
def step_relayed(context):
    assert context.view.status == 502, context.view


@given("an endpoint of the own interface that answers with status {status}")
def step_own_status(context, status):
    context.answer = WRONG_ANSWERS[f"status {status}"].replace(OWN, b"")


@when("a pooled client calls it")
def step_own_call(context):
    context.status = call_endpoint(context.answer)


@then("the call has failed without an answer")
def step_own_failed(context):
    assert context.status is None, context.status
