"""Define what is known of a request that is passed on as it came.

How requests, answers and refusals are spelt is the codec's matter.
"""

from dataclasses import dataclass
from typing import Protocol

from burdockwall.connection.exchange import Exchange, Headers
from burdockwall.connection.upstream import AnswerHead
from burdockwall.errors import BurdockwallError
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.balance import ReportedLoad
from burdockwall.types import CustomerId, ProgramId, RequestId, TurnId


@dataclass(frozen=True, slots=True)
class TurnDetails:
    """Describe the turn of a program that a request carries, as its caller does."""

    program: ProgramId
    budget: int | None
    tokens: int
    previous: TurnId | None


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """Hold a caller's request; `headers` are those that may go on."""

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


@dataclass(frozen=True, slots=True)
class AttemptDetails:
    """Hold what the system adds to a request for one endpoint."""

    endpoint: ListedEndpoint
    remaining_s: float
    customer: CustomerId | None
    rank: int
    body_bytes: int


@dataclass(frozen=True, slots=True)
class AnswerDetails:
    """Hold what an endpoint's answer says beside its content.

    `idle_s` is how long the endpoint keeps the connection, where it says so.
    """

    ran: bool
    closes: bool
    idle_s: float | None
    load: ReportedLoad | None


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold the spelling of a refusal."""

    status: int
    headers: Headers
    body: bytes


class RequestCodec(Protocol):
    """Spell and read what callers and endpoints are told."""

    def read_request(self, exchange: Exchange) -> ForwardedRequest:
        """Read a caller's request, or raise RequestRefused."""
        ...

    def build_headers(
        self, request: ForwardedRequest, attempt: AttemptDetails
    ) -> Headers:
        """Build the headers for an endpoint."""
        ...

    def is_answer_to(self, request: ForwardedRequest, headers: Headers) -> bool:
        """Tell whether an answer belongs to a request."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerDetails:
        """Read what an answer says beside its content."""
        ...

    def select_headers(self, head: AnswerHead) -> Headers:
        """Select the headers of an answer that go on to the caller."""
        ...

    def build_refusal(self, error: BurdockwallError) -> Refusal:
        """Spell a refusal."""
        ...
