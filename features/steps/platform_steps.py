import copy
import threading
import time

import anyio
import httpx
import msgspec
from behave import given, then, when

from features.subjects.planned_stop import PersistentCallers
from features.subjects.platform import (
    PlatformSite,
    build_configuration,
    build_routes,
    build_turn_headers,
)

BUDGET_TOKENS = 10_000
# Until when turns must be served again after all stores have lost power.
RECOVERY_S = 12.0


@given("a site with three control instances, three stores and two entry instances")
def step_site(context):
    context.site = PlatformSite()
    context.add_cleanup(context.site.close)
    context.site.start()


def number_request(context):
    context.requests = getattr(context, "requests", 0) + 1
    return f"{context.requests:016x}"


def send_request(context, method, path, key, instance=1):
    headers = {"x-request-id": number_request(context)}
    if key:
        headers["x-api-key"] = key
    return context.site.send_request(method, path, headers, instance=instance)


@when('a caller asks for "{path}" with the key "{key}"')
def step_ask(context, path, key):
    context.answer = send_request(context, "GET", path, key)


@when('a caller asks for "{path}" without a key')
def step_ask_without_key(context, path):
    context.answer = send_request(context, "GET", path, None)


@then('the answer is {status:d} "{body}" with the server\'s signature')
def step_answer(context, status, body):
    assert context.answer.status_code == status, context.answer
    assert context.answer.text == body
    assert context.answer.headers["x-server-stamp"].startswith("stamp-tool")


@then("the answer is {status:d}")
def step_status(context, status):
    assert context.answer.status_code == status, context.answer.text


@then('the server saw "{target}" for customer "{customer}" without the key')
def step_seen(context, target, customer):
    (request,) = [
        each for server in context.site.tools for each in server.received_requests
    ]
    assert request.target == target, request.target
    assert request.headers["x-tenant"] == customer
    assert request.headers["x-expect-instance"].startswith("tool-")
    assert 0 < int(request.headers["x-deadline-ms"]) <= 3000
    assert "x-api-key" not in request.headers
    assert "key-one" not in str(request)


@when('instance {number:d} starts anew and a caller asks it at once for "{path}"')
def step_ask_starting(context, number, path):
    headers = {"x-request-id": "early", "x-api-key": "key-one"}
    context.answer = context.site.restart_entry_and_ask(number, path, headers)


@given("the {which} tool server refuses {count:d} requests as not run")
def step_refuse(context, which, count):
    number = {"first": 0, "second": 1}[which]
    context.site.tools[number].refusals_left = count


@when('a caller sends {count:d} orders to "{path}" with the key "{key}"')
def step_orders(context, count, path, key):
    context.answers = [send_request(context, "POST", path, key) for _ in range(count)]


@given("the servers leave out their signatures")
def step_unsigned(context):
    for server in (*context.site.tools, *context.site.engines):
        server.signs = False


@when("the tool server that answered last leaves out its signature")
def step_last_unsigned(context):
    context.unsigned = find_answering(context)
    context.unsigned.signs = False
    context.asked_before = len(context.unsigned.received_requests)


@then("the unsigned answer came, and every answer is {status:d}")
def step_unsigned_came(context, status):
    assert len(context.unsigned.received_requests) > context.asked_before
    step_all_statuses(context, status)


@when('a caller sends {count:d} requests to "{path}" with the key "{key}"')
def step_requests(context, count, path, key):
    context.answers = [send_request(context, "GET", path, key) for _ in range(count)]


@then("every answer has a server's signature")
def step_all_signed(context):
    assert all("x-server-stamp" in answer.headers for answer in context.answers)


@given('a caller has received {count:d} answers from "{path}"')
def step_receive_answers(context, count, path):
    context.path = path
    for _ in range(count):
        context.answer = send_request(context, "GET", path, "key-one")
        assert context.answer.status_code == 200


def find_answering(context):
    stamp = context.answer.headers["x-server-stamp"]
    (answering,) = [tool for tool in context.site.tools if f"-{tool.name}-" in stamp]
    return answering


@when(
    "the tool server that answered last stops answering and {count:d} more requests "
    "are sent"
)
def step_silent(context, count):
    silent = find_answering(context)
    silent.silent = True
    context.answers, context.times = [], []
    for _ in range(count):
        started = time.monotonic()
        context.answers.append(send_request(context, "GET", context.path, "key-one"))
        context.times.append(time.monotonic() - started)
    assert silent.cancelled_count, "the silent server was never asked"


@then("no answer took longer than {limit_s:f} s")
def step_quick(context, limit_s):
    assert max(context.times) <= limit_s, context.times


@then("every answer is {status:d}")
def step_all_statuses(context, status):
    assert [answer.status_code for answer in context.answers] == [status] * len(
        context.answers
    )


@then("no order ran twice")
def step_ran_once(context):
    stamps = [answer.headers["x-server-stamp"] for answer in context.answers]
    assert len(set(stamps)) == len(stamps)


def run_turn(context, turn, previous, prompt, instance, budget=BUDGET_TOKENS):
    headers = build_turn_headers(turn, previous, budget)
    try:
        context.answer = context.site.send_request(
            "POST", "/chat/1", headers, prompt.encode(), instance
        )
    except httpx.RemoteProtocolError:
        context.answer = None


@when('a turn "{turn}" asks "{prompt}" at instance {instance:d}')
def step_turn(context, turn, prompt, instance):
    run_turn(context, turn, None, prompt, instance)


@when(
    'turn "{turn}" continues "{previous}" and asks "{prompt}" at instance {instance:d}'
)
def step_next_turn(context, turn, previous, prompt, instance):
    run_turn(context, turn, previous, prompt, instance)


@when(
    'turn "{turn}" continues "{previous}" and asks "{prompt}" at instance '
    "{instance:d} until it is not refused"
)
def step_next_turn_after_restart(context, turn, previous, prompt, instance):
    until = time.monotonic() + RECOVERY_S
    while True:
        run_turn(context, turn, previous, prompt, instance)
        assert context.answer is not None
        if context.answer.status_code != 503 or time.monotonic() > until:
            return
        time.sleep(float(context.answer.headers["retry-after"]))


@when(
    'turn "{turn}" with a budget of {budget:d} tokens asks "{prompt}" at instance '
    "{instance:d}"
)
def step_turn_within(context, turn, budget, prompt, instance):
    run_turn(context, turn, None, prompt, instance, budget)


@then("the turn is answered with {events:d} events")
def step_events(context, events):
    assert context.answer.status_code == 200, context.answer.text
    assert context.answer.text.count("\n\n") == events


@then('the engine was sent "{body}"')
def step_sent(context, body):
    received = context.site.engine.received_requests[-1].body.decode()
    answer = context.answer
    assert received == body.replace("\\n", "\n"), (
        received,
        answer.status_code if answer is not None else "cut off",
        answer.text if answer is not None else "",
    )


@then("the engine was sent nothing")
def step_sent_nothing(context):
    assert context.site.engine.received_requests == []


@when("every store loses power and starts again")
def step_restart_stores(context):
    context.site.restart_stores()


@given("the engine cuts its answers after {events:d} event")
def step_cut(context, events):
    context.site.engine.cut_after_events = events


@then("the turn's answer is cut off")
def step_cut_off(context):
    assert context.answer is None


@given("the engine takes {delay_s:f} s for each event")
def step_slow(context, delay_s):
    context.site.engine.delay_s = delay_s


@when("a caller disconnects {seconds:f} s after it has begun a turn")
def step_disconnect(context, seconds):
    headers = build_turn_headers("t1", None, BUDGET_TOKENS)
    address = context.site.entries[0].settings.caller_address
    with httpx.Client(trust_env=False) as client:
        request = client.build_request(
            "POST",
            f"http://{address}/chat/1",
            headers={"host": "site.example", **headers},
            content=b"one ",
        )
        timer = threading.Timer(seconds, client.close)
        timer.start()
        try:
            response = client.send(request, stream=True)
            time.sleep(seconds)
            response.close()
        except (httpx.HTTPError, RuntimeError):
            pass
        timer.cancel()


@then("the engine's request is cancelled within {limit_s:f} s")
def step_cancelled(context, limit_s):
    engine = context.site.engine
    assert context.site.wait_for(lambda: engine.cancelled_count > 0, limit_s)


@when('the operator sends configuration {version:d} without the route "{prefix}"')
def step_put_less(context, version, prefix):
    routes = [each for each in build_routes() if each["path-prefix"] != prefix]
    context.operator_answer = context.site.put_configuration(
        build_configuration(version, routes)
    )


@when("the operator sends configuration {version:d} with every route")
def step_put(context, version):
    context.operator_answer = context.site.put_configuration(
        build_configuration(version)
    )


@when("the operator reads the configuration")
def step_get(context):
    context.operator_answer = context.site.read_configuration()


@then("the operator's call is answered {status:d}")
def step_operator_answer(context, status):
    assert context.operator_answer.status_code == status, context.operator_answer.text


@then("the operator's call is answered {status:d} with version {version:d}")
def step_operator_answer_version(context, status, version):
    assert context.operator_answer.status_code == status, context.operator_answer.text
    assert context.operator_answer.json()["version"] == version


@then('"{path}" is answered {status:d} within {limit_s:d} s')
def step_answered(context, path, status, limit_s):
    def is_answered():
        statuses = [
            send_request(context, "GET", path, "key-one", n).status_code for n in (1, 2)
        ]
        return statuses == [status, status]

    assert context.site.wait_for(is_answered, limit_s)


def build_invalid_configuration(fault):
    configuration = copy.deepcopy(build_configuration(9))
    routes = configuration["routes"]
    match fault:
        case "a truncated text":
            return msgspec.json.encode(configuration)[:-20]
        case "an unknown service":
            routes[0]["service"] = "nobody"
        case "a duplicate prefix":
            routes[1]["path-prefix"] = routes[0]["path-prefix"]
        case "no weight":
            del routes[0]["service"]
            routes[0]["backends"] = [{"service": "tools", "weight": 0}]
        case "no time-out":
            routes[0]["timeout-ms"] = 0
        case "a shared key":
            configuration["tenants"][1]["api-keys"] = ["key-one"]
    return configuration


@when("the operator sends a configuration with {fault}")
def step_put_invalid(context, fault):
    context.operator_answer = context.site.put_configuration(
        build_invalid_configuration(fault)
    )


@when('the operator empties the store "{name}"')
def step_start_emptying(context, name):
    context.operator_answer = context.site.start_emptying(name)


@when("a fourth store is added")
def step_add_store(context):
    site = context.site
    site.call_in_loop(site.start_store, 4, False)

    def is_complete():
        return site.stores[-1].service.ledger.state.complete

    assert site.wait_for(is_complete, 10)


@then('the store "{name}" is empty within {limit_s:d} s')
def step_emptied(context, name, limit_s):
    assert context.site.wait_for(lambda: context.site.is_emptied(name), limit_s)


@when("instance {number:d} is stopped")
def step_stop_entry(context, number):
    context.site.stop_entry(number)


@then("the directory lists {count:d} instance within {limit_s:d} s")
@then("the directory lists {count:d} instances within {limit_s:d} s")
def step_directory(context, count, limit_s):
    site = context.site
    assert site.wait_for(lambda: len(site.resolve()) == count, limit_s)


@when("the first tool server is draining")
def step_drain_server(context):
    context.site.tools[0].state = "draining"


@then("it receives no request {seconds:d} s later")
def step_nothing_new(context, seconds):
    time.sleep(seconds)
    count_before = len(context.site.tools[0].received_requests)
    for _ in range(6):
        assert send_request(context, "GET", "/tool/1", "key-one").status_code == 200
    assert len(context.site.tools[0].received_requests) == count_before


@when("two stores have been stopped for {seconds:d} s")
def step_stop_stores(context, seconds):
    context.site.stop_stores(2, 3)
    for _ in range(seconds):
        # An entry notices that a store has stopped only when it sends it requests.
        run_turn(context, f"probe-{time.monotonic()}", None, "probe", 1)
        time.sleep(1)
    context.site.engine.received_requests.clear()


@then("the answer took at most {limit_ms:d} ms and has a retry-after header")
def step_refused_soon(context, limit_ms):
    assert context.answer.elapsed.total_seconds() * 1000 < limit_ms
    assert float(context.answer.headers["retry-after"]) > 0


@given("every tool server takes {delay_s:f} s for an answer")
def step_slow_tools(context, delay_s):
    for tool in context.site.tools:
        tool.delay_s = delay_s


@when(
    "{count:d} callers keep asking over open connections until instance 1 has stopped"
)
def step_persistent(context, count):
    context.callers = PersistentCallers(context.site)
    context.callers.run(count, before_s=0.5)


@then("every request that a tool server received was answered")
def step_answered_all(context):
    assert context.callers.list_unanswered() == []


@then("at least {count:d} answers came after the stop began")
def step_after_stop(context, count):
    assert context.callers.after_stop >= count, context.callers.after_stop


@when(
    'instance 1 gets no control state for {seconds:d} s, and a route "{prefix}" is '
    "added meanwhile"
)
def step_get_nothing(context, seconds, prefix):
    context.site.drop_updates(1, True)
    added = build_routes()[0] | {"name": "new", "path-prefix": prefix}
    configuration = build_configuration(8, [*build_routes(), added])
    assert context.site.put_configuration(configuration).status_code == 200
    anyio.run(anyio.sleep, seconds)


@when("instance 1 gets the control state again")
def step_get_again(context):
    context.site.drop_updates(1, False)


@then('"{first}" and "{second}" are answered 503 there with a retry-after header')
def step_unknown_there(context, first, second):
    for path in (first, second):
        answer = send_request(context, "GET", path, "key-one")
        assert answer.status_code == 503, (path, answer.status_code)
        assert float(answer.headers["retry-after"]) > 0


@then('"{path}" is answered {status:d} there')
def step_status_there(context, path, status):
    assert send_request(context, "GET", path, "key-one").status_code == status


@then('"{path}" is answered {status:d} there within {limit_s:d} s')
def step_status_there_within(context, path, status, limit_s):
    def is_answered():
        return send_request(context, "GET", path, "key-one").status_code == status

    assert context.site.wait_for(is_answered, limit_s)
