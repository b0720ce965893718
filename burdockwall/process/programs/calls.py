"""Define what instances ask of a shard's primary, and what it answers."""

import msgspec

from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.operations import (
    EndReason,
    Order,
    Outcome,
    OutcomeKey,
    ProgramTreeKey,
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
    """Ask something of one record; the base of every call."""


class BeginCall(Call, frozen=True):
    """Begin a turn, or a tool call where `tool` is set.

    `held` is the number of turns of the history that the asker already has.
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
    """Store a finished turn before the caller is told that it is done."""

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    content: bytes
    spend: Spend
    endpoint: EndpointId


class EndCall(Call, frozen=True):
    """End a call without a turn; `gone` tells that the caller left."""

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    spend: Spend
    endpoint: EndpointId = EndpointId("")
    gone: bool = False


class EndProgram(Call, frozen=True):
    """End a program with its sub-agents."""

    key: ProgramTreeKey
    program: ProgramId
    reason: EndReason


class ReadProgram(Call, frozen=True):
    """Read where a program stands and its history."""

    key: ProgramTreeKey
    program: ProgramId


class Claim(Call, frozen=True):
    """Claim the one run of an unrepeatable request.

    `follows` is the former attempt, where one has ended without a run.
    """

    key: OutcomeKey
    request: RequestId
    digest: bytes
    owner: InstanceId
    order: Order
    follows: RequestId | None = None


class MarkSending(Call, frozen=True):
    """Record that the request may leave from now on."""

    key: OutcomeKey
    request: RequestId


class RecordOutcome(Call, frozen=True):
    """Record the outcome of a request."""

    key: OutcomeKey
    request: RequestId
    outcome: Outcome


class RecordNotSent(Call, frozen=True):
    """Record that a request provably never left."""

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
    """Keep calls under way alive; the answer names those that are not."""

    requests: list[RequestId]


class FindGone(Call, frozen=True):
    """Ask which programs and requests that an engine holds are gone."""

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
    | FindGone
)


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer a call; the base of every answer."""


class Refused(Answer, frozen=True):
    """Refuse a call with the number of a code."""

    code: int
    detail: str = ""


class Accepted(Answer, frozen=True):
    """Confirm that the write is on every replica."""


class CallGranted(Answer, frozen=True):
    """Grant a call: the turn, the history after what was held, the time left."""

    number: int
    tag: ProgramTag
    cached_turns: int
    turns: list[bytes]
    time_left_s: float


class TurnRepeated(Answer, frozen=True):
    """Return the first answer of a finished turn."""

    content: bytes


class ProgramStatus(Answer, frozen=True, tag="ProgramShown"):
    """Show where a program stands, and its history."""

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
    """Grant the one run of a request to the asker."""


class ClaimFree(Answer, frozen=True):
    """Name the attempt that has ended without a run and may be followed."""

    request: RequestId


class ClaimRunning(Answer, frozen=True):
    """Tell that another attempt is under way."""


class ClaimFinished(Answer, frozen=True):
    """Return the one outcome of a request."""

    outcome: Outcome


class UnknownOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Describe one unknown outcome to the operator who settles it."""

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
    """List unknown outcomes."""

    items: list[UnknownOutcome]


class GoneFound(Answer, frozen=True):
    """Name the programs and requests that are gone for good."""

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
    | GoneFound
)
