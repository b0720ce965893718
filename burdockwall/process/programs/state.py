"""Hold the records of one shard; the same operations give the same state."""

import bisect
import hashlib
from array import array

import msgspec

from burdockwall.errors import Code
from burdockwall.process.programs import calls, families, operations, outcomes
from burdockwall.process.programs.budget import Spend
from burdockwall.process.programs.families import (
    Decision,
    Effect,
    Family,
    Limits,
    refuse,
)
from burdockwall.process.programs.operations import FamilyKey, OutcomeKey, RecordKey
from burdockwall.process.programs.outcomes import OutcomeRecord, OutcomeState
from burdockwall.types import EndpointId, ProgramTag, RequestId

_encoder = msgspec.msgpack.Encoder()
_family_decoder = msgspec.msgpack.Decoder(Family)
_outcome_decoder = msgspec.msgpack.Decoder(OutcomeRecord)
TOMBSTONE_BYTES = 8


def compute_tombstone(key: OutcomeKey) -> int:
    """Compute the digest that remains of a forgotten record."""
    digest = hashlib.sha256(_encoder.encode(key)).digest()
    return int.from_bytes(digest[:TOMBSTONE_BYTES], "big")


class ShardState:
    """Hold the families, outcomes and tombstones of one shard."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.families: dict[FamilyKey, Family] = {}
        self.outcomes: dict[OutcomeKey, OutcomeRecord] = {}
        self.tombstones = array("Q")
        self.tags: dict[ProgramTag, FamilyKey] = {}
        # Calls whose owner must renew, by request.
        self.running: dict[RequestId, RecordKey] = {}

    def is_expired(self, key: OutcomeKey) -> bool:
        """Tell whether a key's record has been forgotten."""
        digest = compute_tombstone(key)
        index = bisect.bisect_left(self.tombstones, digest)
        return index < len(self.tombstones) and self.tombstones[index] == digest

    def add_tombstone(self, digest: int) -> None:
        """Add the digest of a forgotten key once."""
        index = bisect.bisect_left(self.tombstones, digest)
        if index == len(self.tombstones) or self.tombstones[index] != digest:
            self.tombstones.insert(index, digest)

    def is_full(self) -> bool:
        """Tell whether no further record may be created."""
        count = len(self.families) + len(self.outcomes)
        return (
            count >= self.limits.records
            or len(self.tombstones) >= self.limits.tombstones
        )

    def decide(self, call: calls.AnyCall, at: float, lapsed: bool) -> Decision:
        """Decide a call on one record; `lapsed` tells that its owner is silent."""
        match call:
            case calls.BeginCall(key=key):
                family = self.families.get(key)
                if family is None and self.is_full():
                    return refuse(Code.RECORDS_FULL)
                return families.decide_begin(family, call, at, self.limits)
            case calls.FinishTurn(key=key):
                return families.decide_finish(self.families.get(key), call)
            case calls.EndCall(key=key):
                return families.decide_end_call(self.families.get(key), call)
            case calls.EndProgram(key=key):
                return families.decide_end_program(self.families.get(key), call)
            case calls.ReadProgram(key=key):
                return families.decide_read(self.families.get(key), call, at)
            case calls.Claim(key=key):
                record = self.outcomes.get(key)
                if record is None and self.is_full():
                    return refuse(Code.RECORDS_FULL)
                expired = record is None and self.is_expired(key)
                return outcomes.decide_claim(record, call, expired, lapsed)
            case calls.MarkSending(key=key):
                return outcomes.decide_sending(self.outcomes.get(key), call)
            case calls.RecordOutcome(key=key):
                return outcomes.decide_outcome(self.outcomes.get(key), call)
            case calls.RecordNotSent(key=key):
                return outcomes.decide_not_sent(self.outcomes.get(key), call)
            case calls.Settle(key=key):
                return outcomes.decide_settle(self.outcomes.get(key), call)
            case calls.ListUnknown():
                return Decision(self._list_unknown(at))
            case calls.FindGone(tags=tags, requests=requests):
                return Decision(self._find_gone(tags, requests))
            case calls.RenewCalls(requests=requests):
                gone = [item for item in requests if item not in self.running]
                return Decision(calls.GoneFound([], gone))

    def _list_unknown(self, at: float) -> calls.UnknownListed:
        return calls.UnknownListed(
            [
                outcomes.describe_unknown(record, at)
                for record in self.outcomes.values()
                if record.state is OutcomeState.UNKNOWN
            ]
        )

    def _find_gone(
        self, tags: list[ProgramTag], requests: list[RequestId]
    ) -> calls.GoneFound:
        gone_tags = [tag for tag in tags if tag not in self.tags]
        gone_requests = [item for item in requests if item not in self.running]
        return calls.GoneFound(gone_tags, gone_requests)

    def apply(
        self, operation: operations.AnyOperation, sequence: int, at: float
    ) -> list[Effect]:
        """Apply an operation once; a copied record may have it already."""
        if isinstance(operation.key, FamilyKey):
            return self._apply_family(operation, operation.key, sequence, at)
        self._apply_outcome(operation, operation.key, sequence, at)
        return []

    def _apply_family(
        self,
        operation: operations.AnyOperation,
        key: FamilyKey,
        sequence: int,
        at: float,
    ) -> list[Effect]:
        family = self.families.get(key)
        if family is None and isinstance(operation, operations.BeganCall):
            family = Family(key, operation.budget, at)
            self.families[key] = family
        if family is None or family.sequence >= sequence:
            return []
        family.sequence = sequence
        effects: list[Effect | None] = []
        self._drop_index(family)
        match operation:
            case operations.BeganCall():
                effects.append(families.apply_began(family, operation, at))
            case operations.FinishedTurn():
                families.apply_finished(family, operation, at)
            case operations.EndedCall():
                effects.append(families.apply_ended_call(family, operation, at))
            case operations.EndedProgram():
                effects.extend(families.apply_ended_program(family, operation, at))
            case operations.ForgotFamily():
                del self.families[key]
                return []
        self._add_index(family)
        return [effect for effect in effects if effect is not None]

    def _drop_index(self, family: Family) -> None:
        for program in family.programs.values():
            self.tags.pop(program.tag, None)
            for request in program.running:
                self.running.pop(request, None)

    def _add_index(self, family: Family) -> None:
        for program in family.programs.values():
            if program.state is families.ProgramState.ACTIVE:
                self.tags[program.tag] = family.key
            for request in program.running:
                self.running[request] = family.key

    def _apply_outcome(
        self,
        operation: operations.AnyOperation,
        key: OutcomeKey,
        sequence: int,
        at: float,
    ) -> None:
        record = self.outcomes.get(key)
        if record is None and isinstance(operation, operations.Claimed):
            record = OutcomeRecord(
                key,
                operation.digest,
                operation.request,
                operation.owner,
                operation.order,
                at,
            )
            self.outcomes[key] = record
        if isinstance(operation, operations.ForgotOutcome):
            self.add_tombstone(compute_tombstone(key))
        if record is None or record.sequence >= sequence:
            return
        record.sequence = sequence
        self.running.pop(record.request, None)
        if isinstance(operation, operations.ForgotOutcome):
            del self.outcomes[key]
            return
        outcomes.apply_change(record, operation, at)
        self._index_outcome(record)

    def _index_outcome(self, record: OutcomeRecord) -> None:
        if record.state in (OutcomeState.ACCEPTED, OutcomeState.SENDING):
            self.running[record.request] = record.key

    def find_lapse(
        self, request: RequestId
    ) -> operations.AnyOperation | OutcomeRecord | None:
        """Return what follows when a call's owner is silent.

        A record that was accepted and never sent is returned itself: it is sent.
        """
        key = self.running.get(request)
        if isinstance(key, OutcomeKey):
            record = self.outcomes[key]
            if record.state is OutcomeState.ACCEPTED:
                return record
            return operations.BecameUnknown(key, request)
        if key is None:
            return None
        for program in self.families[key].programs.values():
            if request in program.running:
                return operations.EndedCall(
                    key,
                    program.program,
                    request,
                    Spend(),
                    EndpointId(""),
                    lapsed=True,
                )
        return None

    def list_due(self, at: float) -> list[operations.AnyOperation]:
        """List the ends and removals that time has made due."""
        due: list[operations.AnyOperation] = []
        for family in self.families.values():
            operation = families.find_due_operation(family, at, self.limits)
            if operation is not None:
                due.append(operation)
        for record in self.outcomes.values():
            forgetting = outcomes.find_due_forgetting(
                record, at, self.limits.outcome_retention_s
            )
            if forgetting is not None:
                due.append(forgetting)
        return due

    def list_keys(self) -> list[RecordKey]:
        """List the keys of all records."""
        return [*self.families, *self.outcomes]

    def encode_record(self, key: RecordKey) -> bytes | None:
        """Encode one record for a copy, or return None where it is gone."""
        record = (
            self.families.get(key)
            if isinstance(key, FamilyKey)
            else self.outcomes.get(key)
        )
        return _encoder.encode(record) if record is not None else None

    def install_record(self, key: RecordKey, data: bytes) -> None:
        """Install a record that another replica has encoded."""
        if isinstance(key, FamilyKey):
            family = _family_decoder.decode(data)
            self.families[key] = family
            self._add_index(family)
        else:
            record = _outcome_decoder.decode(data)
            self.outcomes[key] = record
            self._index_outcome(record)
