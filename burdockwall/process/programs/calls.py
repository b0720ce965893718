"""Define the calls on records that a shard's primary decides, and their answers.

Names such as BeginCall, EndCall and RenewCalls use "call" also for what they begin,
end or renew: a turn, a tool call, or an attempt to run an unrepeatable request.
"""

import msgspec

from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.operations import (
    EndReason,
    Outcome,
    OutcomeKey,
    ProgramTreeKey,
    ServiceRequest,
)
from burdockwall.types import (
    EndpointId,
    InstanceId,
    OperatorId,
    ProgramId,
    ProgramTag,
    RequestId,
)


class Call(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of every call."""


class BeginCall(Call, frozen=True):
    """Begin a turn, or a tool call where `tool` is set.

    `cached_turns` is the number of turns of the history that the sender has cached,
    and `cached_tag` the tag of the program that they belong to.
    """

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    number: int | None
    digest: bytes
    reserve: Spend
    owner: InstanceId
    budget: Budget
    tool: bool = False
    supersedes: bool = False
    cached_turns: int = 0
    cached_tag: str = ""


class FinishTurn(Call, frozen=True):
    """Store a finished turn; the caller gets the end of its answer after that."""

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    content: bytes
    spend: Spend
    endpoint: EndpointId


class EndCall(Call, frozen=True):
    """End a call that adds no turn; `caller_left` is set if the caller disconnected."""

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    spend: Spend
    endpoint: EndpointId = EndpointId("")
    caller_left: bool = False


class EndProgram(Call, frozen=True):
    """End a program with its sub-agents."""

    key: ProgramTreeKey
    program: ProgramId
    reason: EndReason


class ReadProgram(Call, frozen=True):
    """Read a program's status and history."""

    key: ProgramTreeKey
    program: ProgramId


class Claim(Call, frozen=True):
    """Claim the one run of an unrepeatable request.

    `follows` is the previous attempt, if one has ended without a run.
    """

    key: OutcomeKey
    request: RequestId
    digest: bytes
    owner: InstanceId
    service_request: ServiceRequest
    follows: RequestId | None = None


class MarkSending(Call, frozen=True):
    """Record that the request may be sent from now on."""

    key: OutcomeKey
    request: RequestId


class RecordOutcome(Call, frozen=True):
    """Record the outcome of a request."""

    key: OutcomeKey
    request: RequestId
    outcome: Outcome


class RecordNotSent(Call, frozen=True):
    """Record that a request was provably never sent."""

    key: OutcomeKey
    request: RequestId


class Settle(Call, frozen=True):
    """Record an operator's finding on an unknown outcome."""

    key: OutcomeKey
    operator: OperatorId
    ran: bool
    note: str


class ListUnknown(Call, frozen=True):
    """List the unknown outcomes of a shard."""


class RenewCalls(Call, frozen=True):
    """Renew running calls; the answer names those that no longer run."""

    requests: list[RequestId]


class FindEnded(Call, frozen=True, tag="FindGone"):
    """Ask which of an engine's programs and requests have ended or been removed."""

    tags: list[ProgramTag]
    requests: list[RequestId]


AnyCall = (
    BeginCall
    | FinishTurn
    | EndCall
    | EndProgram
    | ReadProgram
    | Claim
    | MarkSending
    | RecordOutcome
    | RecordNotSent
    | Settle
    | ListUnknown
    | RenewCalls
    | FindEnded
)


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of every answer."""


class Refused(Answer, frozen=True):
    """Refuses a call with the number of a code."""

    code: int
    detail: str = ""


class Accepted(Answer, frozen=True):
    """Confirms that the write is on every replica."""


class CallGranted(Answer, frozen=True):
    """Grants a call.

    `turns` is the history after the first `cached_turns`, which the sender has;
    `time_left_s` is what is left of the program's time budget.
    """

    number: int
    tag: ProgramTag
    cached_turns: int
    turns: list[bytes]
    time_left_s: float


class TurnRepeated(Answer, frozen=True):
    """Returns the stored answer of a finished turn."""

    content: bytes


class ProgramStatus(Answer, frozen=True, tag="ProgramShown"):
    """A program's status and history; `turn` is the number of finished turns."""

    program: ProgramId
    state: str
    reason: str
    turn: int
    running: list[str]
    children: list[ProgramId]
    budget: Budget
    spent: Spend
    reserved: Spend
    age_s: float
    turns: list[bytes]


class ClaimGranted(Answer, frozen=True):
    """Grants the one run of a request to the attempt that claimed it."""


class ClaimFree(Answer, frozen=True):
    """Names an attempt that ended without a run; a new claim may follow it."""

    request: RequestId


class ClaimRunning(Answer, frozen=True):
    """Reports that another attempt is in progress."""


class ClaimFinished(Answer, frozen=True):
    """Returns the one outcome of a request."""

    outcome: Outcome


class UnknownOutcome(msgspec.Struct, frozen=True, array_like=True):
    """An unknown outcome, as shown to the operator who settles it."""

    customer: str
    route: str
    key: str
    request: RequestId
    method: str
    path: str
    body: bytes
    owner: InstanceId
    age_s: float


class UnknownOutcomes(Answer, frozen=True, tag="UnknownListed"):
    """The unknown outcomes of a shard."""

    items: list[UnknownOutcome]


class EndedIds(Answer, frozen=True, tag="GoneFound"):
    """The programs and requests that have ended and will not come back."""

    tags: list[ProgramTag]
    requests: list[RequestId]


AnyAnswer = (
    Refused
    | Accepted
    | CallGranted
    | TurnRepeated
    | ProgramStatus
    | ClaimGranted
    | ClaimFree
    | ClaimRunning
    | ClaimFinished
    | UnknownOutcomes
    | EndedIds
)
