"""Requests that are forwarded as they came, and the interface of their codec.

A codec reads and writes the headers of one protocol between callers and endpoints.
"""

from typing import Protocol

import msgspec

from burdockwall.connection.exchange import Exchange, Headers
from burdockwall.connection.upstream import AnswerHead, AnswerOwner
from burdockwall.errors import BurdockwallError
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.balance import ReportedLoad
from burdockwall.process.scheduling.request_size import DeclaredSize
from burdockwall.types import CustomerId, ProgramId, RequestId, TurnId


class TurnDetails(msgspec.Struct, frozen=True):
    """The turn of a program that a request carries, as its caller describes it."""

    program: ProgramId
    budget: int | None
    tokens: int
    previous: TurnId | None


class Resumption(msgspec.Struct, frozen=True):
    """The stream that a request takes up after its last event received.

    `begun_by` is the request whose answer began the stream, or None if the caller does
    not name it.
    """

    begun_by: RequestId | None
    last_event: str


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A caller's request without its body.

    `headers` are those that may be forwarded, and `key` is the caller's key.
    `deadline_s` is how long after its start the request may take, or None if the caller
    sets no limit. `finish_s` is not used. `relayed` is true if another entry instance
    passes the request on for its caller. `size` is what the caller declares of it.
    """

    request: RequestId
    method: str
    target: str
    host: str
    path: str
    headers: Headers
    key: str | None
    deadline_s: float | None
    program: ProgramId | None = None
    finish_s: float | None = None
    turn: TurnDetails | None = None
    resumption: Resumption | None = None
    relayed: bool = False
    # Names the object that the request works on; empty if the caller names none.
    affinity: str = ""
    size: DeclaredSize = DeclaredSize()


class AttemptDetails(msgspec.Struct, frozen=True):
    """The details that are added to a request for one attempt at one endpoint."""

    endpoint: ListedEndpoint
    remaining_s: float
    customer: CustomerId | None
    rank: int
    body_bytes: int


class AnswerDetails(msgspec.Struct, frozen=True):
    """What the headers of an endpoint's answer say about request and connection.

    `ran` is false if the endpoint did not run the request, and `closes` is true if it
    closes the connection after the answer. `idle_s` is how long it keeps an idle
    connection open, or None if it does not say. `leaving` is true if the endpoint takes
    no new work because it is about to stop. `misdirected` is true if another endpoint
    answered. `rate_limit_per_s` is the request rate that the endpoint takes from all
    instances together, or None if it names none. `unreadable_load` is a load
    report that can't be read, or None.
    `contradicts` is true if the status promises that the request has not run, and the
    endpoint does not say so. `signed` is false if the answer lacks what only endpoints
    add, so that another program may have given it.
    """

    ran: bool
    closes: bool
    idle_s: float | None
    load: ReportedLoad | None
    leaving: bool = False
    misdirected: bool = False
    rate_limit_per_s: float | None = None
    # How long the endpoint stays cold; None if it does not say, NaN if unreadable.
    cold_left_s: float | None = None
    unreadable_load: str | None = None
    contradicts: bool = False
    signed: bool = True


class Refusal(msgspec.Struct, frozen=True):
    """An encoded refusal."""

    status: int
    headers: Headers
    body: bytes


class RelayCodec(Protocol):
    """Builds headers for a peer that serves a request, and reads its answer."""

    def build_relay_headers(
        self, request: ForwardedRequest, remaining_s: float, body_bytes: int
    ) -> Headers:
        """Build the headers for another entry instance that serves the request."""
        ...

    def identify_answer(
        self, request: ForwardedRequest, headers: Headers
    ) -> AnswerOwner:
        """Return whether an answer belongs to a request."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerDetails:
        """Read the details of an answer from its headers."""
        ...

    def select_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""
        ...


class RequestCodec(RelayCodec, Protocol):
    """Reads requests and answers, and builds the headers and refusals to send."""

    def read_request(self, exchange: Exchange) -> ForwardedRequest:
        """Read a caller's request, or raise RequestRefused."""
        ...

    def build_headers(
        self, request: ForwardedRequest, attempt: AttemptDetails
    ) -> Headers:
        """Build the headers for an endpoint."""
        ...

    def build_health_headers(self, endpoint: ListedEndpoint) -> Headers:
        """Build the headers of a request for the health of an endpoint."""
        ...

    def build_refusal(self, error: BurdockwallError, request: str) -> Refusal:
        """Encode the refusal of a request, whose id may be empty."""
        ...
