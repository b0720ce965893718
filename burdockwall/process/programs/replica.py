"""Replicate one shard from its primary to all backups of a view.

The primary gives every operation a sequence number and sends it to all backups; it
is applied and answered once all have confirmed it. A new primary finishes what its
predecessor had prepared before it serves. An instance that restarted empty holds
nothing, and what holds nothing serves nothing.
"""

from collections import deque
from dataclasses import dataclass, field

from burdockwall.machine import Message, Send
from burdockwall.process.programs import calls, operations
from burdockwall.process.programs.copying import (
    CHUNK_RESEND_S,
    CopyReceiver,
    CopySender,
    create_copy,
)
from burdockwall.process.programs.messages import (
    CallRevoked,
    Committed,
    CopyChunk,
    CopyChunkConfirmed,
    Prepare,
    Prepared,
    RecordAnswer,
    RecordCall,
    StartView,
    ViewReport,
)
from burdockwall.process.programs.operations import RecordKey
from burdockwall.process.programs.outcomes import OutcomeRecord
from burdockwall.process.programs.program_tree import (
    Effect,
    Limits,
    ProgramGone,
    Revoked,
)
from burdockwall.process.programs.state import ShardState
from burdockwall.types import (
    FencingNumber,
    Incarnation,
    InstanceId,
    RequestId,
    ShardId,
)
from burdockwall.version.shards import CopyConfirmed, ShardView

# Operations under way in a shard, and those kept for a replica that is joining.
WINDOW_OPERATIONS = 64
RETAINED_OPERATIONS = 256
QUEUED_CALLS = 256
RESEND_S = 0.25
COMMIT_INTERVAL_S = 1.0
DUE_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 0.5
# A primary whose clock events come this late has not listened in between.
TICK_GAP_LIMIT_S = 1.0


@dataclass(frozen=True, slots=True)
class SendAccepted:
    """Ask the shell to send an accepted request that never left."""

    record: OutcomeRecord


Action = Send | CopyConfirmed | SendAccepted | ProgramGone


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one operation and the shard's time at which it was made."""

    operation: operations.AnyOperation
    prepared_at: float


@dataclass(frozen=True, slots=True)
class PendingCall:
    """Hold a call whose answer awaits a write or its record's turn."""

    sender: InstanceId
    token: RequestId
    call: calls.AnyCall


@dataclass(slots=True)
class Follower:
    """Hold what the primary knows of one other replica in its view."""

    has_shard: bool = False
    reported: bool = False
    confirmed: int = 0
    committed: int = 0
    sent_at: float = 0.0
    copy: CopySender | None = None
    required: bool = False

    def accepts_operations(self) -> bool:
        """Tell whether the replica holds the shard or is receiving its copy."""
        return self.reported and (self.has_shard or self.copy is not None)

    def has_room(self, sequence: int) -> bool:
        """Tell whether an operation lies within the replica's window."""
        return self.confirmed + WINDOW_OPERATIONS >= sequence


@dataclass(slots=True)
class ShardReplica:
    """Hold one shard on one instance, as primary, backup or joining replica."""

    instance: InstanceId
    incarnation: Incarnation
    shard: ShardId
    limits: Limits
    view: ShardView | None = None
    has_shard: bool = False
    serving: bool = False
    suspended: bool = False
    state: ShardState = field(init=False)
    log: dict[int, LogEntry] = field(default_factory=dict)
    committed: int = 0
    prepared: int = 0
    confirmed: int = 0
    lease_until: float = 0.0
    followers: dict[InstanceId, Follower] = field(default_factory=dict)
    write_queues: dict[RecordKey, deque[PendingCall]] = field(default_factory=dict)
    pending_answers: dict[int, tuple[PendingCall, calls.AnyAnswer]] = field(
        default_factory=dict
    )
    renewed_at: dict[RequestId, float] = field(default_factory=dict)
    early_calls: dict[RequestId, tuple[InstanceId, RecordCall]] = field(
        default_factory=dict
    )
    actions: list[Action] = field(default_factory=list)
    receiver: CopyReceiver | None = None
    _copy_count: int = 0
    _prepared_at_start: int = 0
    _silence_counted_from: float = 0.0
    _ticked_at: float = 0.0
    _adopted_view: FencingNumber = FencingNumber(0)
    _offered_at: dict[RequestId, float] = field(default_factory=dict)
    _copies_reported_at: float = 0.0
    _due_checked_at: float = 0.0
    _commit_sent_at: float = 0.0
    _commit_sent: int = 0
    _anchor_shard_time: float = 0.0
    _anchor_local_time: float = 0.0

    def __post_init__(self) -> None:
        self.state = ShardState(self.limits)

    # The shard's time: it never goes back and passes from primary to primary.

    def read_time(self, now: float) -> float:
        """Return the shard's time in seconds."""
        return self._anchor_shard_time + max(0.0, now - self._anchor_local_time)

    def _advance_time(self, at: float, now: float) -> None:
        if at > self.read_time(now):
            self._anchor_shard_time = at
            self._anchor_local_time = now

    # Views.

    @property
    def is_primary(self) -> bool:
        """Tell whether this instance is the primary of its latest view."""
        return self.view is not None and self.view.primary == self.instance

    def install(self, view: ShardView, now: float) -> None:
        """Take a later view; an earlier or equal one is ignored."""
        if self.view is not None and view.number <= self.view.number:
            return
        full = self.instance in (view.primary, *view.backups)
        if not full or not view.names(self.instance, self.incarnation):
            # Left out or joining: whatever is held here is no longer complete.
            self._reset()
        self.view = view
        self.serving = False
        self.suspended = False
        self.confirmed = self.committed
        self.receiver = None
        self.followers = {}
        self.write_queues.clear()
        self.pending_answers.clear()
        self.renewed_at.clear()
        self.early_calls.clear()
        if view.primary == self.instance:
            self._start_as_primary(now)

    def suspend(self) -> None:
        """Stop acting as primary until a later view; the records stay."""
        self.suspended = True
        self.serving = False

    def _reset(self) -> None:
        self.state = ShardState(self.limits)
        self.log.clear()
        self.has_shard = False
        self.committed = self.prepared = self.confirmed = 0

    def _start_as_primary(self, now: float) -> None:
        assert self.view is not None
        self._silence_counted_from = now
        self._prepared_at_start = self.prepared
        others = (*self.view.backups, *self.view.joining)
        self.followers = {peer: Follower() for peer in others if peer != self.instance}
        for peer in self.followers:
            self._send_start_view(peer, now)
        self._begin_serving(now)

    def _send_start_view(self, peer: InstanceId, now: float) -> None:
        assert self.view is not None
        self.followers[peer].sent_at = now
        message = StartView(self.view, self.has_shard, self.committed, self.prepared)
        self._send(peer, message)

    def _list_required(self) -> list[Follower]:
        assert self.view is not None
        backups = self.view.backups
        return [
            item
            for peer, item in self.followers.items()
            if peer in backups or item.required
        ]

    def _begin_serving(self, now: float) -> None:
        if self.serving or self.suspended or not self.is_primary:
            return
        required = self._list_required()
        if not all(item.reported for item in required):
            return
        if not self.has_shard:
            if any(item.has_shard for item in required):
                # Restarted empty: others hold the shard, so wait for a new view.
                return
            self.has_shard = True
        for peer, item in self.followers.items():
            if item.reported and not item.has_shard and item.copy is None:
                self._start_copy(peer, now)
        if all(item.has_shard for item in required):
            self._commit(now)
            self.serving = self.committed >= self._prepared_at_start
        if self.serving:
            self._handle_early_calls(now)

    def _handle_early_calls(self, now: float) -> None:
        early = list(self.early_calls.values())
        self.early_calls.clear()
        for sender, message in early:
            self._handle_call(sender, message, now)

    def _handle_start_view(
        self, sender: InstanceId, message: StartView, now: float
    ) -> None:
        view = message.view
        if sender != view.primary or self.instance == sender:
            return
        self.install(view, now)
        if self.view is None or self.view.number != view.number:
            return
        if message.has_shard and self.has_shard and self._adopted_view != view.number:
            self._adopted_view = view.number
            self._adopt_log(message)
        report = ViewReport(self.shard, view.number, self.has_shard, self.committed)
        self._send(sender, report)

    def _adopt_log(self, message: StartView) -> None:
        """Keep of the log what the new primary has; called once a view."""
        # What the primary has applied was on every replica, so it is here as well.
        self._apply_up_to(min(message.committed, self.prepared))
        self.confirmed = self.committed
        last = max(message.prepared, self.committed)
        for sequence in range(last + 1, self.prepared + 1):
            # The new primary lacks it, so it was never on every replica.
            self.log.pop(sequence, None)
        self.prepared = min(self.prepared, last)

    def _handle_view_report(
        self, sender: InstanceId, message: ViewReport, now: float
    ) -> None:
        item = self.followers.get(sender)
        if item is None or item.reported:
            return
        item.reported = True
        item.has_shard = message.has_shard
        item.committed = message.committed
        item.confirmed = message.committed
        self._begin_serving(now)
        if item.has_shard:
            self._send_log(sender, now)
        elif self.serving and item.copy is None:
            self._start_copy(sender, now)

    # Copies to replicas that hold nothing.

    def _start_copy(self, peer: InstanceId, now: float) -> None:
        item = self.followers[peer]
        self._copy_count += 1
        item.copy = create_copy(self._copy_count, self.committed, self.state)
        item.confirmed = item.committed = self.committed
        self._send_chunk(peer, now)

    def _send_chunk(self, peer: InstanceId, now: float, again: bool = False) -> None:
        copy = self.followers[peer].copy
        assert copy is not None and self.view is not None
        if not again or copy.chunk is None:
            copy.build_next(
                self.state, self.shard, self.view.number, self.read_time(now)
            )
        assert copy.chunk is not None
        copy.sent_at = now
        self._send(peer, copy.chunk)

    def _handle_chunk_confirmed(
        self, sender: InstanceId, message: CopyChunkConfirmed, now: float
    ) -> None:
        item = self.followers.get(sender)
        if item is None or item.copy is None or item.copy.copy_id != message.copy_id:
            return
        if item.copy.confirm(message.index):
            self._send_chunk(sender, now)
        elif item.copy.done and not item.has_shard:
            item.has_shard = True
            # From now on each write waits for it, so that it misses none before
            # a later view counts on it.
            item.required = True
            self._begin_serving(now)
            self._send_log(sender, now)

    def _report_complete_copies(self, now: float) -> None:
        assert self.view is not None
        if now - self._copies_reported_at < REPORT_INTERVAL_S:
            return
        self._copies_reported_at = now
        for peer in self.view.joining:
            item = self.followers.get(peer)
            if item and item.required and item.confirmed >= self.committed:
                number = self.view.number
                self.actions.append(CopyConfirmed(self.shard, number, peer))

    def _handle_copy_chunk(
        self, sender: InstanceId, chunk: CopyChunk, now: float
    ) -> None:
        if not self._is_from_primary(sender, chunk.number):
            return
        former = self.receiver
        if former is None or chunk.copy_id > former.copy_id:
            if chunk.index != 0 or (former is None and self.has_shard):
                return
            self._reset()
            self.receiver = CopyReceiver(chunk.copy_id, chunk.base)
            self.committed = self.prepared = self.confirmed = chunk.base
        receiver = self.receiver
        assert receiver is not None
        self._advance_time(chunk.sent_at, now)
        if chunk.copy_id != receiver.copy_id:
            return
        if not self.has_shard and receiver.receive(chunk, self.state):
            self.has_shard = True
        if chunk.index <= receiver.index:
            taken = CopyChunkConfirmed(
                self.shard, chunk.number, chunk.copy_id, chunk.index
            )
            self._send(sender, taken)

    # Operations.

    def _is_from_primary(self, sender: InstanceId, number: FencingNumber) -> bool:
        return (
            self.view is not None
            and self.view.number == number
            and self.view.primary == sender
        )

    def propose(
        self,
        operation: operations.AnyOperation,
        now: float,
        waiting: PendingCall | None = None,
        answer: calls.AnyAnswer | None = None,
    ) -> None:
        """Give an operation the next number and send it to every replica."""
        self.prepared += 1
        at = self.read_time(now)
        self.log[self.prepared] = LogEntry(operation, at)
        self.write_queues.setdefault(operation.key, deque())
        if waiting is not None and answer is not None:
            self.pending_answers[self.prepared] = (waiting, answer)
        for peer, item in self.followers.items():
            if item.accepts_operations() and item.has_room(self.prepared):
                item.sent_at = now
                self._send(peer, self._build_prepare(self.prepared))
        self._commit(now)

    def _build_prepare(self, sequence: int) -> Prepare:
        assert self.view is not None
        entry = self.log[sequence]
        return Prepare(
            self.shard,
            self.view.number,
            sequence,
            self.committed,
            entry.prepared_at,
            entry.operation,
        )

    def _send_log(self, peer: InstanceId, now: float) -> None:
        item = self.followers[peer]
        item.sent_at = now
        last = min(self.prepared, item.confirmed + WINDOW_OPERATIONS)
        for sequence in range(item.confirmed + 1, last + 1):
            if sequence in self.log:
                self._send(peer, self._build_prepare(sequence))

    def _handle_prepare(self, sender: InstanceId, message: Prepare, now: float) -> None:
        if not self._is_from_primary(sender, message.number):
            return
        if not self.has_shard and self.receiver is None:
            return
        self._advance_time(message.prepared_at, now)
        if message.sequence == self.confirmed + 1:
            entry = LogEntry(message.operation, message.prepared_at)
            self.log[message.sequence] = entry
            self.confirmed = message.sequence
            self.prepared = max(self.prepared, message.sequence)
        if self.has_shard:
            self._apply_up_to(min(message.committed, self.confirmed))
        self._confirm(sender)

    def _confirm(self, primary: InstanceId) -> None:
        assert self.view is not None
        message = Prepared(self.shard, self.view.number, self.confirmed, self.committed)
        self._send(primary, message)

    def _handle_prepared(
        self, sender: InstanceId, message: Prepared, now: float
    ) -> None:
        item = self.followers.get(sender)
        if item is None or self.view is None or message.number != self.view.number:
            return
        item.confirmed = max(item.confirmed, message.sequence)
        item.committed = max(item.committed, message.committed)
        self._commit(now)
        self._begin_serving(now)

    def _handle_committed(
        self, sender: InstanceId, message: Committed, now: float
    ) -> None:
        if not self._is_from_primary(sender, message.number):
            return
        self._advance_time(message.sent_at, now)
        if self.has_shard:
            self._apply_up_to(min(message.committed, self.confirmed))
            self._confirm(sender)

    def _commit(self, now: float) -> None:
        """Apply and answer every operation that all replicas have."""
        if not self.is_primary or not self.has_shard:
            return
        required = self._list_required()
        if not all(item.has_shard for item in required):
            return
        last = min([self.prepared, *(item.confirmed for item in required)])
        while self.committed < last:
            sequence = self.committed + 1
            entry = self.log[sequence]
            effects = self._apply_up_to(sequence)
            self._perform_effects(effects)
            finished = self.pending_answers.pop(sequence, None)
            if finished is not None:
                waiting, answer = finished
                self._answer(waiting, answer)
            self._decide_queued(entry.operation.key, now)

    def _apply_up_to(self, last: int) -> list[Effect]:
        effects: list[Effect] = []
        while self.committed < last:
            self.committed += 1
            entry = self.log[self.committed]
            effects += self.state.apply(
                entry.operation, self.committed, entry.prepared_at
            )
            self.log.pop(self.committed - RETAINED_OPERATIONS, None)
        return effects

    def _perform_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Revoked(request=request, owner=owner):
                    self._send(owner, CallRevoked(request))
                case ProgramGone():
                    self.actions.append(effect)

    def _decide_queued(self, key: RecordKey, now: float) -> None:
        """Take the calls that waited for a record, until one writes again."""
        queue = self.write_queues.pop(key, deque())
        while queue:
            waiting = queue.popleft()
            self._decide(waiting, now)
            if key in self.write_queues:
                self.write_queues[key].extend(queue)
                return

    # Calls.

    def _handle_call(self, sender: InstanceId, message: RecordCall, now: float) -> None:
        if not self.serving or now >= self.lease_until:
            # The asker repeats its call to the primary that it learns of.
            waits = self.is_primary and not self.serving and not self.suspended
            if waits and len(self.early_calls) < QUEUED_CALLS:
                self.early_calls[message.token] = (sender, message)
            return
        waiting = PendingCall(sender, message.token, message.call)
        match message.call:
            case calls.RenewCalls(requests=requests):
                for request in requests:
                    self.renewed_at[request] = now
            case calls.ListUnknown() | calls.FindGone():
                pass
            case call:
                queue = self.write_queues.get(call.key)
                if queue is not None:
                    if len(queue) < QUEUED_CALLS and waiting not in queue:
                        queue.append(waiting)
                    return
        self._decide(waiting, now)

    def _decide(self, waiting: PendingCall, now: float) -> None:
        if self.prepared - self.committed >= WINDOW_OPERATIONS:
            return
        call = waiting.call
        lapsed = isinstance(call, calls.Claim) and self._is_owner_silent(call, now)
        decision = self.state.decide(call, self.read_time(now), lapsed)
        if decision.operation is None:
            self._answer(waiting, decision.answer)
            return
        if isinstance(call, calls.BeginCall | calls.Claim):
            self.renewed_at[call.request] = now
        self.propose(decision.operation, now, waiting, decision.answer)

    def _is_owner_silent(self, call: calls.Claim, now: float) -> bool:
        record = self.state.outcomes.get(call.key)
        return record is not None and self._is_silent(record.request, now)

    def _is_silent(self, request: RequestId, now: float) -> bool:
        heard = max(self.renewed_at.get(request, 0.0), self._silence_counted_from)
        return now - heard >= self.limits.call_lease_s

    def _answer(self, waiting: PendingCall, answer: calls.AnyAnswer) -> None:
        self._send(waiting.sender, RecordAnswer(waiting.token, answer))

    def _send(self, to: InstanceId, message: Message) -> None:
        self.actions.append(Send(to, message))

    # Time.

    def tick(self, now: float) -> None:
        """Repeat what was lost and do what time has made due."""
        if not self.is_primary:
            return
        for peer, item in self.followers.items():
            self._resend(peer, item, now)
        if now >= self.lease_until or now - self._ticked_at >= TICK_GAP_LIMIT_S:
            # It heard no renewals meanwhile, so silence counts anew.
            self._silence_counted_from = now
        self._ticked_at = now
        if not self.serving or now >= self.lease_until:
            return
        self._send_committed(now)
        self._report_complete_copies(now)
        self._end_silent_calls(now)
        if now - self._due_checked_at >= DUE_INTERVAL_S:
            self._due_checked_at = now
            for operation in self.state.list_due(self.read_time(now)):
                self._propose_unless_busy(operation, now)

    def _resend(self, peer: InstanceId, item: Follower, now: float) -> None:
        if not item.reported:
            if now - item.sent_at >= RESEND_S:
                self._send_start_view(peer, now)
            return
        copy = item.copy
        copying = copy is not None and not copy.done
        if copying and copy and now - copy.sent_at >= CHUNK_RESEND_S:
            self._send_chunk(peer, now, again=True)
        if item.confirmed < self.prepared and now - item.sent_at >= RESEND_S:
            if copy is not None and item.confirmed + 1 not in self.log:
                # It fell behind what is retained: it was not counted on yet.
                item.has_shard = item.required = False
                self._start_copy(peer, now)
            else:
                self._send_log(peer, now)

    def _send_committed(self, now: float) -> None:
        if (
            self._commit_sent == self.committed
            and now - self._commit_sent_at < COMMIT_INTERVAL_S
        ):
            return
        assert self.view is not None
        self._commit_sent = self.committed
        self._commit_sent_at = now
        at = self.read_time(now)
        for peer in self.followers:
            message = Committed(self.shard, self.view.number, self.committed, at)
            self._send(peer, message)

    def _end_silent_calls(self, now: float) -> None:
        for request in list(self.state.running):
            if not self._is_silent(request, now):
                continue
            follow_up = self.state.decide_silent_call(request)
            if isinstance(follow_up, OutcomeRecord):
                self._offer_accepted(follow_up, now)
            elif follow_up is not None:
                self._propose_unless_busy(follow_up, now)
        for request in [
            item for item in self.renewed_at if item not in self.state.running
        ]:
            if self._is_silent(request, now):
                del self.renewed_at[request]
                self._offered_at.pop(request, None)

    def _offer_accepted(self, record: OutcomeRecord, now: float) -> None:
        offered = self._offered_at.get(record.request)
        if offered is None or now - offered >= self.limits.call_lease_s:
            self._offered_at[record.request] = now
            self.actions.append(SendAccepted(record))

    def _propose_unless_busy(
        self, operation: operations.AnyOperation, now: float
    ) -> None:
        room = self.prepared - self.committed < WINDOW_OPERATIONS
        if room and operation.key not in self.write_queues:
            self.propose(operation, now)

    def receive(self, sender: InstanceId, message: Message, now: float) -> None:
        """Take a message about this shard."""
        match message:
            case RecordCall():
                self._handle_call(sender, message, now)
            case StartView():
                self._handle_start_view(sender, message, now)
            case ViewReport(number=number):
                if self.view is not None and number == self.view.number:
                    self._handle_view_report(sender, message, now)
            case Prepare():
                self._handle_prepare(sender, message, now)
            case Prepared():
                self._handle_prepared(sender, message, now)
            case Committed():
                self._handle_committed(sender, message, now)
            case CopyChunk():
                self._handle_copy_chunk(sender, message, now)
            case CopyChunkConfirmed(number=number):
                if self.view is not None and number == self.view.number:
                    self._handle_chunk_confirmed(sender, message, now)
