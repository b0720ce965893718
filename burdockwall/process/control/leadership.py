"""Track the progress of the other replicas for the leader of one term."""

import math
from collections import deque

import msgspec

from burdockwall.process.control.entries import Membership, VoterId
from burdockwall.types import CallId

RETAINED_ROUNDS = 64


class Progress(msgspec.Struct):
    """Replication progress of one replica.

    Times are on the leader's clock in seconds. Until `resend_at` only heartbeats
    are sent, since entries or a part of a snapshot are in flight.
    """

    next_index: int
    match_index: int = 0
    round: int = 0
    resend_at: float = 0.0
    last_answer_at: float = 0.0
    snapshot_offset: int = 0


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits until a round is answered and an index is applied."""

    call: CallId
    round: int
    index: int


def find_quorum_value(values: list[int]) -> int:
    """Return the highest value that a majority of the values reaches."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2] if ordered else 0


class Leadership(msgspec.Struct):
    """State of a leader in one term.

    A round is one set of heartbeats. A replica returns the round's number, which
    proves that it followed this leader after the round was sent. Entries up to
    `agreed_index` are in the logs of a majority, but not all may be committed yet.
    `founding` is whether the log had no data when this leader was elected.
    """

    voter: VoterId
    start_index: int
    elected_at: float
    confirmed_at: float = -math.inf
    round: int = 0
    agreed_index: int = 0
    founding: bool = False
    progress: dict[VoterId, Progress] = msgspec.field(default_factory=dict)
    pending_reads: list[PendingRead] = msgspec.field(default_factory=list)
    pending_calls: dict[int, CallId] = msgspec.field(default_factory=dict)
    next_heartbeat_at: float = 0.0
    _rounds: deque[tuple[int, float]] = msgspec.field(
        default_factory=lambda: deque(maxlen=RETAINED_ROUNDS)
    )

    def start_round(self, now: float) -> None:
        """Start a heartbeat round and record when it is sent."""
        self.round += 1
        self._rounds.append((self.round, now))

    def update_members(
        self, membership: Membership, next_index: int, now: float
    ) -> None:
        """Track exactly the members, and keep the progress of those tracked."""
        previous = self.progress
        self.progress = {
            member.voter: previous.get(member.voter)
            or Progress(next_index, last_answer_at=now)
            for member in membership.members
            if member.voter != self.voter
        }

    def find_majority_match(self, membership: Membership, durable_index: int) -> int:
        """Return the highest index that a majority of voters has synced."""
        return find_quorum_value(
            [
                durable_index
                if voter == self.voter
                else self.progress[voter].match_index
                for voter in membership.list_voters()
            ]
        )

    def find_confirmed_round(self, membership: Membership) -> int:
        """Return the latest round that a majority of voters has answered."""
        return find_quorum_value(
            [
                self.round if voter == self.voter else self.progress[voter].round
                for voter in membership.list_voters()
            ]
        )

    def update_confirmed_at(self, membership: Membership, now: float) -> None:
        """Update the latest time at which a majority has followed this leader."""
        if membership.list_voters() == [self.voter]:
            self.confirmed_at = now
            return
        confirmed = self.find_confirmed_round(membership)
        for number, sent_at in self._rounds:
            if number <= confirmed:
                self.confirmed_at = max(self.confirmed_at, sent_at)

    def pop_ready_reads(
        self, membership: Membership, applied_index: int
    ) -> list[CallId]:
        """Return and remove the reads that may be answered."""
        confirmed = self.find_confirmed_round(membership)
        ready = [
            read
            for read in self.pending_reads
            if read.round <= confirmed and read.index <= applied_index
        ]
        self.pending_reads = [read for read in self.pending_reads if read not in ready]
        return [read.call for read in ready]
