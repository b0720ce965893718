"""Replicate the log as the leader: send, count, commit, and confirm reads."""

from burdockwall.machine import Receive
from burdockwall.process.control.core import Core
from burdockwall.process.control.entries import (
    Data,
    Entry,
    LeaderStart,
    Member,
    Membership,
    MembershipChange,
    Snapshot,
    VoterId,
)
from burdockwall.process.control.events import (
    AskRead,
    CallRefused,
    Propose,
    ReadReady,
    RemoveMember,
    ReplicaRole,
)
from burdockwall.process.control.leadership import (
    Leadership,
    PendingRead,
    Progress,
)
from burdockwall.process.control.messages import (
    AnswerAppend,
    AnswerSnapshot,
    Append,
    AskJoin,
    SendSnapshot,
)
from burdockwall.process.control.transfer import OutgoingSnapshot, create_outgoing
from burdockwall.process.control.voters import VoterPolicy, choose_change, remove_member
from burdockwall.types import CallId

APPEND_ENTRIES = 256
APPEND_BYTES = 262_144
PENDING_CALLS = 1024


class Leader:
    """Do the leader's part while this replica leads."""

    def __init__(self, core: Core, policy: VoterPolicy) -> None:
        self.core = core
        self.policy = policy
        self.joining: dict[VoterId, Member] = {}
        self.outgoing: OutgoingSnapshot | None = None

    def take_lead(self) -> None:
        """Begin to lead in the current term."""
        core = self.core
        core.leadership = Leadership(
            core.me.voter, core.log.last_index + 1, elected_at=core.now
        )
        self.joining.clear()
        self.outgoing = None
        core.set_role(ReplicaRole.LEADER, core.me.voter)
        self._append(LeaderStart(), None)

    def _append(
        self, payload: LeaderStart | MembershipChange | Data, call: CallId | None
    ) -> None:
        core, leadership = self.core, self._get_leadership()
        entry = Entry(core.term, core.log.last_index + 1, payload)
        if call is not None:
            leadership.calls[entry.index] = call
        core.persist(core.hard, (entry,))
        leadership.follow_membership(core.log.membership, entry.index, core.now)
        for member in core.list_others():
            if core.now >= leadership.progress[member.voter].busy_until:
                self._send_entries(member)

    def _get_leadership(self) -> Leadership:
        assert self.core.leadership is not None
        return self.core.leadership

    def keep_lead(self) -> None:
        """Do what is due: step down, send heartbeats, change the membership."""
        core, leadership = self.core, self._get_leadership()
        leadership.confirm(core.log.membership, core.now)
        contact = max(leadership.confirmed_at, leadership.elected_at)
        if core.now - contact >= core.timing.election_timeout_s:
            core.become_follower()
            core.reset_deadline()
            return
        if core.now >= leadership.heartbeat_due:
            self._send_round()
        self._change_membership()

    def _send_round(self) -> None:
        core, leadership = self.core, self._get_leadership()
        leadership.start_round(core.now)
        leadership.heartbeat_due = core.now + core.timing.heartbeat_s
        for member in core.list_others():
            progress = leadership.progress[member.voter]
            if core.now >= progress.busy_until:
                self._send_entries(member)
            else:
                self._send_append(member, progress, ())

    def _send_entries(self, member: Member) -> None:
        core = self.core
        progress = self._get_leadership().progress[member.voter]
        if progress.next_index <= core.log.base_index:
            self._send_append(member, progress, ())
            self._send_part(member, progress)
            return
        entries = core.log.list_from(progress.next_index, APPEND_ENTRIES, APPEND_BYTES)
        if entries:
            progress.busy_until = core.now + core.timing.resend_s
        self._send_append(member, progress, entries)

    def _send_append(
        self, member: Member, progress: Progress, entries: tuple[Entry, ...]
    ) -> None:
        core = self.core
        previous = max(progress.next_index - 1, core.log.base_index)
        term = core.log.find_term(previous)
        assert term is not None
        message = Append(
            cluster=core.hard.cluster,
            source=core.me.voter,
            target=member.voter,
            term=core.term,
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit=core.commit,
            round=self._get_leadership().round,
        )
        core.send(member.instance, message)

    def _send_part(self, member: Member, progress: Progress) -> None:
        core = self.core
        outgoing = self.outgoing
        if outgoing is None or outgoing.index < core.log.base_index:
            core.request_snapshot()
            return
        progress.busy_until = core.now + core.timing.resend_s
        message = SendSnapshot(
            cluster=core.hard.cluster,
            source=core.me.voter,
            target=member.voter,
            term=core.term,
            index=outgoing.index,
            offset=progress.snapshot_offset,
            total=len(outgoing.data),
            part=outgoing.get_part(progress.snapshot_offset),
            round=self._get_leadership().round,
        )
        core.send(member.instance, message)

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot to the replicas whose entries are compacted."""
        core, leadership = self.core, self._get_leadership()
        behind = [
            member
            for member in core.list_others()
            if leadership.progress[member.voter].next_index <= core.log.base_index
        ]
        self.outgoing = create_outgoing(snapshot) if behind else None
        for member in behind:
            progress = leadership.progress[member.voter]
            progress.snapshot_offset = 0
            self._send_part(member, progress)

    def take_append_answer(self, event: Receive, message: AnswerAppend) -> None:
        """Note how far a replica's log matches and send what it lacks."""
        core, leadership = self.core, self._get_leadership()
        progress = leadership.progress.get(message.source)
        member = core.log.membership.find(message.source)
        if progress is None or member is None or message.term != core.term:
            return
        progress.answered_at = core.now
        progress.round = max(progress.round, message.round)
        before = progress.next_index
        if message.success:
            progress.match = max(progress.match, message.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
        else:
            lower = min(progress.next_index - 1, message.match + 1)
            progress.next_index = max(progress.match + 1, lower, 1)
        # A replica that can't be brought any further is tried again later.
        stuck = not message.success and progress.next_index == before
        compacted = progress.next_index <= core.log.base_index
        if not compacted and not stuck:
            progress.busy_until = 0.0
        self.advance()
        behind = progress.next_index <= core.log.last_index
        if core.leadership and behind and core.now >= progress.busy_until:
            self._send_entries(member)

    def take_snapshot_answer(self, event: Receive, message: AnswerSnapshot) -> None:
        """Send the next part of a snapshot."""
        core, leadership = self.core, self._get_leadership()
        progress = leadership.progress.get(message.source)
        member = core.log.membership.find(message.source)
        if progress is None or member is None or message.term != core.term:
            return
        progress.answered_at = core.now
        progress.round = max(progress.round, message.round)
        outgoing = self.outgoing
        if outgoing is None or outgoing.index != message.index:
            return
        if message.received != progress.snapshot_offset:
            progress.snapshot_offset = message.received
            if message.received < len(outgoing.data):
                self._send_part(member, progress)

    def advance(self) -> None:
        """Commit what a majority has synced, and serve confirmed reads."""
        core, leadership = self.core, self._get_leadership()
        membership = core.log.membership
        leadership.confirm(membership, core.now)
        match = leadership.find_match(membership, core.durable_index)
        # An entry of an earlier term commits only with one of this term.
        if match > core.commit and core.log.find_term(match) == core.term:
            core.advance_commit(match)
        for call in leadership.take_reads(membership, core.applied):
            core.actions.append(ReadReady(call))
        removed = not core.is_voter() and core.log.membership_index <= core.commit
        if removed:
            core.become_follower()

    def propose(self, event: Propose) -> None:
        """Append data that an operator or this process proposes."""
        if len(self._get_leadership().calls) >= PENDING_CALLS:
            self.core.actions.append(CallRefused(event.call))
            return
        self._append(Data(event.data), event.call)
        self.advance()

    def read(self, event: AskRead) -> None:
        """Begin a round; once a majority answers it, the read is not stale."""
        core, leadership = self.core, self._get_leadership()
        self._send_round()
        index = max(core.commit, leadership.start_index)
        leadership.reads.append(PendingRead(event.call, leadership.round, index))
        self.advance()

    def join(self, message: AskJoin) -> None:
        """Remember a replica that wants to join."""
        self.joining[message.member.voter] = message.member

    def remove(self, event: RemoveMember) -> None:
        """Remove a replica if no other change is under way."""
        core = self.core
        if not self._may_change() or core.log.membership.find(event.voter) is None:
            core.actions.append(CallRefused(event.call))
            return
        membership = remove_member(core.log.membership, event.voter)
        if not membership.list_voters():
            core.actions.append(CallRefused(event.call))
            return
        self._append(MembershipChange(membership), event.call)
        self.advance()

    def _may_change(self) -> bool:
        core = self.core
        started = core.commit >= self._get_leadership().start_index
        return started and core.log.membership_index <= core.commit

    def _change_membership(self) -> None:
        core, leadership = self.core, self._get_leadership()
        if not self._may_change():
            return
        changed: Membership | None = choose_change(
            core.log.membership,
            leadership,
            self.joining,
            self.policy,
            core.log.last_index,
            core.now,
            core.timing.election_timeout_s,
        )
        self.joining.clear()
        if changed is not None:
            self._append(MembershipChange(changed), None)
