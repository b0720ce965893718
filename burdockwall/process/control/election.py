"""Elect one leader per term by pre-votes and votes.

A replica in contact with a leader does not vote for another candidate.
"""

import msgspec

from burdockwall.machine import Receive
from burdockwall.process.control.consensus_state import ConsensusState
from burdockwall.process.control.entries import VoterId
from burdockwall.process.control.events import ReplicaRole
from burdockwall.process.control.messages import (
    AnswerPreVote,
    AnswerVote,
    AskPreVote,
    AskVote,
)
from burdockwall.types import Term


class Election:
    """Candidate and voter: campaigns for this replica and answers other candidates."""

    def __init__(self, state: ConsensusState) -> None:
        self.state = state
        self.votes: set[VoterId] = set()
        self.start_ids: dict[VoterId, int] = {}

    def campaign_when_due(self) -> None:
        """Start or repeat a campaign at the election deadline.

        A newly started replica campaigns earlier, and a single voter at once.
        """
        state = self.state
        is_only_voter = state.log.membership.list_voters() == [state.own_member.voter]
        idle = state.role is ReplicaRole.FOLLOWER
        early = state.is_newly_started() and state.now >= state.early_campaign_at
        due = state.now >= state.election_deadline_at or (is_only_voter and idle)
        if not (due or early) or not state.is_voter():
            return
        if is_only_voter:
            self._start_vote()
            return
        state.postpone_early_campaign()
        if due:
            state.reset_election_deadline()
        self._ask_pre_votes()

    def _ask_pre_votes(self) -> None:
        state = self.state
        state.set_role(ReplicaRole.PRE_CANDIDATE)
        # A newly started replica does not count its own pre-vote: a leader may still
        # rely on a heartbeat that this replica confirmed before its start.
        newly_started = state.is_newly_started()
        self.votes = set() if newly_started else {state.own_member.voter}
        self.start_ids = (
            {state.own_member.voter: state.start_id} if newly_started else {}
        )
        self._send_to_voters(
            AskPreVote(
                cluster=state.hard_state.cluster,
                source=state.own_member.voter,
                target=VoterId(""),
                term=state.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
            )
        )

    def _send_to_voters(self, message: AskPreVote | AskVote) -> None:
        for member in self.state.list_others():
            if member.voting:
                request = msgspec.structs.replace(message, target=member.voter)
                if isinstance(request, AskVote):
                    start_id = self.start_ids.get(member.voter, 0)
                    request = msgspec.structs.replace(request, start_id=start_id)
                self.state.send_synced(member.instance, request)

    def _start_vote(self) -> None:
        state = self.state
        state.vote_for(Term(state.term + 1), state.own_member.voter)
        state.set_role(ReplicaRole.CANDIDATE)
        state.reset_election_deadline()
        state.postpone_early_campaign()
        self.votes = set()
        # The own vote counts once it is synced, so it is sent as a message to itself.
        state.send_synced(
            state.own_member.instance,
            AnswerVote(
                state.hard_state.cluster,
                state.own_member.voter,
                state.own_member.voter,
                state.term,
                True,
            ),
        )
        self._send_to_voters(
            AskVote(
                cluster=state.hard_state.cluster,
                source=state.own_member.voter,
                target=VoterId(""),
                term=state.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
            )
        )

    def _is_log_up_to_date(self, message: AskPreVote | AskVote) -> bool:
        log = self.state.log
        candidate_last = (message.last_term, message.last_index)
        return candidate_last >= (log.last_term, log.last_index)

    def may_vote(self, message: AskVote) -> bool:
        """Return whether no leader can rely on this replica, so that it may vote.

        A newly started replica may also vote for a candidate that names its current
        start, since that candidate's pre-votes showed that no leader is active.
        """
        state = self.state
        if not state.has_leader_contact():
            return True
        return state.is_newly_started() and message.start_id == state.start_id

    def answer_pre_vote(self, event: Receive, message: AskPreVote) -> None:
        """Answer whether this replica would vote; the answer does not bind it."""
        state = self.state
        willing = message.term >= state.term and self._is_log_up_to_date(message)
        granted = willing and not state.has_leader_contact()
        only_newly_started = willing and not granted and state.is_newly_started()
        answer = AnswerPreVote(
            state.hard_state.cluster,
            state.own_member.voter,
            message.source,
            state.term,
            message.term,
            granted,
            state.start_id if only_newly_started else 0,
        )
        state.send_synced(event.sender, answer)

    def count_pre_vote(self, message: AnswerPreVote) -> None:
        """Count a pre-vote; ask for votes once a majority would grant them.

        Also ask for votes if every voter either would grant its vote or has just
        started: no leader can then rely on any of them, so that waiting for the
        election timeout is not needed.
        """
        state = self.state
        if state.role is not ReplicaRole.PRE_CANDIDATE:
            return
        if message.asked_term != state.term:
            return
        if not state.log.membership.is_voter(message.source):
            return
        if message.granted:
            self.votes.add(message.source)
        elif message.start_id:
            self.start_ids[message.source] = message.start_id
        answered = self.votes | set(self.start_ids)
        no_leader = answered.issuperset(state.log.membership.list_voters())
        if len(self.votes) >= state.quorum or no_leader:
            self._start_vote()

    def answer_vote(self, event: Receive, message: AskVote) -> None:
        """Vote at most once per term, for a candidate with an up-to-date log."""
        state = self.state
        granted = (
            message.term == state.term
            and state.hard_state.voted_for in ("", message.source)
            and self._is_log_up_to_date(message)
        )
        if granted:
            if state.hard_state.voted_for != message.source:
                state.vote_for(state.term, message.source)
            state.reset_election_deadline()
        answer = AnswerVote(
            state.hard_state.cluster,
            state.own_member.voter,
            message.source,
            state.term,
            granted,
        )
        state.send_synced(event.sender, answer)

    def count_vote(self, message: AnswerVote) -> bool:
        """Count a vote and return whether the election is won."""
        state = self.state
        if state.role is not ReplicaRole.CANDIDATE or message.term != state.term:
            return False
        if message.granted and state.log.membership.is_voter(message.source):
            self.votes.add(message.source)
        return len(self.votes) >= state.quorum
