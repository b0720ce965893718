"""Random input for each decoder: python -m features.subjects.decoder_inputs COUNT SEED.

No input may raise another exception than the decoder's own, and what is read can be
encoded for other instances and sent in headers.
"""

import functools
import json
import math
import sys
import time
from collections.abc import Callable

import h11
import msgspec
from hypothesis import HealthCheck, given, seed, settings, strategies as st

from burdockwall.connection.address import split_address
from burdockwall.connection.json_text import JsonUnreadable
from burdockwall.connection.paged_list import PagedList
from burdockwall.connection.upstream import AnswerHead
from burdockwall.errors import Code, InvalidFile, RequestRefused
from burdockwall.platform.codec import PlatformCodec
from burdockwall.platform.configuration import decode_new
from burdockwall.platform.server_list import PAGE_FORMAT, convert_entry
from burdockwall.process.endpoints import EndpointList
from burdockwall.process.limits.leader import list_deployment_limits
from burdockwall.types import Address, Term
from burdockwall.version.deployment import DeploymentView
from features.subjects.decoders import (
    TURN_HEADERS,
    build_entry,
    build_page,
    read_platform_request,
)
from features.subjects.platform import build_configuration

ODD_TEXTS = [
    *("", "-1", "0", "1.5", "1e400", "nan", "inf", "-inf", "²", "1_000", "null"),
    *(str(2**63), str(2**64), str(2**70), "9" * 5000, "a" * 5000, "10,20", ",", "::"),
    *("http://a:1/", "a:-1", "1.2.3.4:99999", "x\r\ny: z", " a", "\x00", "\x7f"),
]
ODD_JSON = [
    *(b"NaN", b"-1", b"1e400", b"1e300", b"%d" % 2**70, b"9" * 5000, b"1.5", b"tru"),
    *(b'"\\ud800"', b'"\xff"', b'"x\\r\\ny: z"', b'"' + b"a" * 5000 + b'"', b'""'),
    *(b"[" * 3000, b"]", b"{", b"}", b'"', b",", b":", b"\\", b"\x00", b"null"),
]
PAGE = build_page(build_entry("i-1", born=1), build_entry("i-2"), following=b'"p"')
CONFIGURATION = json.dumps(build_configuration(5)).encode()
HEADERS = [*TURN_HEADERS, b"x-deadline-ms", b"x-finish-ms", b"x-token-budget"]
HEADERS += [b"last-event-id", b"x-prompt-prefix", b"x-length-hint", b"connection"]
ANSWER_HEADERS = [b"x-server-load", b"keep-alive", b"server-limit", b"server-leaving"]
ANSWER_HEADERS += [b"x-cold-ms", b"x-weight-versions", b"retry-after", b"connection"]

odd_texts = st.sampled_from(ODD_TEXTS) | st.text(
    st.characters(max_codepoint=255), max_size=20
)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def edit(base: bytes) -> st.SearchStrategy[bytes]:
    """Build texts in which some values of a base, or some bytes, are others."""
    pieces = st.sampled_from(ODD_JSON) | st.binary(max_size=8)
    edits = st.lists(
        st.tuples(st.booleans(), st.floats(0, 1), st.integers(0, 20), pieces),
        min_size=1,
        max_size=4,
    )
    return edits.map(lambda chosen: _apply(base, chosen))


def _apply(text: bytes, edits: list[tuple[bool, float, int, bytes]]) -> bytes:
    for replaces_value, where, length, piece in edits:
        begin = int(where * len(text))
        end = begin + length
        if replaces_value:
            begin = text.find(b":", begin) + 1
            ends = [text.find(mark, begin) for mark in (b",", b"}")]
            end = min((item for item in ends if item >= 0), default=len(text))
        text = text[:begin] + piece + text[end:]
    return text


@functools.cache
def get_reader() -> PagedList:
    return PagedList(Address("127.0.0.1:1"), PAGE_FORMAT)


@given(edit(PAGE))
def check_pages(text: bytes) -> None:
    """Check that what is read of a page can be sent to all instances."""
    try:
        entries, _ = get_reader()._decode_page(text)
    except JsonUnreadable:
        return
    _check_servers(entries)


def _check_servers(entries: list[bytes]) -> list[str]:
    servers = [item for item in map(convert_entry, entries) if item is not None]
    msgspec.msgpack.encode(EndpointList(Term(1), 1, servers))
    for server in servers:
        split_address(server.address)
        _check_sendable("/", server.name)
    return [server.name for server in servers]


@given(json_values | st.binary(max_size=8).map(lambda item: item.hex()))
def check_foreign_entries(value: object) -> None:
    """Check that JSON of another program costs neither other entries nor `next`."""
    foreign = json.dumps(value).encode()
    page = build_page(build_entry("i-1"), foreign, build_entry("i-2"), following=b'"p"')
    entries, token = get_reader()._decode_page(page)
    assert token == "p", token
    assert _check_servers(entries) == ["i-1", "i-2"]


@given(st.dictionaries(st.sampled_from(HEADERS), odd_texts, max_size=4))
def check_callers(changes: dict[bytes, str]) -> None:
    """Check that a request is refused with 400, or has figures that can be encoded."""
    try:
        named = {name.decode(): value for name, value in changes.items()}
        request = read_platform_request(**named)
    except RequestRefused as error:
        assert error.code is Code.BAD_REQUEST, error
        assert len(error.detail) < 500, error.detail
        return
    for seconds in (request.deadline_s, request.finish_s):
        assert seconds is None or math.isfinite(seconds), seconds
    if request.turn is not None:
        msgspec.msgpack.encode([request.turn.tokens, request.turn.budget])
    msgspec.msgpack.encode(request.size)


@given(
    st.lists(st.tuples(st.sampled_from(ANSWER_HEADERS), odd_texts), max_size=4),
    st.integers(0, 999),
)
def check_answers(headers: list[tuple[bytes, str]], status: int) -> None:
    """Check that what an answer's headers say is absent or in range."""
    encoded = [
        (name, ("timeout=" * (name == b"keep-alive") + value).encode("latin-1"))
        for name, value in headers
    ]
    details = PlatformCodec().read_answer(AnswerHead(status, encoded))
    for figure in (details.idle_s, details.rate_limit_per_s):
        assert figure is None or 0 <= figure < 1e13, figure
    msgspec.msgpack.encode([details.cold_left_s, details.unreadable_load])


@given(edit(CONFIGURATION))
def check_configurations(text: bytes) -> None:
    """Check that a configuration is refused with 400, or can be put in force."""
    try:
        deployment = decode_new(text)
    except InvalidFile as error:
        assert error.faults
        return
    DeploymentView(deployment).list_cold_rules()
    msgspec.msgpack.encode(list_deployment_limits(deployment))
    for route in deployment.routes:
        times = (route.timeout_s, route.retention_s, route.objective_s)
        msgspec.msgpack.encode([int(item * 1000) for item in times])
        msgspec.msgpack.encode([route.rank, route.max_attempts])
    for customer in deployment.customers:
        _check_sendable("/", customer.name)
    for service in deployment.services.values():
        _check_sendable(service.health_path or "/", "")


def _check_sendable(target: str, name: str) -> None:
    """Check that h11 sends a path and a name in a header."""
    headers = [("host", "a"), ("x-name", name.encode())]
    h11.Request(method="GET", target=target, headers=headers)


CHECKS: dict[str, Callable[[], None]] = {
    "pages": check_pages,
    "foreign entries": check_foreign_entries,
    "callers' headers": check_callers,
    "endpoints' headers": check_answers,
    "configurations": check_configurations,
}


def run_check(name: str, count: int, first: int) -> None:
    """Feed a number of inputs from a seed to one decoder."""
    check = settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )(seed(first)(CHECKS[name]))
    check()


def main() -> None:
    """Feed inputs to every decoder."""
    count, first = (int(text) for text in sys.argv[1:3])
    for name in CHECKS:
        began_at = time.monotonic()
        run_check(name, count, first)
        seconds = time.monotonic() - began_at
        print(f"{name}: {count} inputs, seed {first}, {seconds:.0f} s", flush=True)


if __name__ == "__main__":
    main()
