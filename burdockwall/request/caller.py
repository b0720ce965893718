"""Identify the caller of a request, and keep its key out of what is forwarded."""

from collections.abc import AsyncIterator
from urllib.parse import urlencode

import msgspec
from msgspec.structs import replace

from burdockwall.connection.exchange import Exchange, Headers
from burdockwall.connection.figures import require_count
from burdockwall.errors import Code, RequestRefused
from burdockwall.types import CustomerId, PriorityClass
from burdockwall.version.configuration import Customer, Route
from burdockwall.version.view import View

KEY_HEADERS = (b"authorization", b"x-api-key", b"api-key", b"proxy-authorization")
KEY_PARAMETERS = ("key", "api_key", "access_token")
KEY_COOKIES = ("key", "api_key", "access_token")
PRIORITY_HEADER = b"program-priority"
DEADLINE_HEADER = b"request-deadline-ms"
MS_PER_S = 1000
BEARER_PREFIX = "bearer "
ID_HEADERS = (b"program-id", b"parent-program-id", b"idempotency-key")
DOT_SEGMENTS = {".", ".."}
FORWARDED_HEADERS = frozenset(
    {
        b"accept",
        b"accept-language",
        b"content-type",
        b"content-length",
        b"if-match",
        b"if-none-match",
        b"range",
        b"idempotency-key",
    }
)

# The customer of requests without a key; its rate and burst are not used, since open
# routes have limits of their own.
OPEN_CUSTOMER = Customer(CustomerId(""), rate_per_s=1000.0, burst=1000)


class CallerKey(msgspec.Struct, frozen=True):
    """The key that came with a request, or None."""

    value: str | None


def find_key(exchange: Exchange) -> CallerKey:
    """Find the key in the headers, the query or the cookies."""
    for name in KEY_HEADERS:
        value = exchange.get_header(name)
        if value:
            if value.lower().startswith(BEARER_PREFIX):
                value = value[len(BEARER_PREFIX) :]
            return CallerKey(value.strip())
    for parameter, value in exchange.list_query():
        if parameter in KEY_PARAMETERS:
            return CallerKey(value)
    for cookie in (exchange.get_header(b"cookie") or "").split(";"):
        parameter, _, value = cookie.strip().partition("=")
        if parameter in KEY_COOKIES:
            return CallerKey(value)
    return CallerKey(None)


def strip_query(exchange: Exchange, caller_key: CallerKey) -> str:
    """Return the query without parameters that name or hold a key."""
    pairs = [
        (name, value)
        for name, value in exchange.list_query()
        if name not in KEY_PARAMETERS and not contains_key(value, caller_key)
    ]
    return urlencode(pairs)


def strip_headers(exchange: Exchange, caller_key: CallerKey) -> Headers:
    """Return the headers that are forwarded to an endpoint."""
    return [
        (name, value)
        for name, value in exchange.headers
        if name in FORWARDED_HEADERS
        and not contains_key(value.decode("latin-1"), caller_key)
    ]


def check_key_placement(exchange: Exchange, caller_key: CallerKey) -> None:
    """Refuse a path with a dot segment, and a key in the path or an id.

    Paths and ids are stored, logged and forwarded.
    """
    if DOT_SEGMENTS & set(exchange.path.split("/")):
        raise RequestRefused(Code.BAD_REQUEST, "the path has a dot segment")
    ids = [exchange.get_header(name) or "" for name in ID_HEADERS]
    for text in (exchange.path, exchange.raw_path, *ids):
        if contains_key(text, caller_key):
            raise RequestRefused(Code.KEY_MISPLACED)


def check_key_in_body(body: bytes, caller_key: CallerKey) -> None:
    """Refuse a body that contains the key."""
    if caller_key.value and caller_key.value.encode() in body:
        raise RequestRefused(Code.KEY_MISPLACED)


async def guard_body(
    chunks: AsyncIterator[bytes], caller_key: CallerKey
) -> AsyncIterator[bytes]:
    """Yield a body's chunks; raise RequestRefused before yielding any of the key."""
    key = (caller_key.value or "").encode()
    # A key may be split over two chunks, so the bytes that could be its beginning are
    # only yielded with the next chunk.
    delayed_bytes = max(0, len(key) - 1)
    tail = b""
    async for chunk in chunks:
        data = tail + chunk
        if key and key in data:
            raise RequestRefused(Code.KEY_IN_STREAM)
        cut = max(0, len(data) - delayed_bytes)
        tail = data[cut:]
        if cut:
            yield data[:cut]
    if tail:
        yield tail


def contains_key(text: str, caller_key: CallerKey) -> bool:
    """Return whether a text contains the caller's key."""
    return bool(caller_key.value) and str(caller_key.value) in text


def check_customer(view: View, route: Route, caller_key: CallerKey) -> Customer:
    """Return the customer that a request runs for, or raise RequestRefused."""
    if caller_key.value is None:
        if route.open:
            return OPEN_CUSTOMER
        raise RequestRefused(Code.KEY_MISSING)
    customer = view.find_customer(caller_key.value)
    if route.customers and customer.name not in route.customers:
        raise RequestRefused(Code.ROUTE_FORBIDDEN)
    return customer


def choose_priority(exchange: Exchange, route: Route) -> Route:
    """Return the route with the priority class that a caller requests, if lower."""
    text = exchange.get_header(PRIORITY_HEADER)
    if text is None:
        return route
    try:
        requested = PriorityClass(text.lower())
    except ValueError as error:
        detail = f"header {PRIORITY_HEADER.decode()} is {text!r}, not a class"
        raise RequestRefused(Code.BAD_REQUEST, detail) from error
    # Only the configuration can raise the class of a request; otherwise every caller
    # would request the most urgent one.
    if requested.rank <= route.priority.rank:
        return route
    return replace(route, priority=requested)


def read_number(exchange: Exchange, name: bytes) -> int | None:
    """Read a header that holds a whole number, or raise RequestRefused."""
    text = exchange.get_header(name)
    if text is None:
        return None
    return require_count(name, text)


def read_deadline(exchange: Exchange, now: float) -> float | None:
    """Return the clock time in seconds by which the answer must start, if given."""
    wait_ms = read_number(exchange, DEADLINE_HEADER)
    return None if wait_ms is None else now + wait_ms / MS_PER_S
