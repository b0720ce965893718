import anyio
from behave import given, then, when

from burdockwall.request.completion import join_answer
from features.subjects.programs_http import ProgramsHttpSubject, get_code


@given("a site for programs")
def step_site(context):
    context.subject = ProgramsHttpSubject()


@given("a site for programs with an engine that loses {count:d} cancellations")
def step_losing_site(context, count):
    context.subject = ProgramsHttpSubject(cancels_to_refuse=count)


@when('a caller runs {count:d} turns of program "{program}" and reads it')
def step_run_and_read(context, count, program):
    subject = context.subject

    async def act():
        await subject.run_turns(program, count)
        subject.results["page"] = await subject.read(program)

    subject.add(act)


@then("the program page shows {count:d} turns, its history and what was spent")
def step_check_page(context, count):
    subject = context.subject
    subject.run()
    page = subject.results["page"].json()
    assert page["turn"] == count and page["state"] == "active", page
    assert page["spent"]["calls"] == count and page["reserved"]["calls"] == 0, page
    answers = [item["content"] for item in page["history"][1::2]]
    assert answers == subject.answers["p1"], page
    tokens = sum(len(answer.split()) for answer in answers)
    assert page["spent"]["tokens"] == tokens, page


@when(
    'a caller runs {count:d} turns of program "{program}" '
    'and {more:d} of its sub-agent "{child}"'
)
def step_run_child(context, count, program, more, child):
    subject = context.subject

    async def act():
        await subject.run_turns(program, count)
        await subject.run_turns(child, more)

    subject.add(act)


@when('the caller cancels program "{program}"')
def step_cancel(context, program):
    subject = context.subject
    subject.add(lambda: subject.cancel(program))


@then(
    'a further turn of programs "{first}" and "{second}" is refused with code {code:d}'
)
def step_check_ended(context, first, second, code):
    subject = context.subject

    async def act():
        for program in (first, second):
            response = await subject.post_turn(program, 2)
            assert get_code(response) == code, response.text
            page = (await subject.read(program)).json()
            assert page["state"] == "ended" and page["reason"] == "cancelled", page

    subject.add(act)
    subject.run()


@when('another customer reads programs "{first}" and "{second}"')
def step_read_other(context, first, second):
    subject = context.subject

    async def act():
        key = await subject.issue_other_key()
        subject.results["pages"] = [
            await subject.read(program, key) for program in (first, second)
        ]

    subject.add(act)


@then("both readings of programs got the same refusal with code {code:d}")
def step_check_same_refusal(context, code):
    subject = context.subject
    subject.run()
    first, second = subject.results["pages"]
    assert first.status_code == second.status_code == 404
    assert first.content == second.content, (first.text, second.text)
    assert get_code(first) == code


@when(
    'a caller runs {count:d} turns of program "{program}" '
    "and sends turn {number:d} again"
)
def step_repeat(context, count, program, number):
    subject = context.subject

    async def act():
        await subject.run_turns(program, count)
        # Without the stored stream, the answer must come from the program's record.
        subject.site.node.entry.parts.streams._streams.clear()
        response = await subject.post_turn(program, number)
        assert response.status_code == 200, response.text
        subject.results["again"] = join_answer(response.content)

    subject.add(act)


@then("the repeated turn has the stored answer and the engine ran {count:d} turns")
def step_check_repeat(context, count):
    subject = context.subject

    async def act():
        assert subject.results["again"] == subject.answers["p1"][-1]
        assert sum(subject.site.engines[0].request_counts.values()) == count

    subject.add(act)


@then("turn {number:d} with another body is refused with code {code:d}")
def step_check_other_body(context, number, code):
    subject = context.subject

    async def act():
        response = await subject.post_turn("p1", number, "another question")
        assert get_code(response) == code, response.text

    subject.add(act)
    subject.run()


@when(
    'a caller with a budget of {calls:d} calls runs program "{program}" '
    "until it is refused"
)
def step_run_budget(context, calls, program):
    subject = context.subject

    async def act():
        number = 0
        response = None
        while response is None or response.status_code == 200:
            number += 1
            response = await subject.post_turn(program, number, budget_calls=str(calls))
        subject.results["refused"] = (number - 1, response)
        subject.results["page"] = await subject.read(program)

    subject.add(act)


@then("the program was refused after {count:d} turns with code {code:d} and has ended")
def step_check_budget(context, count, code):
    subject = context.subject
    subject.run()
    turns, response = subject.results["refused"]
    assert turns == count and get_code(response) == code, response.text
    page = subject.results["page"].json()
    assert page["state"] == "ended" and page["reason"] == "budget spent", page


@when('a caller files twice with the idempotency key "{key}"')
def step_file_twice(context, key):
    subject = context.subject

    async def act():
        subject.results["filings"] = [await subject.file(key) for _ in range(2)]

    subject.add(act)


@then("both filings have one outcome and the service ran once")
def step_check_filings(context):
    subject = context.subject

    async def act():
        first, second = subject.results["filings"]
        assert first.status_code == second.status_code == 200, first.text
        assert first.content == second.content
        assert subject.site.service.run_counts["k1"] == 1, (
            subject.site.service.run_counts
        )

    subject.add(act)


@then('the idempotency key "{key}" with another body is refused with code {code:d}')
def step_check_conflict(context, key, code):
    subject = context.subject

    async def act():
        response = await subject.file(key, b"another certificate")
        assert get_code(response) == code, response.text

    subject.add(act)
    subject.run()


@then("an idempotency key of {length:d} characters is refused as malformed")
def step_check_long_key(context, length):
    subject = context.subject

    async def act():
        response = await subject.file("k" * length)
        assert response.status_code == 400, response.text

    subject.add(act)
    subject.run()


@when('a turn of program "{program}" is superseded while it runs')
def step_supersede(context, program):
    subject = context.subject

    async def act():
        engine = subject.site.engines[0]
        engine.token_s = 0.3
        async with anyio.create_task_group() as group:

            async def send_first():
                subject.results["first"] = await subject.post_turn(program, 1)

            group.start_soon(send_first)
            await subject.wait_until(lambda: engine.request_counts)
            subject.results["request"] = next(iter(engine.request_counts))
            engine.token_s = 0.001
            subject.results["second"] = await subject.post_turn(
                program, 1, "newer question", supersedes=program
            )

    subject.add(act)


@then("the engine has cancelled the superseded turn")
def step_check_cancelled(context):
    subject = context.subject

    async def act():
        reports = subject.site.engines[0].reports
        request = subject.results["request"]
        await subject.wait_until(lambda: request in reports.cancelled_requests)
        assert b"1211" in subject.results["first"].content, subject.results["first"]

    subject.add(act)


@then("the superseding turn has its answer")
def step_check_superseding(context):
    subject = context.subject

    async def act():
        assert subject.results["second"].status_code == 200
        answer = join_answer(subject.results["second"].content)
        page = (await subject.read("p1")).json()
        contents = [item["content"] for item in page["history"]]
        assert contents == ["newer question", answer], page

    subject.add(act)
    subject.run()


@when('a caller runs {count:d} turns of program "{program}" and cancels it')
def step_run_cancel(context, count, program):
    subject = context.subject

    async def act():
        await subject.run_turns(program, count)
        assert subject.site.engines[0].reports.cached_tokens
        await subject.cancel(program)

    subject.add(act)


@then("the engine has no cache of a program")
def step_check_cache(context):
    subject = context.subject

    async def act():
        reports = subject.site.engines[0].reports
        await subject.wait_until(lambda: not reports.cached_tokens)

    subject.add(act)
    subject.run()


@when("an engine has a request and a cache of a program that has ended")
def step_leave_request_and_cache(context):
    subject = context.subject

    async def act():
        await subject.run_turns("live", 1)
        reports = subject.site.engines[0].reports
        subject.results["live"] = list(reports.cached_tokens)
        reports.cached_tokens["p-7.dead"] = 100
        subject.results["scope"] = anyio.CancelScope()
        reports.open_requests["7.dead"] = subject.results["scope"]

    subject.add(act)


@then("the sweep has cancelled the request and released the cache")
def step_check_sweep(context):
    subject = context.subject

    async def act():
        reports = subject.site.engines[0].reports
        await subject.wait_until(lambda: "p-7.dead" not in reports.cached_tokens)
        await subject.wait_until(lambda: "7.dead" in reports.cancelled_requests)
        assert subject.results["scope"].cancel_called
        # The cache of an active program is not released.
        await anyio.sleep(1.5)
        assert list(reports.cached_tokens) == subject.results["live"]

    subject.add(act)
    subject.run()


@when('the answer to a filing with the idempotency key "{key}" is lost')
def step_lose_answer(context, key):
    subject = context.subject

    async def act():
        service = subject.site.service
        service.delay_s = 5.0
        subject.results["lost"] = await subject.file(key)
        assert get_code(subject.results["lost"]) == 1224, subject.results["lost"].text

    subject.add(act)


@then('the operator sees the unknown outcome of key "{key}" with its body')
def step_check_unknown(context, key):
    subject = context.subject

    async def act():
        items = []
        with anyio.fail_after(15):
            while not items:
                page = await subject.call_operator("GET", "/unknowns")
                items = page.json()["items"]
                await anyio.sleep(0.2)
        assert len(items) == 1 and key in items[0], items
        subject.results["unknown"] = items[0]

    subject.add(act)


@then('after it is settled as run the key "{key}" is refused with code {code:d}')
def step_settle(context, key, code):
    subject = context.subject

    async def act():
        body = {
            "operator": "anna",
            "customer": "association",
            "route": "file",
            "key": key,
            "ran": True,
            "note": "seen at the insurer",
        }
        settled = await subject.call_operator("POST", "/unknowns/settle", body)
        assert settled.status_code == 200, settled.text
        response = await subject.file(key)
        assert get_code(response) == code, response.text

    subject.add(act)


@then("the service of programs ran once")
def step_check_once(context):
    subject = context.subject

    async def act():
        assert subject.site.service.run_counts["k1"] == 1, (
            subject.site.service.run_counts
        )

    subject.add(act)
    subject.run()


@when('a caller runs {count:d} turns of program "{program}" and files once in it')
def step_run_tool(context, count, program):
    subject = context.subject

    async def act():
        await subject.run_turns(program, count)
        headers = subject.build_headers(idempotency_key="k1", program_id=program)
        filed = await subject.client.post("/filings", headers=headers, content=b"c")
        assert filed.status_code == 200, filed.text
        subject.results["page"] = await subject.read(program)

    subject.add(act)


@then("the program page shows {count:d} calls spent")
def step_check_calls(context, count):
    subject = context.subject
    subject.run()
    page = subject.results["page"].json()
    assert page["spent"]["calls"] == count, page
    assert page["reserved"]["calls"] == 0, page
