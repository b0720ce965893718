"""Define the operations that change records; they are replicated as deltas."""

from enum import Enum

import msgspec

from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.types import (
    CustomerId,
    EndpointId,
    IdempotencyKey,
    InstanceId,
    OperatorId,
    ProgramId,
    RequestId,
    RouteName,
)


class EndReason(Enum):
    """The reason why a program has ended."""

    CALLER_LEFT = "caller gone"
    SUPERSEDED = "superseded"
    LEASE_EXPIRED = "lease lapsed"
    CANCELLED = "cancelled"
    BUDGET_SPENT = "budget spent"


class ProgramTreeKey(
    msgspec.Struct, frozen=True, array_like=True, tag="FamilyKey", order=True
):
    """The key of a program tree: a customer and its root program."""

    customer: CustomerId
    root: ProgramId


class OutcomeKey(msgspec.Struct, frozen=True, array_like=True, tag=True, order=True):
    """The key of the record of one unrepeatable request."""

    customer: CustomerId
    route: RouteName
    key: IdempotencyKey


RecordKey = ProgramTreeKey | OutcomeKey


class Operation(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of every operation; each changes one record."""


class BeganCall(Operation, frozen=True):
    """Begin a turn, or a tool call where the number is 0.

    `replaces` is the running turn that this one supersedes.
    """

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    number: int
    digest: bytes
    reserved: Spend
    owner: InstanceId
    budget: Budget
    replaces: RequestId | None = None


class FinishedTurn(Operation, frozen=True):
    """Append a turn to the history and settle its reservation."""

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    content: bytes
    spend: Spend
    endpoint: EndpointId


class EndedCall(Operation, frozen=True):
    """End a call that adds nothing to the history and settle its reservation.

    `caller_left` is set if the caller disconnected. `lease_expired` is set if the
    owner stopped renewing the call; the whole reservation is then charged.
    """

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    spend: Spend
    endpoint: EndpointId
    caller_left: bool = False
    lease_expired: bool = False


class EndedProgram(Operation, frozen=True):
    """End a program with its sub-agents."""

    key: ProgramTreeKey
    program: ProgramId
    reason: EndReason


class RemovedProgramTree(Operation, frozen=True, tag="ForgotFamily"):
    """Remove a program tree whose retention time is over."""

    key: ProgramTreeKey


class ServiceRequest(msgspec.Struct, frozen=True, array_like=True):
    """An accepted request, complete enough for any instance to send it."""

    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The answer of a service."""

    status: int
    content_type: str
    body: bytes


class Claimed(Operation, frozen=True):
    """Accept an unrepeatable request, to be sent by one attempt."""

    key: OutcomeKey
    request: RequestId
    digest: bytes
    owner: InstanceId
    service_request: ServiceRequest


class Sending(Operation, frozen=True):
    """Record that the request may be sent from now on."""

    key: OutcomeKey
    request: RequestId


class Finished(Operation, frozen=True):
    """Record the outcome of a request."""

    key: OutcomeKey
    request: RequestId
    outcome: Outcome


class NotSent(Operation, frozen=True):
    """Record that the request was provably never sent."""

    key: OutcomeKey
    request: RequestId


class BecameUnknown(Operation, frozen=True):
    """Record that it is unknown whether the request ran."""

    key: OutcomeKey
    request: RequestId


class Settled(Operation, frozen=True):
    """Record an operator's finding on an unknown outcome."""

    key: OutcomeKey
    operator: OperatorId
    ran: bool
    note: str


class RemovedOutcome(Operation, frozen=True, tag="ForgotOutcome"):
    """Replace a record whose retention time is over by a tombstone."""

    key: OutcomeKey


AnyOperation = (
    BeganCall
    | FinishedTurn
    | EndedCall
    | EndedProgram
    | RemovedProgramTree
    | Claimed
    | Sending
    | Finished
    | NotSent
    | BecameUnknown
    | Settled
    | RemovedOutcome
)
