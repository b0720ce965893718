"""Replicate the log as leader: send entries, commit them and confirm reads."""

from burdockwall.machine import Receive
from burdockwall.process.control.consensus_state import ConsensusState
from burdockwall.process.control.entries import (
    Data,
    Entry,
    LeaderStart,
    Member,
    Membership,
    MembershipChange,
    Snapshot,
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
from burdockwall.process.control.redundancy import bears_losses, count_copies
from burdockwall.process.control.transfer import (
    OutgoingSnapshot,
    create_outgoing_snapshot,
)
from burdockwall.process.control.voters import (
    VoterPolicy,
    choose_membership,
    remove_member,
)
from burdockwall.types import CallId, InstanceId

APPEND_ENTRIES = 256
APPEND_BYTES = 262_144
MAX_PENDING_CALLS = 1024


class Leader:
    """The leader's part of consensus, active while this replica leads."""

    def __init__(self, state: ConsensusState, policy: VoterPolicy) -> None:
        self.state = state
        self.policy = policy
        self.joining: dict[InstanceId, Member] = {}
        self.outgoing: OutgoingSnapshot | None = None

    def start_leading(self) -> None:
        """Become the leader of the current term."""
        state = self.state
        state.leadership = Leadership(
            state.own_member.voter,
            state.log.last_index + 1,
            elected_at=state.now,
            founding=not state.log.has_data(),
        )
        self.joining.clear()
        self.outgoing = None
        state.set_role(ReplicaRole.LEADER, state.own_member.voter)
        self._append(LeaderStart(), None)

    def _append(
        self, payload: LeaderStart | MembershipChange | Data, call: CallId | None
    ) -> None:
        state, leadership = self.state, self._get_leadership()
        entry = Entry(state.term, state.log.last_index + 1, payload)
        if call is not None:
            leadership.pending_calls[entry.index] = call
        state.persist(state.hard_state, (entry,))
        leadership.update_members(state.log.membership, entry.index, state.now)
        for member in state.list_others():
            if state.now >= leadership.progress[member.voter].resend_at:
                self._send_entries(member)

    def _get_leadership(self) -> Leadership:
        assert self.state.leadership is not None
        return self.state.leadership

    def perform_due_work(self) -> None:
        """Step down, send heartbeats or change the membership if due.

        The leader steps down after an election timeout without a majority.
        """
        state, leadership = self.state, self._get_leadership()
        leadership.update_confirmed_at(state.log.membership, state.now)
        contact_at = max(leadership.confirmed_at, leadership.elected_at)
        if state.now - contact_at >= state.timing.election_timeout_s:
            state.become_follower()
            state.reset_election_deadline()
            return
        if state.now >= leadership.next_heartbeat_at:
            self._send_heartbeats()
        self._change_membership()
        self.advance()

    def _send_heartbeats(self) -> None:
        state, leadership = self.state, self._get_leadership()
        leadership.start_round(state.now)
        leadership.next_heartbeat_at = state.now + state.timing.heartbeat_s
        for member in state.list_others():
            progress = leadership.progress[member.voter]
            if state.now >= progress.resend_at:
                self._send_entries(member)
            else:
                self._send_append(member, progress, ())

    def _send_entries(self, member: Member) -> None:
        state = self.state
        progress = self._get_leadership().progress[member.voter]
        if progress.next_index <= state.log.base_index:
            self._send_append(member, progress, ())
            self._send_snapshot_part(member, progress)
            return
        entries = state.log.list_from(progress.next_index, APPEND_ENTRIES, APPEND_BYTES)
        if entries:
            progress.resend_at = state.now + state.timing.resend_s
        self._send_append(member, progress, entries)

    def _send_append(
        self, member: Member, progress: Progress, entries: tuple[Entry, ...]
    ) -> None:
        state = self.state
        previous = max(progress.next_index - 1, state.log.base_index)
        term = state.log.find_term(previous)
        assert term is not None
        message = Append(
            cluster=state.hard_state.cluster,
            source=state.own_member.voter,
            target=member.voter,
            term=state.term,
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit_index=state.commit_index,
            round=self._get_leadership().round,
        )
        state.send(member.instance, message)

    def _send_snapshot_part(self, member: Member, progress: Progress) -> None:
        state = self.state
        outgoing = self.outgoing
        if outgoing is None or outgoing.index < state.log.base_index:
            state.request_snapshot()
            return
        progress.resend_at = state.now + state.timing.resend_s
        message = SendSnapshot(
            cluster=state.hard_state.cluster,
            source=state.own_member.voter,
            target=member.voter,
            term=state.term,
            index=outgoing.index,
            offset=progress.snapshot_offset,
            total=len(outgoing.data),
            part=outgoing.get_part(progress.snapshot_offset),
            round=self._get_leadership().round,
        )
        state.send(member.instance, message)

    def send_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot to the replicas whose next entries are compacted."""
        state, leadership = self.state, self._get_leadership()
        behind = [
            member
            for member in state.list_others()
            if leadership.progress[member.voter].next_index <= state.log.base_index
        ]
        self.outgoing = create_outgoing_snapshot(snapshot) if behind else None
        for member in behind:
            progress = leadership.progress[member.voter]
            progress.snapshot_offset = 0
            self._send_snapshot_part(member, progress)

    def handle_append_answer(self, event: Receive, message: AnswerAppend) -> None:
        """Record how far a replica's log matches and send the entries it lacks."""
        state, leadership = self.state, self._get_leadership()
        progress = leadership.progress.get(message.source)
        member = state.log.membership.find(message.source)
        if progress is None or member is None or message.term != state.term:
            return
        progress.last_answer_at = state.now
        progress.round = max(progress.round, message.round)
        before = progress.next_index
        if message.success:
            progress.match_index = max(progress.match_index, message.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            lower = min(progress.next_index - 1, message.match_index + 1)
            progress.next_index = max(progress.match_index + 1, lower, 1)
        # Without progress, wait for resend_at instead of sending the same again.
        stuck = not message.success and progress.next_index == before
        compacted = progress.next_index <= state.log.base_index
        if not compacted and not stuck:
            progress.resend_at = 0.0
        self.advance()
        behind = progress.next_index <= state.log.last_index
        if state.leadership and behind and state.now >= progress.resend_at:
            self._send_entries(member)

    def handle_snapshot_answer(self, event: Receive, message: AnswerSnapshot) -> None:
        """Record how much of a snapshot has arrived and send the next part."""
        state, leadership = self.state, self._get_leadership()
        progress = leadership.progress.get(message.source)
        member = state.log.membership.find(message.source)
        if progress is None or member is None or message.term != state.term:
            return
        progress.last_answer_at = state.now
        progress.round = max(progress.round, message.round)
        outgoing = self.outgoing
        if outgoing is None or outgoing.index != message.index:
            return
        if message.received != progress.snapshot_offset:
            progress.snapshot_offset = message.received
            if message.received < len(outgoing.data):
                self._send_snapshot_part(member, progress)

    def advance(self) -> None:
        """Commit what a majority has synced, and answer confirmed reads.

        While the voters don't bear the tolerated losses, nothing is committed, so that
        nothing is acknowledged or shown; the membership may still change.
        A leader that is not a voter any more steps down once that is committed.
        """
        state, leadership = self.state, self._get_leadership()
        membership = state.log.membership
        leadership.update_confirmed_at(membership, state.now)
        index = leadership.find_majority_match(membership, state.durable_index)
        # Entries of earlier terms are committed only together with one of this term.
        if state.log.find_term(index) == state.term:
            leadership.agreed_index = max(leadership.agreed_index, index)
            if index > state.commit_index and self._may_commit(index):
                state.advance_commit(index)
        for call in leadership.pop_ready_reads(membership, state.applied_index):
            state.actions.append(ReadReady(call))
        removed = (
            not state.is_voter() and state.log.membership_index <= state.commit_index
        )
        if removed:
            state.become_follower()

    def _may_commit(self, index: int) -> bool:
        """Return whether entries up to an agreed index survive the tolerated losses."""
        if not self.policy.bounds.losses:
            return True
        return index >= self.state.log.membership_index and self._bears_losses()

    def _bears_losses(self) -> bool:
        state = self.state
        return bears_losses(
            state.log.membership,
            self._get_leadership(),
            self.policy.bounds,
            state.now,
            state.timing.election_timeout_s,
            bool(self.joining),
        )

    def awaits_voters(self) -> bool:
        """Return whether too few voters keep this leader from its first commit."""
        has_committed = self.state.commit_index >= self._get_leadership().start_index
        return not has_committed and not self._bears_losses()

    def propose(self, event: Propose) -> None:
        """Append proposed data, or refuse it while too many calls are pending."""
        if len(self._get_leadership().pending_calls) >= MAX_PENDING_CALLS:
            self.state.actions.append(CallRefused(event.call))
            return
        self._append(Data(event.data), event.call)
        self.advance()

    def read(self, event: AskRead) -> None:
        """Start a heartbeat round; the read is ready once a majority answers it."""
        state, leadership = self.state, self._get_leadership()
        self._send_heartbeats()
        index = max(state.commit_index, leadership.start_index)
        leadership.pending_reads.append(
            PendingRead(event.call, leadership.round, index)
        )
        self.advance()

    def join(self, message: AskJoin) -> None:
        """Record a replica that asks to join, the latest one of each instance."""
        member = message.member
        is_member = self.state.log.membership.find(member.voter) is not None
        if self.policy.admits(member.instance) and not is_member:
            self.joining[member.instance] = member

    def remove(self, event: RemoveMember) -> None:
        """Remove a replica unless a membership change is in progress."""
        state = self.state
        if (
            not self._may_change_membership()
            or state.log.membership.find(event.voter) is None
        ):
            state.actions.append(CallRefused(event.call))
            return
        membership = remove_member(state.log.membership, event.voter)
        voters = membership.list_voters()
        if not voters or len(voters) // 2 + 1 < count_copies(
            state.log.membership, self.policy.bounds
        ):
            state.actions.append(CallRefused(event.call))
            return
        self._append(MembershipChange(membership), event.call)
        self.advance()

    def _may_change_membership(self) -> bool:
        state = self.state
        leadership = self._get_leadership()
        started = leadership.agreed_index >= leadership.start_index
        return started and state.log.membership_index <= leadership.agreed_index

    def _change_membership(self) -> None:
        state, leadership = self.state, self._get_leadership()
        if not self._may_change_membership():
            return
        membership: Membership | None = choose_membership(
            state.log.membership,
            leadership,
            self.joining,
            self.policy,
            state.log.last_index,
            state.now,
            state.timing.election_timeout_s,
        )
        if membership is None:
            return
        self._append(MembershipChange(membership), None)
        # The others are taken in by the next changes.
        for member in membership.members:
            if self.joining.get(member.instance) == member:
                del self.joining[member.instance]
