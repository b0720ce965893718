import gc
import json
from types import SimpleNamespace

import httpx
from behave import given, then, when

from burdockwall.connection.upstream import Probe
from burdockwall.errors import Code, InvalidFile, RequestRefused
from burdockwall.platform.configuration import decode_new
from burdockwall.process.collection import pause_collection
from burdockwall.process.orders.order import OrderResult
from burdockwall.request.caller import read_number
from burdockwall.request.completion import parse_completion
from features.subjects.decoder_inputs import run_check
from features.subjects.decoders import (
    BAD_COMMANDS,
    BAD_COMPLETIONS,
    BAD_CONFIGURATIONS,
    BAD_ENTRIES,
    OWN_LISTS,
    UNREAD_PAGES,
    AddressSubject,
    ListSubject,
    build_entry,
    build_large_configuration,
    build_many,
    build_page,
    find_figure,
    read_endpoint_figure,
    read_own_list,
    read_platform_request,
    request_configured,
    send_command,
    send_order,
    wait_for_version,
)
from features.subjects.platform import build_configuration

MANY_SERVERS = 100_000
PAGE_SERVERS = 2_000
ENDLESS_PAGES = 200


def unescape(text):
    return text.replace("\\0", "\0")


@then('the server list with an entry at "{address}" has only its other entries')
def step_address(context, address):
    entries = [
        build_entry("i-1"),
        build_entry("i-2", address=unescape(address)),
        build_entry("i-3"),
    ]
    servers = ListSubject(build_page(*entries)).read()
    assert [server.name for server in servers] == ["i-1", "i-3"], servers


@then('connecting to "{address}" fails as to an endpoint that does not answer')
def step_connect(context, address):
    outcomes = AddressSubject(unescape(address)).connect()
    assert all(item in (Probe.UNKNOWN, Probe.REFUSED) for item in outcomes), outcomes


@then("a list of two pages with an entry that has {fault} has only its other entries")
def step_entry(context, fault):
    first = [build_entry("i-1"), BAD_ENTRIES[fault], build_entry("i-2")]
    second = [build_entry("i-3"), BAD_ENTRIES[fault]]
    pages = [build_page(*first, following=b'"p-2"'), build_page(*second)]
    servers = ListSubject(*pages).read()
    assert servers is not None
    assert [server.name for server in servers] == ["i-1", "i-2", "i-3"], servers


@then("a list with 100000 servers is unread")
def step_many(context):
    subject = ListSubject(*build_many(MANY_SERVERS, PAGE_SERVERS), build_page())
    assert subject.read() is None
    assert "entries" in subject.unread, subject.unread


@then("a list with pages without end is unread")
def step_endless(context):
    subject = ListSubject(*build_many(ENDLESS_PAGES, 1))
    assert subject.read() is None
    assert "pages" in subject.unread, subject.unread


@then("a list with {fault} is unread")
def step_unread(context, fault):
    assert ListSubject(UNREAD_PAGES[fault]).read() is None


def check_refused(read, name, value):
    try:
        result = read()
    except RequestRefused as error:
        assert error.code is Code.BAD_REQUEST, error
        assert name in error.detail and value[:40] in error.detail, error.detail
        assert len(error.detail) < 200, error.detail
        return
    raise AssertionError(f"{name} of {value[:40]!r} was read: {result}")


@then('a request with "{header}" of {figure} is refused with its header and value')
def step_caller_figure(context, header, figure):
    value = find_figure(figure)
    check_refused(lambda: read_platform_request(**{header: value}), header, value)


@then("a request with whole and decimal figures is read as it is")
def step_caller_figures(context):
    request = read_platform_request(
        x_token_usage="1840, 280",
        x_token_budget="2240",
        x_deadline_ms="2999.9999999999995",
        x_finish_ms="-5200",
    )
    assert (request.turn.tokens, request.turn.budget) == (280, 2240)
    assert (round(request.deadline_s, 3), request.finish_s) == (3.0, -5.2)


@then('a request with "{header}" of {figure} is refused on the own interface')
def step_own_figure(context, header, figure):
    value = find_figure(figure)
    exchange = SimpleNamespace(get_header=lambda name: value)
    check_refused(lambda: read_number(exchange, header.encode()), header, value)


@then('an answer with "{header}" of {figure} is read, and names no such figure')
def step_endpoint_figure(context, header, figure):
    found = read_endpoint_figure(header, find_figure(figure))
    assert found is None, str(found)[:80]


@then('a configuration with {fault} is refused, which quotes "{value}"')
def step_configuration(context, fault, value):
    try:
        decode_new(BAD_CONFIGURATIONS[fault])
    except InvalidFile as error:
        texts = [f"{each.place}: {each.problem}" for each in error.faults]
        assert any(value in text for text in texts), texts
        return
    raise AssertionError("it was accepted")


@then("a configuration with unknown fields and figures at the ends of ranges is read")
def step_configuration_read(context):
    configuration = build_configuration(2**63 - 1)
    configuration |= {"notes": [{"x": 2**70}, None, 1.5]}
    configuration["routes"][0] |= {"max-attempts": 0, "later": {"a": [1]}}
    configuration["tenants"][0] |= {"rate-per-s": 0, "burst": 0, "name": "Zürich 7"}
    deployment = decode_new(json.dumps(configuration).encode())
    assert deployment.number == 2**63 - 1
    assert deployment.routes[0].max_attempts == 1


@then("{count:d} random inputs of {source} are read or refused, from seed {first:d}")
def step_random(context, count, source, first):
    run_check(source, count, first)


@then("a completion request with {fault} is refused")
def step_completion(context, fault):
    try:
        parse_completion(BAD_COMPLETIONS[fault])
    except RequestRefused as error:
        assert error.code is Code.BAD_REQUEST, error
        return
    raise AssertionError("it was read")


@then('a request to a configured endpoint at "{address}" fails to connect')
def step_configured(context, address):
    try:
        request_configured(unescape(address))
    except httpx.ConnectError:
        return
    raise AssertionError("it was sent")


@then('an order to a configured endpoint at "{address}" fails')
def step_order(context, address):
    assert send_order(unescape(address)) is OrderResult.FAILED


@when("an own list of instances is {text}")
def step_own_list(context, text):
    context.installed = read_own_list(OWN_LISTS[text])


@then("no error leaves its reader, and nothing is installed")
def step_nothing_installed(context):
    assert context.installed == []


@when('an operator waits for version "{version}" to be in force')
def step_wait_in_force(context, version):
    context.refused = wait_for_version(version)


@then('the operator\'s wait is refused as a bad request that quotes "{text}"')
def step_quoted(context, text):
    assert context.refused.code is Code.BAD_REQUEST, context.refused
    assert text in context.refused.detail, context.refused


@when("an operator sends a command that is {text}")
def step_command(context, text):
    context.refused = send_command(BAD_COMMANDS[text])


@then("the operator's call is refused as a bad request")
def step_call_refused(context):
    assert context.refused.code is Code.BAD_REQUEST, context.refused


@given("a configuration of {routes:d} routes and {count:d} customers")
def step_large_configuration(context, routes, count):
    context.configuration = build_large_configuration(routes, count)
    assert len(decode_new(json.dumps(context.configuration).encode()).routes) == routes


@when("the time-out of one route is no number")
def step_no_number(context):
    context.configuration["routes"][11]["timeout-ms"] = "soon"


@then("the place of the fault is named when the configuration is decoded")
def step_fault_place(context):
    try:
        decode_new(json.dumps(context.configuration).encode())
    except InvalidFile as error:
        assert "$.routes[11].timeout-ms" in error.detail, error.detail
    else:
        raise AssertionError("a route without a readable time-out was taken")


@when("a decoder fails while collection is paused")
def step_fail_paused(context):
    context.collects = []
    try:
        with pause_collection():
            context.collects.append(gc.isenabled())
            decode_new(b"{")
    except InvalidFile:
        context.collects.append(gc.isenabled())


@then("garbage is collected as before")
def step_collected(context):
    assert context.collects == [False, True], context.collects
