"""Store the records of one shard.

The state is deterministic: replicas that apply the same operations hold the same
records. `shard_time` is the shard's time in seconds.
"""

import bisect
import hashlib
from array import array

import msgspec

from burdockwall.errors import Code
from burdockwall.process.programs import calls, operations, outcomes, program_tree
from burdockwall.process.programs.budget import Spend
from burdockwall.process.programs.operations import (
    OutcomeKey,
    ProgramTreeKey,
    RecordKey,
)
from burdockwall.process.programs.outcomes import OutcomeRecord, OutcomeState
from burdockwall.process.programs.program_tree import (
    Decision,
    Effect,
    Limits,
    ProgramTree,
    refuse,
)
from burdockwall.types import EndpointId, ProgramTag, RequestId

_encoder = msgspec.msgpack.Encoder()
_tree_decoder = msgspec.msgpack.Decoder(ProgramTree)
_outcome_decoder = msgspec.msgpack.Decoder(OutcomeRecord)
TOMBSTONE_BYTES = 8


def compute_tombstone(key: OutcomeKey) -> int:
    """Compute the digest that is stored in place of a removed record."""
    digest = hashlib.sha256(_encoder.encode(key)).digest()
    return int.from_bytes(digest[:TOMBSTONE_BYTES], "big")


class ShardState:
    """The program trees, outcome records and tombstones of one shard.

    `tombstones` is sorted. `tags` and `running` are indexes into the records.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.trees: dict[ProgramTreeKey, ProgramTree] = {}
        self.outcomes: dict[OutcomeKey, OutcomeRecord] = {}
        self.tombstones = array("Q")
        self.tags: dict[ProgramTag, ProgramTreeKey] = {}
        # The records of the calls that their owners must renew.
        self.running: dict[RequestId, RecordKey] = {}

    def is_expired(self, key: OutcomeKey) -> bool:
        """Return whether a key's record was removed after its retention time."""
        digest = compute_tombstone(key)
        index = bisect.bisect_left(self.tombstones, digest)
        return index < len(self.tombstones) and self.tombstones[index] == digest

    def add_tombstone(self, digest: int) -> None:
        """Add the digest of a removed record's key, unless it is there already."""
        index = bisect.bisect_left(self.tombstones, digest)
        if index == len(self.tombstones) or self.tombstones[index] != digest:
            self.tombstones.insert(index, digest)

    def is_full(self) -> bool:
        """Return whether no further record may be created."""
        count = len(self.trees) + len(self.outcomes)
        return (
            count >= self.limits.records
            or len(self.tombstones) >= self.limits.tombstones
        )

    def decide(
        self, call: calls.AnyCall, shard_time: float, owner_silent: bool
    ) -> Decision:
        """Decide how to answer a call, and what to write for it.

        `owner_silent` is set for a claim if the owner of the record's current
        attempt has stopped renewing it.
        """
        match call:
            case calls.BeginCall(key=key):
                tree = self.trees.get(key)
                if tree is None and self.is_full():
                    return refuse(Code.RECORDS_FULL)
                return program_tree.decide_begin(tree, call, shard_time, self.limits)
            case calls.FinishTurn(key=key):
                return program_tree.decide_finish(self.trees.get(key), call)
            case calls.EndCall(key=key):
                return program_tree.decide_end_call(self.trees.get(key), call)
            case calls.EndProgram(key=key):
                return program_tree.decide_end_program(self.trees.get(key), call)
            case calls.ReadProgram(key=key):
                return program_tree.decide_read(self.trees.get(key), call, shard_time)
            case calls.Claim(key=key):
                record = self.outcomes.get(key)
                if record is None and self.is_full():
                    return refuse(Code.RECORDS_FULL)
                expired = record is None and self.is_expired(key)
                return outcomes.decide_claim(record, call, expired, owner_silent)
            case calls.MarkSending(key=key):
                return outcomes.decide_sending(self.outcomes.get(key), call)
            case calls.RecordOutcome(key=key):
                return outcomes.decide_outcome(self.outcomes.get(key), call)
            case calls.RecordNotSent(key=key):
                return outcomes.decide_not_sent(self.outcomes.get(key), call)
            case calls.Settle(key=key):
                return outcomes.decide_settle(self.outcomes.get(key), call)
            case calls.ListUnknown():
                return Decision(self._list_unknown(shard_time))
            case calls.FindEnded(tags=tags, requests=requests):
                return Decision(self._find_ended(tags, requests))
            case calls.RenewCalls(requests=requests):
                ended = [item for item in requests if item not in self.running]
                return Decision(calls.EndedIds([], ended))

    def _list_unknown(self, shard_time: float) -> calls.UnknownOutcomes:
        return calls.UnknownOutcomes(
            [
                outcomes.describe_unknown(record, shard_time)
                for record in self.outcomes.values()
                if record.state is OutcomeState.UNKNOWN
            ]
        )

    def _find_ended(
        self, tags: list[ProgramTag], requests: list[RequestId]
    ) -> calls.EndedIds:
        ended_tags = [tag for tag in tags if tag not in self.tags]
        ended_requests = [item for item in requests if item not in self.running]
        return calls.EndedIds(ended_tags, ended_requests)

    def apply(
        self, operation: operations.AnyOperation, sequence: int, shard_time: float
    ) -> list[Effect]:
        """Apply an operation, and return its effects.

        An operation that a record already includes is skipped: a record that was
        copied from the primary may be ahead of the log.
        """
        if isinstance(operation.key, ProgramTreeKey):
            return self._apply_to_tree(operation, operation.key, sequence, shard_time)
        self._apply_to_outcome(operation, operation.key, sequence, shard_time)
        return []

    def _apply_to_tree(
        self,
        operation: operations.AnyOperation,
        key: ProgramTreeKey,
        sequence: int,
        shard_time: float,
    ) -> list[Effect]:
        tree = self.trees.get(key)
        if tree is None and isinstance(operation, operations.BeganCall):
            tree = ProgramTree(key, operation.budget, shard_time)
            self.trees[key] = tree
        if tree is None or tree.sequence >= sequence:
            return []
        tree.sequence = sequence
        effects: list[Effect | None] = []
        self._remove_from_index(tree)
        match operation:
            case operations.BeganCall():
                effects.append(program_tree.apply_began(tree, operation, shard_time))
            case operations.FinishedTurn():
                program_tree.apply_finished(tree, operation, shard_time)
            case operations.EndedCall():
                effects.append(
                    program_tree.apply_ended_call(tree, operation, shard_time)
                )
            case operations.EndedProgram():
                effects.extend(
                    program_tree.apply_ended_program(tree, operation, shard_time)
                )
            case operations.RemovedProgramTree():
                del self.trees[key]
                return []
        self._add_to_index(tree)
        return [effect for effect in effects if effect is not None]

    def _remove_from_index(self, tree: ProgramTree) -> None:
        for program in tree.programs.values():
            self.tags.pop(program.tag, None)
            for request in program.running:
                self.running.pop(request, None)

    def _add_to_index(self, tree: ProgramTree) -> None:
        for program in tree.programs.values():
            if program.state is program_tree.ProgramState.ACTIVE:
                self.tags[program.tag] = tree.key
            for request in program.running:
                self.running[request] = tree.key

    def _apply_to_outcome(
        self,
        operation: operations.AnyOperation,
        key: OutcomeKey,
        sequence: int,
        shard_time: float,
    ) -> None:
        record = self.outcomes.get(key)
        if record is None and isinstance(operation, operations.Claimed):
            record = OutcomeRecord(
                key,
                operation.digest,
                operation.request,
                operation.owner,
                operation.service_request,
                shard_time,
            )
            self.outcomes[key] = record
        if isinstance(operation, operations.RemovedOutcome):
            self.add_tombstone(compute_tombstone(key))
        if record is None or record.sequence >= sequence:
            return
        record.sequence = sequence
        self.running.pop(record.request, None)
        if isinstance(operation, operations.RemovedOutcome):
            del self.outcomes[key]
            return
        outcomes.apply_change(record, operation, shard_time)
        self._index_outcome(record)

    def _index_outcome(self, record: OutcomeRecord) -> None:
        if record.state in (OutcomeState.ACCEPTED, OutcomeState.SENDING):
            self.running[record.request] = record.key

    def decide_silent_call(
        self, request: RequestId
    ) -> operations.AnyOperation | OutcomeRecord | None:
        """Decide what to do about a call whose owner has stopped renewing it.

        Return the operation to write. If the call is an accepted request that was
        never sent, return its record: the request is to be sent. Return None if the
        call no longer runs.
        """
        key = self.running.get(request)
        if isinstance(key, OutcomeKey):
            record = self.outcomes[key]
            if record.state is OutcomeState.ACCEPTED:
                return record
            return operations.BecameUnknown(key, request)
        if key is None:
            return None
        for program in self.trees[key].programs.values():
            if request in program.running:
                return operations.EndedCall(
                    key,
                    program.program,
                    request,
                    Spend(),
                    EndpointId(""),
                    lease_expired=True,
                )
        return None

    def list_due(self, shard_time: float) -> list[operations.AnyOperation]:
        """List the operations that end programs or remove records at this time."""
        due: list[operations.AnyOperation] = []
        for tree in self.trees.values():
            operation = program_tree.find_due_operation(tree, shard_time, self.limits)
            if operation is not None:
                due.append(operation)
        for record in self.outcomes.values():
            removal = outcomes.find_due_removal(
                record, shard_time, self.limits.outcome_retention_s
            )
            if removal is not None:
                due.append(removal)
        return due

    def list_keys(self) -> list[RecordKey]:
        """List the keys of all records."""
        return [*self.trees, *self.outcomes]

    def encode_record(self, key: RecordKey) -> bytes | None:
        """Encode a record to be copied; return None if it no longer exists."""
        record = (
            self.trees.get(key)
            if isinstance(key, ProgramTreeKey)
            else self.outcomes.get(key)
        )
        return _encoder.encode(record) if record is not None else None

    def install_record(self, key: RecordKey, data: bytes) -> None:
        """Store a record that another replica has encoded."""
        if isinstance(key, ProgramTreeKey):
            tree = _tree_decoder.decode(data)
            self.trees[key] = tree
            self._add_to_index(tree)
        else:
            record = _outcome_decoder.decode(data)
            self.outcomes[key] = record
            self._index_outcome(record)
