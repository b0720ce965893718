"""Define the state that election, leader and follower share, and pending writes."""

import random
from typing import Any

import msgspec

from burdockwall.machine import Message, Send
from burdockwall.process.control.bounds import COMPACT_BYTES, UNCOMMITTED_BYTES
from burdockwall.process.control.entries import (
    NO_VOTER,
    Entry,
    HardState,
    Member,
    Snapshot,
    VoterId,
)
from burdockwall.process.control.events import (
    ApplyEntry,
    CallRefused,
    CallUnknown,
    MembershipChanged,
    Persist,
    Recovered,
    ReplicaRole,
    RoleChanged,
    SaveSnapshot,
    TakeSnapshot,
)
from burdockwall.process.control.leadership import Leadership
from burdockwall.process.control.log import ReplicatedLog, measure_entries
from burdockwall.process.deferred import DeferredMessages
from burdockwall.types import InstanceId, Term

COMPACT_ENTRIES = 1000
START_ID_BITS = 52
# Bounds of the random delay, in seconds, before a newly started replica first asks
# the voters for pre-votes, and between later attempts.
FIRST_EARLY_CAMPAIGN_S = (0.0, 0.12)
NEXT_EARLY_CAMPAIGN_S = (0.04, 0.16)


class Timing(msgspec.Struct, frozen=True):
    """Intervals of consensus, in seconds."""

    election_timeout_s: float = 1.5
    heartbeat_s: float = 0.3
    resend_s: float = 0.6
    join_retry_s: float = 1.0


class PendingWrite(msgspec.Struct):
    """A write that is not synced yet, and the index of the last entry it covers."""

    ticket: int
    last_index: int


class ConsensusState:
    """Term, vote, log and role of a replica, and the actions of the current event.

    Tickets number the requested writes in order.
    """

    def __init__(
        self,
        own_member: Member,
        recovered: Recovered,
        timing: Timing,
        rng: random.Random,
        compact_entries: int,
    ) -> None:
        self.own_member = own_member
        self.timing = timing
        self.rng = rng
        self.compact_entries = compact_entries
        self.hard_state = recovered.hard_state
        self.log = ReplicatedLog(recovered.snapshot, list(recovered.entries))
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.durable_index = self.log.last_index
        self.role = ReplicaRole.FOLLOWER
        self.leader = NO_VOTER
        self.leadership: Leadership | None = None
        self.now = 0.0
        self.started = False
        # Identifies this start of the replica in messages; 0 means "no start".
        self.start_id = rng.getrandbits(START_ID_BITS) + 1
        self.heard_from_leader = False
        self.early_campaign_at = 0.0
        self.leader_contact_at = 0.0
        self.election_deadline_at = 0.0
        self.actions: list[Any] = []
        self.ticket = 0
        self.snapshot_requested = False
        self.snapshot_index = self.log.base_index
        # Bytes in the journal, replaced entries included.
        self.journal_bytes = recovered.journal_bytes
        self._unsynced: list[PendingWrite] = []
        self._deferred = DeferredMessages()
        self._reported_membership_index = -1

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self.hard_state.term

    @property
    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.log.membership.list_voters()) // 2 + 1

    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        return self.log.membership.is_voter(self.own_member.voter)

    def list_others(self) -> list[Member]:
        """List the other members, voters and learners."""
        members = self.log.membership.members
        return [member for member in members if member.voter != self.own_member.voter]

    def has_leader_contact(self) -> bool:
        """Return whether a leader was in contact within the last election timeout.

        On the leader itself: whether a majority confirmed it within that time.
        """
        contact_at = (
            self.leadership.confirmed_at if self.leadership else self.leader_contact_at
        )
        return self.now - contact_at < self.timing.election_timeout_s

    def is_newly_started(self) -> bool:
        """Return whether a leader may still rely on answers from before this start.

        This is so for one election timeout after the start, or until this replica
        hears from a leader or leads itself.
        """
        no_leader_seen = not self.heard_from_leader and self.leadership is None
        return no_leader_seen and self.has_leader_contact()

    def postpone_early_campaign(
        self, bounds: tuple[float, float] = NEXT_EARLY_CAMPAIGN_S
    ) -> None:
        """Schedule the next early campaign after a random delay."""
        self.early_campaign_at = self.now + self.rng.uniform(*bounds)

    def reset_election_deadline(self) -> None:
        """Restart the election timeout with a random length."""
        timeout = self.timing.election_timeout_s
        self.election_deadline_at = self.now + self.rng.uniform(timeout, 2 * timeout)

    def send(self, to: InstanceId, message: Message) -> None:
        """Send a message that does not depend on a write."""
        self.actions.append(Send(to, message))

    def send_synced(self, to: InstanceId, message: Message) -> None:
        """Send a message once all writes requested so far are synced."""
        if not self._unsynced:
            self.send(to, message)
            return
        self._deferred.defer(self.ticket, to, message)

    def persist(self, hard_state: HardState, entries: tuple[Entry, ...] = ()) -> None:
        """Request a write of term, vote and entries, and append the entries."""
        self.hard_state = hard_state
        for entry in entries:
            if entry.index <= self.log.last_index:
                self.lower_durable_index(entry.index)
            self.log.append(entry)
        self.journal_bytes += measure_entries(entries)
        self.ticket += 1
        self.actions.append(Persist(self.ticket, hard_state, entries))
        self.track_write()
        self.report_membership()

    def track_write(self) -> None:
        """Add the write of the latest ticket to the unsynced ones."""
        self._unsynced.append(PendingWrite(self.ticket, self.log.last_index))

    def lower_durable_index(self, first: int) -> None:
        """Count entries from an index on as not synced, since they are replaced."""
        self.durable_index = min(self.durable_index, first - 1)
        for write in self._unsynced:
            write.last_index = min(write.last_index, first - 1)

    def finish_writes(self, ticket: int) -> None:
        """Record the writes up to a ticket as synced and send what waited for them."""
        synced = [write for write in self._unsynced if write.ticket <= ticket]
        self._unsynced = self._unsynced[len(synced) :]
        for write in synced:
            self.durable_index = max(self.durable_index, write.last_index)
        self.actions += self._deferred.release(ticket)

    def adopt_term(self, term: Term, cluster: str | None = None) -> None:
        """Move to a later term, in which this replica has not voted."""
        self._deferred.clear()
        self.persist(HardState(cluster or self.hard_state.cluster, term))

    def become_follower(self, leader: VoterId = NO_VOTER) -> None:
        """Become a follower, of an unknown leader by default.

        Pending proposals of a former leader end as unknown, since they may still
        commit; its pending reads are refused.
        """
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            for call in leadership.pending_calls.values():
                self.actions.append(CallUnknown(call))
            for read in leadership.pending_reads:
                self.actions.append(CallRefused(read.call))
        self.set_role(ReplicaRole.FOLLOWER, leader)

    def set_role(self, role: ReplicaRole, leader: VoterId = NO_VOTER) -> None:
        """Set role and leader, and report a change of either."""
        changed = (role, leader) != (self.role, self.leader)
        self.role, self.leader = role, leader
        if changed:
            self.actions.append(RoleChanged(role, self.term, leader))

    def report_membership(self) -> None:
        """Report the membership if it has changed."""
        if self.log.membership_index != self._reported_membership_index:
            self._reported_membership_index = self.log.membership_index
            self.actions.append(MembershipChanged(self.log.membership))

    def advance_commit(self, index: int) -> None:
        """Commit entries up to an index and apply them in order.

        Requests a snapshot after every `compact_entries` applied entries, and sooner if
        the journal is large.
        """
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
        calls = self.leadership.pending_calls if self.leadership else {}
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.get_entry(self.applied_index)
            self.actions.append(ApplyEntry(entry, calls.pop(self.applied_index, None)))
        if self._is_snapshot_due():
            self.request_snapshot()

    def _is_snapshot_due(self) -> bool:
        applied = self.applied_index - self.snapshot_index
        large = self.journal_bytes >= COMPACT_BYTES
        return applied >= self.compact_entries or (applied > 0 and large)

    def may_append(self, data: bytes) -> bool:
        """Return whether data may wait with the entries that are not committed."""
        first = self.commit_index + 1
        waiting = self.log.list_from(first, len(self.log.entries))
        size = len(data) + measure_entries(waiting)
        return size <= UNCOMMITTED_BYTES or not waiting

    def request_snapshot(self) -> None:
        """Request a snapshot of the control state unless one is requested already."""
        if not self.snapshot_requested:
            self.snapshot_requested = True
            self.actions.append(TakeSnapshot())

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Request a write of a snapshot, and of a journal with the entries after it."""
        self.snapshot_index = snapshot.index
        later = self.log.list_from(snapshot.index + 1, len(self.log.entries))
        self.journal_bytes = measure_entries(later)
        self.ticket += 1
        self.actions.append(SaveSnapshot(self.ticket, snapshot, self.hard_state, later))
        self.track_write()

    def vote_for(self, term: Term, voter: VoterId) -> None:
        """Move to a term and record the vote in it."""
        hard_state = msgspec.structs.replace(
            self.hard_state, term=term, voted_for=voter
        )
        self.persist(hard_state)
