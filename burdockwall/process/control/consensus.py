"""Agree on one log among the replicas of the control state."""

import random
from typing import Any

from burdockwall.machine import Receive, Tick
from burdockwall.process.control.core import (
    COMPACT_ENTRIES,
    EARLY_FIRST_S,
    Core,
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
from burdockwall.process.control.voters import VoterPolicy
from burdockwall.types import InstanceId

KEPT_ENTRIES = 200

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
    """Take events of one replica and return what to send, write and apply."""

    def __init__(
        self,
        me: Member,
        recovered: Recovered,
        contacts: list[InstanceId],
        chance: random.Random,
        timing: Timing | None = None,
        compact_entries: int = COMPACT_ENTRIES,
        policy: VoterPolicy | None = None,
    ) -> None:
        timing = timing or Timing()
        self.core = Core(me, recovered, timing, chance, compact_entries)
        self.election = Election(self.core)
        policy = policy or VoterPolicy(tuple(contacts))
        self.leader = Leader(self.core, policy)
        self.follower = Follower(self.core, contacts)

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads, as far as it knows."""
        return self.core.role is ReplicaRole.LEADER

    def find_leader(self) -> Member | None:
        """Return the leader as far as it is known."""
        return self.core.log.membership.find(self.core.leader)

    def get_confirmed_at(self) -> float | None:
        """Return when a majority last followed this leader, on its own clock.

        No other replica is elected within an election timeout of that time.
        """
        leadership = self.core.leadership
        return leadership.confirmed_at if leadership else None

    def handle(self, event: Event, now: float) -> list[Any]:
        """Take an event and return the actions, to be performed in order."""
        core = self.core
        core.now = now
        core.actions = []
        if core.role is ReplicaRole.FAILED:
            self._refuse(event)
        else:
            self._start_once()
            self._dispatch(event)
        return core.actions

    def _start_once(self) -> None:
        core = self.core
        if core.started:
            return
        # A leader may have been heard just before the restart.
        core.started = True
        core.heard_at = core.now
        core.reset_deadline()
        core.reset_early(EARLY_FIRST_S)
        core.note_membership()

    def _refuse(self, event: Event) -> None:
        match event:
            case Propose(call=call) | AskRead(call=call) | RemoveMember(call=call):
                self.core.actions.append(CallRefused(call))
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
            case Propose() if self.is_leader:
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
                self.core.become_follower()
                self.core.set_role(ReplicaRole.FAILED)
            case _:
                self._refuse(event)

    def _tick(self) -> None:
        if self.is_leader:
            self.leader.keep_lead()
            return
        self.election.campaign_when_due()
        self.follower.ask_to_join()

    def _finish_writes(self, ticket: int) -> None:
        self.core.finish_writes(ticket)
        if self.is_leader:
            self.leader.advance()

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        core = self.core
        core.snapshot_due = False
        if snapshot.index > core.snapshot_index:
            core.save_snapshot(snapshot)
            core.log.compact(snapshot.index - KEPT_ENTRIES)
        if self.is_leader:
            self.leader.offer_snapshot(snapshot)

    def _receive(self, event: Receive, message: ControlMessage) -> None:
        core = self.core
        if message.target != core.me.voter:
            return
        if message.cluster != core.hard.cluster:
            leads = isinstance(message, Append | SendSnapshot)
            if core.hard.cluster or not leads:
                return
            core.adopt_term(message.term, message.cluster)
        if message.term > core.term:
            if isinstance(message, AskVote) and not self.election.may_vote(message):
                return
            if not isinstance(message, AskPreVote):
                core.adopt_term(message.term)
                core.become_follower()
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
                    self.leader.take_lead()
            case Append():
                self.follower.take_append(event, message)
            case SendSnapshot():
                self.follower.take_snapshot_part(event, message)
            case AnswerAppend() if self.is_leader:
                self.leader.take_append_answer(event, message)
            case AnswerSnapshot() if self.is_leader:
                self.leader.take_snapshot_answer(event, message)
            case _:
                pass
