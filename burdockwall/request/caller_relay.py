"""Pass requests of the own interface on to a peer as they came."""

from burdockwall.connection.exchange import HOP_HEADERS, RELAYED, Exchange, Headers
from burdockwall.connection.upstream import AnswerHead, AnswerOwner
from burdockwall.request.caller import DEADLINE_HEADER, read_deadline
from burdockwall.request.codec import AnswerDetails, ForwardedRequest
from burdockwall.types import RequestId

MS_PER_S = 1000.0
BODYLESS_METHODS = ("GET", "HEAD", "DELETE")


def read_relayed_request(
    exchange: Exchange, request: RequestId, now: float
) -> ForwardedRequest:
    """Read a caller's request without its body."""
    target = exchange.raw_path
    if exchange.query:
        target = f"{target}?{exchange.query.decode('latin-1')}"
    dropped = HOP_HEADERS | {DEADLINE_HEADER}
    deadline = read_deadline(exchange, now)
    return ForwardedRequest(
        request=request,
        method=exchange.method,
        target=target,
        host=exchange.get_header(b"host") or "",
        path=exchange.raw_path,
        headers=[item for item in exchange.headers if item[0] not in dropped],
        key=None,
        deadline_s=None if deadline is None else deadline - now,
        relayed=exchange.get_header(RELAYED) is not None,
    )


class CallerRelayCodec:
    """Builds and reads what entry instances send each other for callers."""

    def build_relay_headers(
        self, request: ForwardedRequest, remaining_s: float, body_bytes: int
    ) -> Headers:
        """Build the headers for another entry instance that serves the request."""
        headers = [*request.headers, (RELAYED, b"1")]
        if request.deadline_s is not None:
            remaining_ms = max(1, int(remaining_s * MS_PER_S))
            headers.append((DEADLINE_HEADER, str(remaining_ms).encode()))
        if body_bytes or request.method not in BODYLESS_METHODS:
            headers.append((b"content-length", str(body_bytes).encode()))
        return headers

    def identify_answer(
        self, request: ForwardedRequest, headers: Headers
    ) -> AnswerOwner:
        """Return the request: a connection to a peer has one at a time."""
        return AnswerOwner.REQUEST

    def read_answer(self, head: AnswerHead) -> AnswerDetails:
        """Read the details of an answer from its headers."""
        closes = b"close" in dict(head.headers).get(b"connection", b"").lower()
        return AnswerDetails(True, closes, None, None)

    def select_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""
        return [item for item in head.headers if item[0] not in HOP_HEADERS]
