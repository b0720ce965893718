"""Input that can't be read, for the decoders of what others send."""

import json
from collections.abc import Callable
from types import SimpleNamespace

import anyio
import httpx

from burdockwall.connection.client import create_http_client
from burdockwall.connection.endpoints import EndpointClients, read_rate_limit
from burdockwall.connection.upstream import (
    AnswerHead,
    ConnectFailed,
    Probe,
    open_upstream,
)
from burdockwall.connection.upstream_pools import UpstreamPools
from burdockwall.errors import OperatorError
from burdockwall.fakes.ports import find_address
from burdockwall.platform.codec import PlatformCodec
from burdockwall.platform.server_list import ServerListReader
from burdockwall.process.control.console import Console
from burdockwall.process.control_node import EndpointListUnread
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.membership.platform import PlatformList, PlatformReader
from burdockwall.process.orders.order import (
    NumberedOrder,
    Order,
    OrderKind,
    OrderResult,
)
from burdockwall.process.orders.shell import Orders
from burdockwall.process.web import serve_address
from burdockwall.request.codec import ForwardedRequest
from burdockwall.request.events import find_event_id
from burdockwall.types import Address, EndpointId, FencingNumber, PoolName
from burdockwall.version.configuration import Endpoint
from features.subjects.platform import build_configuration

TIMEOUT_S = 2.0
GOOD_ENTRY = {
    "id": "i-1",
    "service": "tools",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
}


class ListSubject:
    """Serves a list of servers as raw bytes, and reads it as the leader does."""

    def __init__(self, *pages: bytes) -> None:
        self.pages = list(pages)
        self.address = find_address()
        self.unread = ""

    async def _serve(self, exchange) -> None:
        await exchange.answer(200, [], self.pages.pop(0))

    def read(self) -> list[ListedEndpoint] | None:
        """Return the servers that were read, or None if the list was unreadable."""
        return anyio.run(self._read)

    async def _read(self) -> list[ListedEndpoint] | None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(serve_address, self.address, self._serve, stop, 0.1)
            await anyio.sleep(0.1)
            try:
                return await ServerListReader(self.address).read()
            except EndpointListUnread as error:
                self.unread = str(error)
                return None
            finally:
                stop.set()


def build_page(*entries: bytes, following: bytes = b"null") -> bytes:
    """Build a page from entries as they stand."""
    return b'{"instances":[%s],"next":%s}' % (b",".join(entries), following)


def build_entry(name: str, **changes: object) -> bytes:
    """Build an entry, with fields changed, or left out where they are `...`."""
    entry = GOOD_ENTRY | {"id": name} | changes
    kept = {key: value for key, value in entry.items() if value is not ...}
    return json.dumps(kept).encode()


class AddressSubject:
    """Opens connections to an address in each of the ways that there are."""

    def __init__(self, address: str) -> None:
        self.address = Address(address)

    def connect(self) -> list[object]:
        """Return how each attempt ended."""
        return anyio.run(self._connect)

    async def _connect(self) -> list[object]:
        try:
            await open_upstream(self.address, TIMEOUT_S)
            opened: object = "opened"
        except ConnectFailed as error:
            opened = Probe.UNKNOWN if not error.refused else Probe.REFUSED
        pooled = await UpstreamPools(anyio.current_time).check(self.address)
        clients = EndpointClients(TIMEOUT_S, TIMEOUT_S)
        return [opened, pooled, await clients.check(self.address)]


def _replace(name: bytes, value: bytes) -> bytes:
    """Build an entry with the text of one field as it stands."""
    entry = build_entry("bad", **{name.decode(): "REPLACED"})
    return entry.replace(b'"REPLACED"', value)


DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
MEGABYTE = "a" * 1_000_000
BAD_ENTRIES = {
    "half a character": _replace(b"id", b'"\\ud800"'),
    "bytes that are no UTF-8": _replace(b"id", b'"\xff\xfe"'),
    "brackets 100000 deep": DEEP,
    "an unknown field that deep": _replace(b"notes", DEEP),
    "slots of 2**70": build_entry("bad", slots=2**70),
    "slots of -1": build_entry("bad", slots=-1),
    "slots of 1e400": _replace(b"slots", b"1e400"),
    "slots of NaN": _replace(b"slots", b"NaN"),
    "slots of a text": build_entry("bad", slots="8"),
    "a start of 2**70": build_entry("bad", born=2**70),
    "a start of -1": build_entry("bad", born=-1),
    "a start of Infinity": _replace(b"born", b"Infinity"),
    "a start of 5000 digits": _replace(b"born", b"9" * 5000),
    "an id of a megabyte": build_entry(MEGABYTE),
    "an id of two lines": build_entry("bad\r\nx: y"),
    "an empty id": build_entry(""),
    "a zone of a megabyte": build_entry("bad", zone=MEGABYTE),
    "a number as its service": build_entry("bad", service=5),
    "other brackets at its end": b'{"id":"bad"]',
    "a literal that is cut": b"tru",
    "no text at all": b"",
    "quotes and brackets in text": _replace(b"id", b'"\\ud800\\\\\\"]}[{,"'),
    "null for a version": build_entry("bad", version=None),
    **{
        f"no {field}": build_entry("bad", **{field: ...})
        for field in ("id", "service", "address", "zone", "state", "version", "slots")
    },
}
_WHOLE = build_page(build_entry("i-1"), build_entry("i-2"))
UNREAD_PAGES = {
    "nothing": b"",
    "a page cut within an entry": _WHOLE[:60],
    "a page cut after an entry": _WHOLE[: _WHOLE.index(b"}") + 1],
    "a page cut within a text": _WHOLE[: _WHOLE.index(b"i-2") + 1],
    "bytes after the page": _WHOLE + b"}",
    "bytes within the page": build_page(b"\xff]", build_entry("i-1")),
    "no entries": b'{"next":null}',
    "an object of entries": b'{"instances":{},"next":null}',
    "a number for the next page": build_page(b"\xff", following=b"5"),
    "a next page of a megabyte": build_page(following=json.dumps(MEGABYTE).encode()),
    "brackets without end": b"[" * DEPTH,
    "a page of 5 megabytes": build_page(*[build_entry("i-1", zone=MEGABYTE)] * 5),
}


def build_many(count: int, page: int) -> list[bytes]:
    """Build the pages of a list with many servers."""
    entries = [build_entry(f"i-{number}") for number in range(count)]
    return [
        build_page(*entries[first : first + page], following=b'"more"')
        for first in range(0, count, page)
    ]


FIGURES = {
    "2**70": str(2**70),
    "5000 digits": "9" * 5000,
    "10,2**70": f"10,{2**70}",
    "10,5000 digits": "10," + "9" * 5000,
    "nothing": "",
}
TURN_HEADERS = {
    b"x-request-id": b"r1",
    b"host": b"a",
    b"x-program-id": b"p1",
    b"x-token-usage": b"10,20",
}


def find_figure(name: str) -> str:
    """Return the text of a figure, which may have a name."""
    return FIGURES.get(name, name)


def read_platform_request(**changes: str) -> ForwardedRequest:
    """Read a turn's headers, with changes, whose names have underscores."""
    headers = dict(TURN_HEADERS)
    for name, value in changes.items():
        headers[name.replace("_", "-").encode()] = value.encode("latin-1")
    exchange = SimpleNamespace(
        headers=list(headers.items()), raw_path="/chat/1", query=b"", method="POST"
    )
    return PlatformCodec().read_request(exchange)


def read_endpoint_figure(header: str, figure: str) -> object:
    """Read a figure of an endpoint's answer, or return None if it names none."""
    value = figure.encode("latin-1")
    match header:
        case "keep-alive":
            head = AnswerHead(200, [(b"keep-alive", b"timeout=" + value)])
            return PlatformCodec().read_answer(head).idle_s
        case "server-limit":
            head = AnswerHead(200, [(b"server-limit", value)])
            return PlatformCodec().read_answer(head).rate_limit_per_s
        case "request-limit":
            return read_rate_limit(httpx.Headers([(b"request-limit", value)]))
        case "event id":
            return find_event_id(b"id: " + value + b"\ndata: a\n\n")
    raise ValueError(header)


def _change(part: str, **changes: object) -> bytes:
    """Build a configuration whose first item of a part has some fields changed."""
    configuration = build_configuration(5)
    configuration[part][0].update(
        {name.replace("_", "-"): value for name, value in changes.items()}
    )
    return json.dumps(configuration).encode()


def _engine(**changes: object) -> bytes:
    configuration = build_configuration(5)
    engine = {name.replace("_", "-"): value for name, value in changes.items()}
    configuration["services"][0]["engine"] = engine
    return json.dumps(configuration).encode()


def _double() -> bytes:
    """Build a configuration with a route twice, once with its host in capitals."""
    configuration = build_configuration(5)
    route = dict(configuration["routes"][0])
    route["host"] = route["host"].upper()
    configuration["routes"].append(route)
    return json.dumps(configuration).encode()


def _insert(text: bytes) -> bytes:
    return json.dumps(build_configuration(5)).encode()[:-1] + b',"x":%s}' % text


BAD_CONFIGURATIONS = {
    "brackets 100000 deep": _insert(DEEP),
    "half a character": _insert(b'"\\ud800"'),
    "a number of 2**70": json.dumps(build_configuration(2**70)).encode(),
    "a number of -1": json.dumps(build_configuration(-1)).encode(),
    "a retention of 1e297": _change("routes", retention_s=1e297),
    "a retention of -1": _change("routes", retention_s=-1),
    "a time-out of 1e300": _change("routes", timeout_ms=1e300),
    "a time-out of NaN": _change("routes", timeout_ms=float("nan")),
    "a time-out of 1e400": _change("routes", timeout_ms="X").replace(b'"X"', b"1e400"),
    "-1 attempts": _change("routes", max_attempts=-1),
    "2**70 attempts": _change("routes", max_attempts=2**70),
    "an objective of -1": _change("routes", target_latency_ms=-1),
    "a weight of 2**70": _change(
        "routes", service=None, backends=[{"service": "tools", "weight": 2**70}]
    ),
    "2**70 connections": _change("services", max_conns=2**70),
    "-1 connections": _change("services", max_conns=-1),
    "2**70 tokens an event": _engine(event_tokens=2**70),
    "-1 tokens of memory": _engine(kv_capacity=-1),
    "a rate of -1": _change("tenants", rate_per_s=-1),
    "a burst of 1e300": _change("tenants", burst=1e300),
    "a rank of 2**70": _change("tenants", priority=2**70),
    "a customer of two lines": _change("tenants", name="evil\r\nx: y"),
    "a health path of two lines": _change("services", health_path="/evil\r\nx: y"),
    "a prefix without slashes": _change("routes", path_prefix="tool"),
    "hosts that differ in case": _double(),
}


COMPLETION = b'{"model":"m","messages":[],"max_tokens":5}'
BAD_COMPLETIONS = {
    "brackets 5000 deep": COMPLETION.replace(
        b"{", b'{"x":%s,' % (DEEP[95_000:105_000])
    ),
    "2**70 tokens at most": COMPLETION.replace(b":5", b":%d" % 2**70),
    "-1 tokens at most": COMPLETION.replace(b":5", b":-1"),
    "half a character": COMPLETION.replace(b'"m"', b'"\\ud800"'),
}


def request_configured(address: str) -> None:
    """Send a request to an endpoint of the own interface's configuration."""
    endpoint = Endpoint(EndpointId("e"), PoolName("p"), Address(address))

    async def request() -> None:
        clients = EndpointClients(TIMEOUT_S, TIMEOUT_S)
        async with clients.open_stream(endpoint, "GET", "/", [], None):
            pass

    anyio.run(request)


def send_order(address: str) -> OrderResult:
    """Send an order as the leader does to a configured endpoint."""

    async def send() -> OrderResult:
        async with create_http_client(TIMEOUT_S) as client:
            leader = SimpleNamespace(
                find_address=lambda endpoint: address,
                _client=client,
                _is_leading=lambda: True,
            )
            order = Order(EndpointId("e"), next(iter(OrderKind)))
            return await Orders._send(leader, NumberedOrder(FencingNumber(1), order))

    return anyio.run(send)


OWN_LISTS = {
    "nested 100,000 deep": b'{"other":' + b"[" * 100_000,
    "no UTF-8": b'{"instances":{"a":"\xff"}}',
    "cut in the middle": b'{"instances":{"a":"li',
}


BAD_COMMANDS = {
    "nested 100,000 deep": (
        b'["SubmitConfiguration","o","s",0,"t",'
        + b"[" * 100_000
        + b"]" * 100_000
        + b"]"
    ),
    "no UTF-8": b'["SubmitConfiguration","\xff"]',
    "cut in the middle": b'["SubmitConf',
}


def read_own_list(content: bytes) -> list[PlatformList]:
    """Read a list of instances of the own interface; return what was installed."""
    installed: list[PlatformList] = []
    reader = PlatformReader(Address("127.0.0.1:1"), lambda: True, installed.append)
    transport = httpx.MockTransport(
        lambda request: httpx.Response(200, content=content)
    )

    async def read() -> None:
        async with httpx.AsyncClient(transport=transport) as client:
            await reader._read(client)

    anyio.run(read)
    return installed


class _OperatorCall:
    """A call of an operator, and the parts of a console that it reaches."""

    def __init__(self, version: str = "", body: bytes = b"") -> None:
        self.version = version
        self.body = body

    def list_query(self) -> list[tuple[str, str]]:
        return [("version", self.version)]

    async def read_body(self, limit: int) -> bytes:
        return self.body

    async def confirm_read(self) -> None:
        pass


def wait_for_version(version: str) -> OperatorError:
    """Return how a console refuses to wait for a version."""
    call = _OperatorCall(version)
    return _find_refusal(Console._serve_in_force, call)


def send_command(body: bytes) -> OperatorError:
    """Return how a console refuses a command."""
    return _find_refusal(Console._serve_command, _OperatorCall(body=body))


def _find_refusal(serve: Callable, call: _OperatorCall) -> OperatorError:
    console = Console.__new__(Console)
    console.service = call
    console.wait_in_force = None
    console._authenticate = lambda exchange, permission: None
    try:
        anyio.run(serve, console, call)
    except OperatorError as error:
        return error
    raise AssertionError("the call was not refused")


def build_large_configuration(routes: int, customers: int) -> dict:
    """Build a configuration with many routes and customers."""
    route = {"host": "site.example", "route-kind": "safe", "timeout-ms": 1000}
    return {
        "version": 1,
        "routes": [
            route | {"name": f"r{n}", "path-prefix": f"/r{n}/", "service": "tools"}
            for n in range(routes)
        ],
        "services": [{"name": "tools"}],
        "tenants": [
            {"name": f"t{n}", "api-keys": [f"key-{n}"]} for n in range(customers)
        ],
    }
