"""Replicate one log among the replicas of the control state (Raft)."""

import random
from typing import Any

from burdockwall.machine import Receive, Tick
from burdockwall.process.control.bounds import (
    HELD_BYTES,
    HELD_ENTRIES,
    RETAINED_BYTES,
)
from burdockwall.process.control.consensus_state import (
    COMPACT_ENTRIES,
    FIRST_EARLY_CAMPAIGN_S,
    ConsensusState,
    Timing,
)
from burdockwall.process.control.election import Election
from burdockwall.process.control.entries import Member, Snapshot
from burdockwall.process.control.events import (
    AskRead,
    CallRefused,
    Persisted,
    Propose,
    Recovered,
    RemoveMember,
    ReplicaRole,
    SnapshotTaken,
    StorageFailed,
)
from burdockwall.process.control.follower import Follower
from burdockwall.process.control.leader import Leader
from burdockwall.process.control.messages import (
    AnswerAppend,
    AnswerPreVote,
    AnswerSnapshot,
    AnswerVote,
    Append,
    AskJoin,
    AskPreVote,
    AskVote,
    ControlMessage,
    SendSnapshot,
)
from burdockwall.process.control.transfer import OutgoingSnapshot
from burdockwall.process.control.voters import VoterPolicy
from burdockwall.types import InstanceId

# Entries up to a snapshot that stay in the log, for replicas that are slightly behind.
RETAINED_ENTRIES = 200

Event = (
    Tick
    | Receive
    | Propose
    | AskRead
    | RemoveMember
    | Persisted
    | StorageFailed
    | SnapshotTaken
)


class Consensus:
    """Consensus of one replica: takes events, returns what to send, write and apply."""

    def __init__(
        self,
        own_member: Member,
        recovered: Recovered,
        contacts: list[InstanceId],
        rng: random.Random,
        timing: Timing | None = None,
        compact_entries: int = COMPACT_ENTRIES,
        policy: VoterPolicy | None = None,
    ) -> None:
        timing = timing or Timing()
        self.state = ConsensusState(own_member, recovered, timing, rng, compact_entries)
        self.election = Election(self.state)
        policy = policy or VoterPolicy(tuple(contacts))
        self.leader = Leader(self.state, policy)
        self.follower = Follower(self.state, contacts)

    @property
    def is_leader(self) -> bool:
        """Return whether this replica regards itself as the leader."""
        return self.state.role is ReplicaRole.LEADER

    def awaits_voters(self) -> bool:
        """Return whether this leader can't commit yet, for want of voters."""
        return self.is_leader and self.leader.awaits_voters()

    def find_leader(self) -> Member | None:
        """Return the leader, or None if it is unknown."""
        return self.state.log.membership.find(self.state.leader)

    def get_confirmed_at(self) -> float | None:
        """Return when a majority last followed this leader, by this replica's clock.

        No other replica is elected within an election timeout of that time. Return
        None if this replica does not lead.
        """
        leadership = self.state.leadership
        return leadership.confirmed_at if leadership else None

    def handle(self, event: Event, now: float) -> list[Any]:
        """Handle an event and return the actions, to be performed in order."""
        state = self.state
        state.now = now
        state.actions = []
        if state.role is ReplicaRole.FAILED:
            self._refuse(event)
        else:
            self._start_once()
            self._dispatch(event)
        return state.actions

    def _start_once(self) -> None:
        state = self.state
        if state.started:
            return
        # This replica may have confirmed a leader just before its restart.
        state.started = True
        state.leader_contact_at = state.now
        state.reset_election_deadline()
        state.postpone_early_campaign(FIRST_EARLY_CAMPAIGN_S)
        state.report_membership()

    def _refuse(self, event: Event) -> None:
        match event:
            case Propose(call=call) | AskRead(call=call) | RemoveMember(call=call):
                self.state.actions.append(CallRefused(call))
            case _:
                pass

    def _dispatch(self, event: Event) -> None:
        match event:
            case Tick():
                self._tick()
            case Receive(message=ControlMessage() as message):
                self._receive(event, message)
            case Receive(message=AskJoin() as message) if self.is_leader:
                self.leader.join(message)
            case Receive(message=AskJoin() as message):
                self.follower.forward_join(event.sender, message)
            case Propose(data=data) if self.is_leader and self.state.may_append(data):
                self.leader.propose(event)
            case AskRead() if self.is_leader:
                self.leader.read(event)
            case RemoveMember() if self.is_leader:
                self.leader.remove(event)
            case Persisted(ticket=ticket):
                self._finish_writes(ticket)
            case SnapshotTaken(snapshot=snapshot):
                self._take_snapshot(snapshot)
            case StorageFailed():
                self.state.become_follower()
                self.state.set_role(ReplicaRole.FAILED)
            case _:
                self._refuse(event)

    def _tick(self) -> None:
        if self.is_leader:
            self.leader.perform_due_work()
            return
        self.election.campaign_when_due()
        self.follower.request_join_when_due()

    def _finish_writes(self, ticket: int) -> None:
        self.state.finish_writes(ticket)
        if self.is_leader:
            self.leader.advance()

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        state = self.state
        state.snapshot_requested = False
        if snapshot.index > state.snapshot_index:
            state.save_snapshot(snapshot)
            state.log.compact(self._choose_base(snapshot.index))
        if self.is_leader and self._find_awaited() is None:
            self.leader.send_snapshot(snapshot)

    def _choose_base(self, last: int) -> int:
        """Return the index up to which entries may go once a snapshot has them."""
        log = self.state.log
        base = log.find_retained(last, RETAINED_ENTRIES, RETAINED_BYTES)
        awaited = self._find_awaited()
        if awaited is None:
            return base
        held = log.find_retained(last, HELD_ENTRIES, HELD_BYTES)
        return min(base, awaited.index) if held <= awaited.index else base

    def _find_awaited(self) -> OutgoingSnapshot | None:
        """Return the snapshot being sent if a replica that answers can use it."""
        state, outgoing = self.state, self.leader.outgoing
        base = state.log.base_index
        if state.leadership is None or outgoing is None or outgoing.index < base:
            return None
        answered_since = state.now - state.timing.election_timeout_s
        awaited = any(
            progress.next_index <= base and progress.last_answer_at >= answered_since
            for progress in state.leadership.progress.values()
        )
        return outgoing if awaited else None

    def _receive(self, event: Receive, message: ControlMessage) -> None:
        state = self.state
        if message.target != state.own_member.voter:
            return
        if message.cluster != state.hard_state.cluster:
            leads = isinstance(message, Append | SendSnapshot)
            if state.hard_state.cluster or not leads:
                return
            state.adopt_term(message.term, message.cluster)
        if message.term > state.term:
            if isinstance(message, AskVote) and not self.election.may_vote(message):
                return
            if not isinstance(message, AskPreVote):
                state.adopt_term(message.term)
                state.become_follower()
        self._receive_current(event, message)

    def _receive_current(self, event: Receive, message: ControlMessage) -> None:
        match message:
            case AskPreVote():
                self.election.answer_pre_vote(event, message)
            case AnswerPreVote():
                self.election.count_pre_vote(message)
            case AskVote():
                self.election.answer_vote(event, message)
            case AnswerVote():
                if self.election.count_vote(message):
                    self.leader.start_leading()
            case Append():
                self.follower.handle_append(event, message)
            case SendSnapshot():
                self.follower.handle_snapshot_part(event, message)
            case AnswerAppend() if self.is_leader:
                self.leader.handle_append_answer(event, message)
            case AnswerSnapshot() if self.is_leader:
                self.leader.handle_snapshot_answer(event, message)
            case _:
                pass
