"""Conversion of requests, answers and refusals from and to the platform's format."""

from burdockwall.connection.endpoints import find_lowest_rate
from burdockwall.connection.exchange import (
    HOP_HEADERS,
    JSON_TYPE,
    RELAYED,
    Exchange,
    Headers,
)
from burdockwall.connection.figures import (
    build_refusal,
    read_count,
    require_count,
    require_decimal,
)
from burdockwall.connection.upstream import AnswerHead, AnswerOwner, identify_by_header
from burdockwall.errors import BurdockwallError, Code, RequestRefused
from burdockwall.platform import names
from burdockwall.platform.cold import convert_cold_ms
from burdockwall.platform.failure import encode_failure
from burdockwall.platform.load_header import read_load
from burdockwall.platform.size_headers import read_size
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.request.codec import (
    AnswerDetails,
    AttemptDetails,
    ForwardedRequest,
    Refusal,
    Resumption,
    TurnDetails,
)
from burdockwall.request.events import LAST_EVENT_ID
from burdockwall.types import ProgramId, RequestId, TurnId

MS_PER_S = 1000.0
MIN_DEADLINE_MS = 1
LOWEST_PRIORITY = 9
MISDIRECTED_STATUS = 421
NOT_RUN_STATUSES = (408, 429, 503)
NOT_LEAVING = (b"", b"0")
# Headers of callers' requests that endpoints are not sent as they came.
DROPPED_HEADERS = HOP_HEADERS | names.SYSTEM_HEADERS | {RELAYED}
# The id of the last event before the caller has received one.
NO_EVENT_IDS = ("", "0")
# Codes for which the platform expects a status other than that in the code table.
STATUS_OVERRIDES = {
    Code.BUDGET_SPENT: 402,
    Code.TURN_NOT_STORED: 502,
    Code.BODY_CUT: 400,
    # The platform counts 4xx answers to proper requests as denials.
    Code.CRASHES_ENDPOINTS: 500,
}


class PlatformCodec:
    """Reads and writes requests, answers and refusals in the platform's format."""

    def read_request(self, exchange: Exchange) -> ForwardedRequest:
        """Read a caller's request, or raise RequestRefused."""
        headers = dict(exchange.headers)
        request = _get_text(headers, names.REQUEST_ID)
        if not request:
            raise RequestRefused(Code.BAD_REQUEST, "the request has no id")
        program = _get_text(headers, names.PROGRAM_ID)
        target = exchange.raw_path
        if exchange.query:
            target = f"{target}?{exchange.query.decode('latin-1')}"
        dropped = DROPPED_HEADERS | _list_connection_headers(headers)
        return ForwardedRequest(
            request=RequestId(request),
            method=exchange.method,
            target=target,
            host=_get_text(headers, names.HOST).partition(":")[0].lower(),
            path=exchange.raw_path,
            headers=[item for item in exchange.headers if item[0] not in dropped],
            key=_get_text(headers, names.API_KEY) or None,
            deadline_s=_get_seconds(headers, names.DEADLINE_MS),
            program=ProgramId(program) if program else None,
            finish_s=_get_seconds(headers, names.FINISH_MS),
            turn=_read_turn(headers, program),
            resumption=_read_resumption(headers),
            relayed=RELAYED in headers,
            affinity=_get_text(headers, names.AFFINITY_KEY),
            size=read_size(headers),
        )

    def build_headers(
        self, request: ForwardedRequest, attempt: AttemptDetails
    ) -> Headers:
        """Build the headers for an endpoint."""
        headers = [*request.headers, _build_deadline(attempt.remaining_s)]
        headers.append((names.EXPECT_INSTANCE, attempt.endpoint.name.encode()))
        if attempt.customer is not None:
            headers.append((names.TENANT, attempt.customer.encode()))
        priority = min(LOWEST_PRIORITY, max(0, attempt.rank))
        headers.append((names.REQUEST_PRIORITY, str(priority).encode()))
        return headers + _describe_body(request, attempt.body_bytes)

    def build_health_headers(self, endpoint: ListedEndpoint) -> Headers:
        """Build the headers of a request for the health of an endpoint."""
        return [
            (names.HOST, endpoint.address.encode()),
            (names.EXPECT_INSTANCE, endpoint.name.encode()),
        ]

    def build_relay_headers(
        self, request: ForwardedRequest, remaining_s: float, body_bytes: int
    ) -> Headers:
        """Build the headers for another entry instance that serves the request."""
        headers = [
            *request.headers,
            (RELAYED, b"1"),
            _build_deadline(remaining_s),
        ]
        if request.key is not None:
            headers.append((names.API_KEY, request.key.encode("latin-1")))
        return headers + _describe_body(request, body_bytes)

    def identify_answer(
        self, request: ForwardedRequest, headers: Headers
    ) -> AnswerOwner:
        """Return whether an answer belongs to a request."""
        return identify_by_header(headers, names.REQUEST_ID, request.request)

    def read_answer(self, head: AnswerHead) -> AnswerDetails:
        """Read the details of an answer from its status and headers."""
        headers = dict(head.headers)
        misdirected = head.status == MISDIRECTED_STATUS
        ran = names.NOT_EXECUTED not in headers and not misdirected
        load, unreadable_load = read_load(head.headers)
        closes = b"close" in headers.get(names.CONNECTION, b"").lower()
        return AnswerDetails(
            ran,
            closes,
            _read_idle_s(headers),
            load,
            _read_leaving(head.headers),
            misdirected,
            _read_rate_limit(head.headers),
            convert_cold_ms(headers.get(names.COLD_MS)),
            unreadable_load,
            contradicts=ran and head.status in NOT_RUN_STATUSES,
            signed=bool(headers.get(names.SERVER_STAMP, b"").strip()),
        )

    def select_headers(self, head: AnswerHead) -> Headers:
        """Select the headers of an answer that are forwarded to the caller."""
        dropped = HOP_HEADERS | _list_connection_headers(dict(head.headers))
        return [item for item in head.headers if item[0] not in dropped]

    def build_refusal(self, error: BurdockwallError, request: str) -> Refusal:
        """Build a refusal, whose body contains the result code."""
        code_row = error.code.value
        status = STATUS_OVERRIDES.get(error.code, code_row.status)
        headers: Headers = [JSON_TYPE]
        if request:
            headers.append((names.REQUEST_ID, request.encode("latin-1")))
        if error.retry_after_s is not None:
            seconds = f"{error.retry_after_s:.3f}"
            headers.append((names.RETRY_AFTER, seconds.encode()))
        return Refusal(status, headers, encode_failure(error))


def _get_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1").strip()


def _get_seconds(headers: dict[bytes, bytes], name: bytes) -> float | None:
    text = _get_text(headers, name)
    return require_decimal(name, text) / MS_PER_S if text else None


def _build_deadline(remaining_s: float) -> tuple[bytes, bytes]:
    remaining_ms = max(MIN_DEADLINE_MS, int(remaining_s * MS_PER_S))
    return names.DEADLINE_MS, str(remaining_ms).encode()


def _describe_body(request: ForwardedRequest, body_bytes: int) -> Headers:
    if body_bytes or request.method not in ("GET", "HEAD", "DELETE"):
        return [(b"content-length", str(body_bytes).encode())]
    return []


def _read_turn(headers: dict[bytes, bytes], program: str) -> TurnDetails | None:
    if not program or names.TOKEN_USAGE not in headers:
        return None
    budget = _get_text(headers, names.TOKEN_BUDGET)
    previous = _get_text(headers, names.PREVIOUS_TURN)
    usage = _get_text(headers, names.TOKEN_USAGE)
    max_output = read_count(usage.rpartition(",")[2].strip())
    if max_output is None:
        raise build_refusal(names.TOKEN_USAGE, usage)
    return TurnDetails(
        ProgramId(program),
        require_count(names.TOKEN_BUDGET, budget) if budget else None,
        max_output,
        TurnId(previous) if previous else None,
    )


def _read_resumption(headers: dict[bytes, bytes]) -> Resumption | None:
    last_event = _get_text(headers, LAST_EVENT_ID)
    if last_event in NO_EVENT_IDS:
        return None
    begun_by = _get_text(headers, names.RESUMES)
    return Resumption(RequestId(begun_by) if begun_by else None, last_event)


def _list_connection_headers(headers: dict[bytes, bytes]) -> frozenset[bytes]:
    """List the headers that the Connection header declares to be hop-by-hop."""
    value = headers.get(names.CONNECTION, b"")
    return frozenset(item.strip().lower() for item in value.split(b",") if item)


def _read_idle_s(headers: dict[bytes, bytes]) -> float | None:
    for item in headers.get(names.KEEP_ALIVE, b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return read_count(value.decode("latin-1"))
    return None


def _read_leaving(headers: Headers) -> bool:
    """Return whether any value says so; an unknown value counts as yes.

    A request that is sent elsewhere needlessly is harmed less than one that is cut off.
    """
    values = [value.strip() for name, value in headers if name == names.SERVER_LEAVING]
    return any(value not in NOT_LEAVING for value in values)


def _read_rate_limit(headers: Headers) -> float | None:
    """Return the lowest rate that a value names, or None if no value is a rate."""
    values = [value for name, value in headers if name == names.SERVER_LIMIT]
    return find_lowest_rate(value.decode("latin-1") for value in values)
