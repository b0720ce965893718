"""Decide and apply changes to the records of unrepeatable requests.

A record passes through the states accepted, sending and done, and is written before
each step. A request is sent only after every replica has the state `sending`. A
request that is still accepted was therefore never sent, and a new attempt may send
it. `shard_time` is the shard's time in seconds.
"""

from enum import Enum

import msgspec

from burdockwall.errors import Code
from burdockwall.process.programs import calls, operations
from burdockwall.process.programs.operations import Outcome, OutcomeKey, ServiceRequest
from burdockwall.process.programs.program_tree import Decision, refuse
from burdockwall.types import InstanceId, RequestId


class OutcomeState(Enum):
    """The progress of an unrepeatable request, or how it was settled."""

    ACCEPTED = "accepted"
    SENDING = "sending"
    DONE = "done"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"
    SETTLED_RAN = "settled as run"
    SETTLED_NOT_RUN = "settled as not run"


_OPEN_STATES = (OutcomeState.ACCEPTED, OutcomeState.SENDING, OutcomeState.UNKNOWN)


class OutcomeRecord(msgspec.Struct, array_like=True):
    """The record of one unrepeatable request: its attempt, content and outcome.

    `request` and `owner` are those of the latest attempt.
    """

    key: OutcomeKey
    digest: bytes
    request: RequestId
    owner: InstanceId
    service_request: ServiceRequest
    changed_at: float
    state: OutcomeState = OutcomeState.ACCEPTED
    outcome: Outcome | None = None
    sequence: int = 0
    note: str = ""


def decide_claim(
    record: OutcomeRecord | None,
    call: calls.Claim,
    key_expired: bool,
    owner_silent: bool,
) -> Decision:
    """Decide whether an attempt may run a request.

    `key_expired` is set if the key's record was removed after its retention time;
    `owner_silent` if the owner of the current attempt has stopped renewing it.
    """
    if key_expired:
        return refuse(Code.IDEMPOTENCY_EXPIRED)
    if record is None:
        return _claim(call)
    if record.digest != call.digest:
        return refuse(Code.IDEMPOTENCY_CONFLICT)
    match record.state:
        case OutcomeState.ACCEPTED if record.request == call.request:
            return Decision(calls.ClaimGranted())
        case OutcomeState.ACCEPTED if owner_silent:
            return _claim(call)
        case OutcomeState.ACCEPTED | OutcomeState.SENDING:
            return Decision(calls.ClaimRunning())
        case OutcomeState.DONE:
            assert record.outcome is not None
            return Decision(calls.ClaimFinished(record.outcome))
        case OutcomeState.UNKNOWN:
            return refuse(Code.OUTCOME_UNKNOWN)
        case OutcomeState.SETTLED_RAN:
            return refuse(Code.SETTLED_AS_RUN, record.note)
        case _ if call.follows == record.request:
            return _claim(call)
        case _:
            # The previous attempt ended without a run. A delayed duplicate of its
            # claim must not run, so a new attempt names the one that it follows.
            return Decision(calls.ClaimFree(record.request))


def _claim(call: calls.Claim) -> Decision:
    operation = operations.Claimed(
        call.key, call.request, call.digest, call.owner, call.service_request
    )
    return Decision(calls.ClaimGranted(), operation)


def decide_sending(record: OutcomeRecord | None, call: calls.MarkSending) -> Decision:
    """Decide whether an attempt may send its request."""
    if record is None or record.request != call.request:
        return refuse(Code.CALL_REVOKED)
    match record.state:
        case OutcomeState.ACCEPTED:
            operation = operations.Sending(call.key, call.request)
            return Decision(calls.Accepted(), operation)
        case OutcomeState.SENDING:
            return Decision(calls.Accepted())
        case _:
            return refuse(Code.CALL_REVOKED)


def decide_outcome(record: OutcomeRecord | None, call: calls.RecordOutcome) -> Decision:
    """Decide whether to store an attempt's outcome."""
    if record is None or record.request != call.request:
        return refuse(Code.CALL_REVOKED)
    if record.state in (OutcomeState.SENDING, OutcomeState.UNKNOWN):
        operation = operations.Finished(call.key, call.request, call.outcome)
        return Decision(calls.Accepted(), operation)
    if record.state is OutcomeState.DONE:
        return Decision(calls.Accepted())
    return refuse(Code.CALL_REVOKED)


def decide_not_sent(
    record: OutcomeRecord | None, call: calls.RecordNotSent
) -> Decision:
    """Decide whether to record that an attempt never sent its request."""
    if record is None or record.request != call.request:
        return refuse(Code.CALL_REVOKED)
    if record.state in _OPEN_STATES:
        operation = operations.NotSent(call.key, call.request)
        return Decision(calls.Accepted(), operation)
    if record.state is OutcomeState.NOT_SENT:
        return Decision(calls.Accepted())
    return refuse(Code.CALL_REVOKED)


def decide_settle(record: OutcomeRecord | None, call: calls.Settle) -> Decision:
    """Decide whether an operator may settle a record."""
    if record is None:
        return refuse(Code.PROGRAM_UNKNOWN, "no such record")
    if record.state is not OutcomeState.UNKNOWN:
        return refuse(Code.IDEMPOTENCY_RUNNING, f"the record is {record.state.value}")
    operation = operations.Settled(call.key, call.operator, call.ran, call.note)
    return Decision(calls.Accepted(), operation)


def describe_unknown(record: OutcomeRecord, shard_time: float) -> calls.UnknownOutcome:
    """Describe an unknown outcome to the operator who settles it."""
    return calls.UnknownOutcome(
        customer=record.key.customer,
        route=record.key.route,
        key=record.key.key,
        request=record.request,
        method=record.service_request.method,
        path=record.service_request.path,
        body=record.service_request.body,
        owner=record.owner,
        age_s=shard_time - record.changed_at,
    )


def apply_change(
    record: OutcomeRecord, operation: operations.AnyOperation, shard_time: float
) -> None:
    """Apply an operation to an existing record."""
    match operation:
        case operations.Claimed():
            record.request = operation.request
            record.owner = operation.owner
            record.service_request = operation.service_request
            record.state = OutcomeState.ACCEPTED
        case operations.Sending():
            record.state = OutcomeState.SENDING
        case operations.Finished(outcome=outcome):
            record.state = OutcomeState.DONE
            record.outcome = outcome
            record.service_request = ServiceRequest(
                record.service_request.method, record.service_request.path, [], b""
            )
        case operations.NotSent():
            record.state = OutcomeState.NOT_SENT
        case operations.BecameUnknown():
            record.state = OutcomeState.UNKNOWN
        case operations.Settled(ran=ran, operator=operator, note=note):
            ran_state = OutcomeState.SETTLED_RAN
            record.state = ran_state if ran else OutcomeState.SETTLED_NOT_RUN
            record.note = f"{operator}: {note}"
    record.changed_at = shard_time


def find_due_removal(
    record: OutcomeRecord, shard_time: float, retention_s: float
) -> operations.RemovedOutcome | None:
    """Return the removal of a record whose retention time is over, or None.

    An accepted, sending or unknown record is never removed.
    """
    if record.state in _OPEN_STATES or shard_time - record.changed_at < retention_s:
        return None
    return operations.RemovedOutcome(record.key)
