"""Define the operations that change records; each is replicated as a delta."""

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
    """Name why a program has ended."""

    CALLER_GONE = "caller gone"
    SUPERSEDED = "superseded"
    LEASE_EXPIRED = "lease lapsed"
    CANCELLED = "cancelled"
    BUDGET_SPENT = "budget spent"


class ProgramTreeKey(
    msgspec.Struct, frozen=True, array_like=True, tag="FamilyKey", order=True
):
    """Name a root program of a customer; its sub-agents share the record."""

    customer: CustomerId
    root: ProgramId


class OutcomeKey(msgspec.Struct, frozen=True, array_like=True, tag=True, order=True):
    """Name the record of one unrepeatable request."""

    customer: CustomerId
    route: RouteName
    key: IdempotencyKey


RecordKey = ProgramTreeKey | OutcomeKey


class Operation(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Change one record; the base of every operation."""


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

    `gone` tells that the caller left; `lapsed` charges the whole reservation.
    """

    key: ProgramTreeKey
    program: ProgramId
    request: RequestId
    spend: Spend
    endpoint: EndpointId
    gone: bool = False
    lease_expired: bool = False


class EndedProgram(Operation, frozen=True):
    """End a program with its sub-agents."""

    key: ProgramTreeKey
    program: ProgramId
    reason: EndReason


class RemovedProgramTree(Operation, frozen=True, tag="ForgotFamily"):
    """Remove a family whose retention is over."""

    key: ProgramTreeKey


class Order(msgspec.Struct, frozen=True, array_like=True):
    """Hold what is needed to send an accepted request from any instance."""

    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Hold the answer of a service."""

    status: int
    content_type: str
    body: bytes


class Claimed(Operation, frozen=True):
    """Accept an unrepeatable request for sending by one attempt."""

    key: OutcomeKey
    request: RequestId
    digest: bytes
    owner: InstanceId
    order: Order


class Sending(Operation, frozen=True):
    """Record that the request may leave from now on."""

    key: OutcomeKey
    request: RequestId


class Finished(Operation, frozen=True):
    """Record the outcome of a request."""

    key: OutcomeKey
    request: RequestId
    outcome: Outcome


class NotSent(Operation, frozen=True):
    """Record that the request provably never left."""

    key: OutcomeKey
    request: RequestId


class BecameUnknown(Operation, frozen=True):
    """Record that nobody knows whether the request ran."""

    key: OutcomeKey
    request: RequestId


class Settled(Operation, frozen=True):
    """Record an operator's finding on an unknown outcome."""

    key: OutcomeKey
    operator: OperatorId
    ran: bool
    note: str


class RemovedOutcome(Operation, frozen=True, tag="ForgotOutcome"):
    """Replace a record whose retention is over by its digest."""

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
