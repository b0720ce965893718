from behave import given, then, when

from features.subjects.entry_input import EntryInputSubject, create_input_plan


@given("an entry site for faulty input")
def step_site(context):
    context.subject = EntryInputSubject(create_input_plan())


@given("an entry site for faulty input with {size:d} bytes of memory for bodies")
def step_bounded_site(context, size):
    context.subject = EntryInputSubject(create_input_plan(size))


def run(context, method, *arguments):
    async def act(site, client, path):
        await method(site, client, path, *arguments)

    context.subject.run(act)


@when('a caller sends a request that is "{fault}"')
def step_send(context, fault):
    run(context, context.subject.send_fault, fault)


@when('a caller opens a connection that is "{fault}"')
def step_open(context, fault):
    run(context, context.subject.open_fault, fault)


@when("{count:d} callers pause within bodies of more than {size:d} bytes")
def step_pause(context, count, size):
    run(context, context.subject.pause_in_bodies, count, size)


@when("{count:d} callers connect and stay idle")
def step_idle(context, count):
    run(context, context.subject.stay_idle, count)


@then("the faulty input is refused with code {code:d}")
def step_refused(context, code):
    (response,) = context.subject.responses
    assert response.headers["burdockwall-code"] == str(code), response.text
    assert response.headers["burdockwall-ran"] == "not run"


@then("a good request on another connection is answered")
def step_good(context):
    assert context.subject.good_status == 200, context.subject.good_status


@then("the connection ends within the idle bound")
def step_closed(context):
    assert context.subject.closed


@then("some of them are refused with code {code:d} and the memory is released")
def step_bounded(context, code):
    codes = {
        response.headers.get("burdockwall-code", "")
        for response in context.subject.responses
    }
    assert str(code) in codes, codes
    assert context.subject.body_bytes_after == 0
