"""Replicate one shard from its primary to all backups of a view.

The primary assigns each operation a sequence number and sends it to all backups. It
applies the operation and answers the call once all of them have confirmed it. A new
primary first commits the operations that its predecessor had prepared, and then
serves calls. An instance that restarted has lost its records: it serves no shard
until it has received a copy.
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
    ProgramEnded,
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

# The most operations that may be prepared and not yet committed.
WINDOW_OPERATIONS = 64
# Committed operations stay in the log for a replica that is receiving its copy.
RETAINED_OPERATIONS = 256
QUEUED_CALLS = 256
RESEND_S = 0.25
COMMIT_INTERVAL_S = 1.0
DUE_CHECK_INTERVAL_S = 1.0
COPY_REPORT_INTERVAL_S = 0.5
# A primary whose ticks are this far apart may have missed renewals in between.
TICK_GAP_LIMIT_S = 1.0


@dataclass(frozen=True, slots=True)
class SendAccepted:
    """Asks the shell to send a request that was accepted and never sent."""

    record: OutcomeRecord


Action = Send | CopyConfirmed | SendAccepted | ProgramEnded


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One operation, and the shard time in seconds at which it was proposed."""

    operation: operations.AnyOperation
    prepared_at: float


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that waits for its write, or for an earlier write to its record."""

    sender: InstanceId
    token: RequestId
    call: calls.AnyCall


@dataclass(slots=True)
class Follower:
    """The primary's record of one other replica in its view.

    `reported` is set once the replica has answered the start of the view. `confirmed`
    and `committed` are sequence numbers. A replica that is `required` must confirm
    each operation before it is committed. `waiting_since` is when the message was sent
    that the replica has to answer next: the start of the view, or the oldest operation
    that it has not confirmed.
    """

    has_shard: bool = False
    reported: bool = False
    confirmed: int = 0
    committed: int = 0
    waiting_since: float = 0.0
    copy: CopySender | None = None
    required: bool = False

    def accepts_operations(self) -> bool:
        """Return whether the replica has the shard or is receiving a copy of it."""
        return self.reported and (self.has_shard or self.copy is not None)

    def has_room(self, sequence: int) -> bool:
        """Return whether an operation lies within the replica's window."""
        return self.confirmed + WINDOW_OPERATIONS >= sequence


@dataclass(slots=True)
class ShardReplica:
    """One shard on one instance: a primary, a backup or a joining replica.

    `committed`, `prepared` and `confirmed` are sequence numbers of operations.
    `write_queues` has an entry for each record with a write in progress: the calls
    that wait for it. `early_calls` arrived before this primary began to serve.
    """

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
    _silence_start_at: float = 0.0
    _ticked_at: float = 0.0
    _adopted_number: FencingNumber = FencingNumber(0)
    _offered_at: dict[RequestId, float] = field(default_factory=dict)
    _copies_reported_at: float = 0.0
    _due_checked_at: float = 0.0
    _commit_sent_at: float = 0.0
    _commit_sent: int = 0
    _anchor_shard_time: float = 0.0
    _anchor_local_time: float = 0.0

    def __post_init__(self) -> None:
        self.state = ShardState(self.limits)

    # The shard's time, which never goes back. A new primary continues the time of
    # its predecessor.

    def read_time(self, now: float) -> float:
        """Return the shard's time in seconds."""
        return self._anchor_shard_time + max(0.0, now - self._anchor_local_time)

    def _advance_time(self, shard_time: float, now: float) -> None:
        if shard_time > self.read_time(now):
            self._anchor_shard_time = shard_time
            self._anchor_local_time = now

    # Views.

    @property
    def is_primary(self) -> bool:
        """Return whether this instance is the primary of its latest view."""
        return self.view is not None and self.view.primary == self.instance

    def install(self, view: ShardView, now: float) -> None:
        """Install a view, unless this one or a later one is installed."""
        if self.view is not None and view.number <= self.view.number:
            return
        is_full_member = self.instance in (view.primary, *view.backups)
        if not is_full_member or not view.includes(self.instance, self.incarnation):
            # This instance has no part in the view or is joining it, so its records
            # may miss operations.
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
        """Stop acting as primary until a later view is installed.

        The records are retained.
        """
        self.suspended = True
        self.serving = False

    def _reset(self) -> None:
        self.state = ShardState(self.limits)
        self.log.clear()
        self.has_shard = False
        self.committed = self.prepared = self.confirmed = 0

    def _start_as_primary(self, now: float) -> None:
        assert self.view is not None
        self._silence_start_at = now
        self._prepared_at_start = self.prepared
        others = (*self.view.backups, *self.view.joining)
        self.followers = {peer: Follower() for peer in others if peer != self.instance}
        for peer in self.followers:
            self._send_start_view(peer, now)
        self._begin_serving(now)

    def _send_start_view(self, peer: InstanceId, now: float) -> None:
        assert self.view is not None
        self.followers[peer].waiting_since = now
        message = StartView(self.view, self.has_shard, self.committed, self.prepared)
        self._send(peer, message)

    def _list_required(self) -> list[Follower]:
        assert self.view is not None
        backups = self.view.backups
        return [
            follower
            for peer, follower in self.followers.items()
            if peer in backups or follower.required
        ]

    def _begin_serving(self, now: float) -> None:
        if self.serving or self.suspended or not self.is_primary:
            return
        required = self._list_required()
        if not all(follower.reported for follower in required):
            return
        if not self.has_shard:
            if any(follower.has_shard for follower in required):
                # This instance restarted without records and another replica has
                # the shard: wait for a new view.
                return
            self.has_shard = True
        for peer, follower in self.followers.items():
            if follower.reported and not follower.has_shard and follower.copy is None:
                self._start_copy(peer, now)
        if all(follower.has_shard for follower in required):
            self._commit(now)
            self.serving = self.committed >= self._prepared_at_start
        if self.serving:
            self._handle_early_calls(now)

    def _handle_early_calls(self, now: float) -> None:
        queued = list(self.early_calls.values())
        self.early_calls.clear()
        for sender, message in queued:
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
        if message.has_shard and self.has_shard and self._adopted_number != view.number:
            self._adopted_number = view.number
            self._adopt_log(message)
        report = ViewReport(self.shard, view.number, self.has_shard, self.committed)
        self._send(sender, report)

    def _adopt_log(self, message: StartView) -> None:
        """Drop the operations that the new primary lacks; called once per view."""
        # The new primary has only applied operations that every replica has.
        self._apply_up_to(min(message.committed, self.prepared))
        self.confirmed = self.committed
        last = max(message.prepared, self.committed)
        for sequence in range(last + 1, self.prepared + 1):
            # The new primary lacks this operation, so it was never committed.
            self.log.pop(sequence, None)
        self.prepared = min(self.prepared, last)

    def _handle_view_report(
        self, sender: InstanceId, message: ViewReport, now: float
    ) -> None:
        follower = self.followers.get(sender)
        if follower is None or follower.reported:
            return
        follower.reported = True
        follower.has_shard = message.has_shard
        follower.committed = message.committed
        follower.confirmed = message.committed
        self._begin_serving(now)
        if follower.has_shard:
            self._send_log(sender, now)
        elif self.serving and follower.copy is None:
            self._start_copy(sender, now)

    # Copies to replicas that have no records.

    def _start_copy(self, peer: InstanceId, now: float) -> None:
        follower = self.followers[peer]
        self._copy_count += 1
        follower.copy = create_copy(self._copy_count, self.committed, self.state)
        follower.confirmed = follower.committed = self.committed
        follower.waiting_since = now
        self._send_chunk(peer, now)

    def _send_chunk(self, peer: InstanceId, now: float, resend: bool = False) -> None:
        copy = self.followers[peer].copy
        assert copy is not None and self.view is not None
        if not resend or copy.chunk is None:
            copy.build_next(
                self.state, self.shard, self.view.number, self.read_time(now)
            )
        assert copy.chunk is not None
        copy.sent_at = now
        self._send(peer, copy.chunk)

    def _handle_chunk_confirmed(
        self, sender: InstanceId, message: CopyChunkConfirmed, now: float
    ) -> None:
        follower = self.followers.get(sender)
        if (
            follower is None
            or follower.copy is None
            or follower.copy.copy_id != message.copy_id
        ):
            return
        if follower.copy.confirm(message.index):
            self._send_chunk(sender, now)
        elif follower.copy.done and not follower.has_shard:
            follower.has_shard = True
            # From now on each write waits for this replica, so that it misses none
            # before a later view lists it as a backup.
            follower.required = True
            self._begin_serving(now)
            self._send_log(sender, now)

    def _report_complete_copies(self, now: float) -> None:
        assert self.view is not None
        if now - self._copies_reported_at < COPY_REPORT_INTERVAL_S:
            return
        self._copies_reported_at = now
        for peer in self.view.joining:
            follower = self.followers.get(peer)
            if follower and follower.required and follower.confirmed >= self.committed:
                number = self.view.number
                self.actions.append(CopyConfirmed(self.shard, number, peer))

    def _handle_copy_chunk(
        self, sender: InstanceId, chunk: CopyChunk, now: float
    ) -> None:
        if not self._is_from_primary(sender, chunk.number):
            return
        previous = self.receiver
        if previous is None or chunk.copy_id > previous.copy_id:
            if chunk.index != 0 or (previous is None and self.has_shard):
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
            confirmation = CopyChunkConfirmed(
                self.shard, chunk.number, chunk.copy_id, chunk.index
            )
            self._send(sender, confirmation)

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
        pending: PendingCall | None = None,
        answer: calls.AnyAnswer | None = None,
    ) -> None:
        """Assign an operation the next sequence number and send it to the replicas."""
        self.prepared += 1
        shard_time = self.read_time(now)
        self.log[self.prepared] = LogEntry(operation, shard_time)
        self.write_queues.setdefault(operation.key, deque())
        if pending is not None and answer is not None:
            self.pending_answers[self.prepared] = (pending, answer)
        for peer, follower in self.followers.items():
            if follower.accepts_operations() and follower.has_room(self.prepared):
                if follower.confirmed >= self.prepared - 1:
                    follower.waiting_since = now
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
        follower = self.followers[peer]
        follower.waiting_since = now
        last = min(self.prepared, follower.confirmed + WINDOW_OPERATIONS)
        for sequence in range(follower.confirmed + 1, last + 1):
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
        follower = self.followers.get(sender)
        if follower is None or self.view is None or message.number != self.view.number:
            return
        if message.sequence > follower.confirmed:
            follower.confirmed = message.sequence
            follower.waiting_since = now
        follower.committed = max(follower.committed, message.committed)
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
        """Apply every operation that all required replicas have, and answer it."""
        if not self.is_primary or not self.has_shard:
            return
        required = self._list_required()
        if not all(follower.has_shard for follower in required):
            return
        last = min([self.prepared, *(follower.confirmed for follower in required)])
        while self.committed < last:
            sequence = self.committed + 1
            entry = self.log[sequence]
            effects = self._apply_up_to(sequence)
            self._perform_effects(effects)
            pending_answer = self.pending_answers.pop(sequence, None)
            if pending_answer is not None:
                pending, answer = pending_answer
                self._answer(pending, answer)
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
                case ProgramEnded():
                    self.actions.append(effect)

    def _decide_queued(self, key: RecordKey, now: float) -> None:
        """Decide the calls that waited for a record, until one writes to it."""
        queue = self.write_queues.pop(key, deque())
        while queue:
            pending = queue.popleft()
            self._decide(pending, now)
            if key in self.write_queues:
                self.write_queues[key].extend(queue)
                return

    # Calls.

    def _handle_call(self, sender: InstanceId, message: RecordCall, now: float) -> None:
        if not self.serving or now >= self.lease_until:
            # The requester resends its call to the primary of a later view. Calls that
            # arrive while this primary prepares to serve are queued.
            is_starting = self.is_primary and not self.serving and not self.suspended
            if is_starting and len(self.early_calls) < QUEUED_CALLS:
                self.early_calls[message.token] = (sender, message)
            return
        pending = PendingCall(sender, message.token, message.call)
        match message.call:
            case calls.RenewCalls(requests=requests):
                for request in requests:
                    self.renewed_at[request] = now
            case calls.ListUnknown() | calls.FindEnded():
                pass
            case call:
                queue = self.write_queues.get(call.key)
                if queue is not None:
                    if len(queue) < QUEUED_CALLS and pending not in queue:
                        queue.append(pending)
                    return
        self._decide(pending, now)

    def _decide(self, pending: PendingCall, now: float) -> None:
        if self.prepared - self.committed >= WINDOW_OPERATIONS:
            return
        call = pending.call
        owner_silent = isinstance(call, calls.Claim) and self._is_owner_silent(
            call, now
        )
        decision = self.state.decide(call, self.read_time(now), owner_silent)
        if decision.operation is None:
            self._answer(pending, decision.answer)
            return
        if isinstance(call, calls.BeginCall | calls.Claim):
            self.renewed_at[call.request] = now
        self.propose(decision.operation, now, pending, decision.answer)

    def _is_owner_silent(self, call: calls.Claim, now: float) -> bool:
        record = self.state.outcomes.get(call.key)
        return record is not None and self._is_silent(record.request, now)

    def _is_silent(self, request: RequestId, now: float) -> bool:
        last_renewed_at = max(self.renewed_at.get(request, 0.0), self._silence_start_at)
        return now - last_renewed_at >= self.limits.call_lease_s

    def _answer(self, pending: PendingCall, answer: calls.AnyAnswer) -> None:
        self._send(pending.sender, RecordAnswer(pending.token, answer))

    def _send(self, to: InstanceId, message: Message) -> None:
        self.actions.append(Send(to, message))

    # Time.

    def tick(self, now: float) -> None:
        """Resend unconfirmed messages, and end calls and records that are due."""
        if not self.is_primary:
            return
        for peer, follower in self.followers.items():
            self._resend(peer, follower, now)
        if now >= self.lease_until or now - self._ticked_at >= TICK_GAP_LIMIT_S:
            # This primary may have missed renewals, so owners get the full time to
            # renew again.
            self._silence_start_at = now
        self._ticked_at = now
        if not self.serving or now >= self.lease_until:
            return
        self._send_committed(now)
        self._report_complete_copies(now)
        self._end_silent_calls(now)
        if now - self._due_checked_at >= DUE_CHECK_INTERVAL_S:
            self._due_checked_at = now
            for operation in self.state.list_due(self.read_time(now)):
                self._propose_unless_busy(operation, now)

    def _resend(self, peer: InstanceId, follower: Follower, now: float) -> None:
        if not follower.reported:
            if now - follower.waiting_since >= RESEND_S:
                self._send_start_view(peer, now)
            return
        copy = follower.copy
        copying = copy is not None and not copy.done
        if copying and copy and now - copy.sent_at >= CHUNK_RESEND_S:
            self._send_chunk(peer, now, resend=True)
        waiting = follower.confirmed < self.prepared
        if waiting and now - follower.waiting_since >= RESEND_S:
            if copy is not None and follower.confirmed + 1 not in self.log:
                # The log no longer has the replica's next operation, so it needs a
                # new copy. No commit has depended on this replica yet.
                follower.has_shard = follower.required = False
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
        shard_time = self.read_time(now)
        for peer in self.followers:
            message = Committed(
                self.shard, self.view.number, self.committed, shard_time
            )
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
        last_offered_at = self._offered_at.get(record.request)
        if last_offered_at is None or now - last_offered_at >= self.limits.call_lease_s:
            self._offered_at[record.request] = now
            self.actions.append(SendAccepted(record))

    def _propose_unless_busy(
        self, operation: operations.AnyOperation, now: float
    ) -> None:
        has_room = self.prepared - self.committed < WINDOW_OPERATIONS
        if has_room and operation.key not in self.write_queues:
            self.propose(operation, now)

    def receive(self, sender: InstanceId, message: Message, now: float) -> None:
        """Handle a message about this shard."""
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
