import anyio
import logbook
from behave import given, then, when

from burdockwall.fakes.site import wait_for_version
from features.subjects.path import PathSubject, create_interrupting_plan


@given("a running site")
def step_site(context):
    context.subject = PathSubject()


@given("a running site whose engine interrupts streams after {count:d} tokens")
def step_interrupting_site(context, count):
    context.subject = PathSubject(create_interrupting_plan(count))


@when("a caller sends {count:d} turns of one program")
def step_send_turns(context, count):
    subject = context.subject
    subject.run(lambda site, client: subject.send_turns(client, count))


@when("a caller sends a turn without a key")
def step_send_without_key(context):
    subject = context.subject

    async def act(site, client):
        subject.refusal = await subject.post_turn(client, {}, "question")

    subject.run(act)


@when("the caller's key is withdrawn and a turn is sent")
def step_withdraw(context):
    subject = context.subject

    async def act(site, client):
        await subject.send_turns(client, 1)
        withdraw = site.operator.withdraw_key
        outcome = await anyio.to_thread.run_sync(withdraw, subject.key)
        await wait_for_version(site.node, outcome.version)
        headers = subject.build_headers(2)
        subject.refusal = await subject.post_turn(client, headers, "question")

    subject.run(act)


@when("a caller sends a filing with the key in every place")
def step_file(context):
    subject = context.subject

    async def act(site, client):
        headers = {
            "authorization": f"Bearer {subject.key}",
            "x-api-key": subject.key,
            "cookie": f"key={subject.key}; other={subject.key}",
            "x-other": subject.key,
            "accept": subject.key,
        }
        path = f"/filings?key={subject.key}&other={subject.key}&kind=a"
        headers["idempotency-key"] = "filing-1"
        response = await client.post(path, headers=headers, content=b"filing")
        assert response.status_code == 200, response.text
        await subject.send_turns(client, 1)
        await subject.misplace_key(client)

    subject.run(act)


@when("a caller sends turn {turn:d} of a new program")
def step_send_turn(context, turn):
    subject = context.subject

    async def act(site, client):
        headers = subject.build_headers(turn)
        subject.refusal = await subject.post_turn(client, headers, "question")

    subject.run(act)


@then("each answer is what the engine makes of the whole history")
def step_check_answers(context):
    assert context.subject.answers == context.subject.compute_expected()


@then("the audit trail verifies")
def step_check_audit(context):
    assert context.subject.audit_is_valid


@then('the refusal has code {code:d} and says "{ran}"')
def step_check_refusal(context, code, ran):
    refusal = context.subject.refusal
    assert refusal.json()["error"]["code"] == code, refusal.text
    assert refusal.headers["burdockwall-code"] == str(code)
    assert refusal.headers["burdockwall-ran"] == ran


@then("no endpoint has seen the key")
def step_check_key(context):
    key = context.subject.key.encode()
    assert context.subject.seen
    assert not [data for data in context.subject.seen if key in data]


@when("a caller without a key uses the route open to all")
def step_open(context):
    subject = context.subject

    async def act(site, client):
        subject.refusal = await client.get("/stock/filters")

    subject.run(act)


@then("the call without a key is answered")
def step_open_answered(context):
    assert context.subject.refusal.status_code == 200, context.subject.refusal.text


@when("a caller sends {count:d} turns of one program and the log is recorded")
def step_log(context, count):
    subject = context.subject
    with logbook.TestHandler(level=logbook.DEBUG) as handler:
        subject.run(lambda site, client: subject.send_turns(client, count))
        records = [f"{item.message} {item.extra}" for item in handler.records]
    context.log = "\n".join(records)


@then("the log names the program and holds neither key nor prompt")
def step_log_clean(context):
    assert "program-1" in context.log
    assert context.subject.key not in context.log
    assert "question 1" not in context.log


@when('a caller requests the priority classes "{first}" and "{second}" and "{third}"')
def step_classes(context, first, second, third):
    subject = context.subject

    async def act(site, client):
        for number, name in enumerate((first, second, third), 1):
            headers = subject.build_headers(1)
            headers |= {"program-id": f"class-{number}", "program-priority": name}
            subject.refusal = await subject.post_turn(client, headers, "question")

    subject.run(act)


@then('the engine receives "{first}" and "{second}" and the third is refused')
def step_classes_received(context, first, second):
    received = [
        line.removeprefix(b"priority: ").decode()
        for data in context.subject.seen
        for line in data.splitlines()
        if line.startswith(b"priority: ")
    ]
    assert received == [first, second], received
    assert context.subject.refusal.headers["burdockwall-code"] == "1001"
