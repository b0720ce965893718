"""Elect one leader a term: pre-vote, vote, and refusal while a leader is heard."""

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
    """Campaign for this replica, and answer the campaigns of others."""

    def __init__(self, state: ConsensusState) -> None:
        self.state = state
        self.votes: set[VoterId] = set()
        self.start_ids: dict[VoterId, int] = {}

    def campaign_when_due(self) -> None:
        """Start or repeat a campaign at the deadline."""
        state = self.state
        alone = state.log.membership.list_voters() == [state.own_member.voter]
        idle = state.role is ReplicaRole.FOLLOWER
        early = state.is_newly_started() and state.now >= state.early_campaign_at
        due = state.now >= state.election_deadline_at or (alone and idle)
        if not (due or early) or not state.is_voter():
            return
        if alone:
            self._start_vote()
            return
        state.postpone_early_campaign()
        if due:
            state.reset_election_deadline()
        self._ask_pre_votes()

    def _ask_pre_votes(self) -> None:
        state = self.state
        state.set_role(ReplicaRole.PRE_CANDIDATE)
        # A leader may still rely on what this replica confirmed before its start.
        recent = state.is_newly_started()
        self.votes = set() if recent else {state.own_member.voter}
        self.start_ids = {state.own_member.voter: state.start_id} if recent else {}
        self._ask_others(
            AskPreVote(
                cluster=state.hard_state.cluster,
                source=state.own_member.voter,
                target=VoterId(""),
                term=state.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
            )
        )

    def _ask_others(self, message: AskPreVote | AskVote) -> None:
        for member in self.state.list_others():
            if member.voting:
                asked = msgspec.structs.replace(message, target=member.voter)
                if isinstance(asked, AskVote):
                    start_id = self.start_ids.get(member.voter, 0)
                    asked = msgspec.structs.replace(asked, start_id=start_id)
                self.state.send_synced(member.instance, asked)

    def _start_vote(self) -> None:
        state = self.state
        state.vote_for(Term(state.term + 1), state.own_member.voter)
        state.set_role(ReplicaRole.CANDIDATE)
        state.reset_election_deadline()
        state.postpone_early_campaign()
        self.votes = set()
        # Its own vote counts once synced, by a message to itself.
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
        self._ask_others(
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
        asked = (message.last_term, message.last_index)
        return asked >= (log.last_term, log.last_index)

    def may_vote(self, message: AskVote) -> bool:
        """Tell whether no leader can rely on this replica's support."""
        state = self.state
        if not state.has_leader_contact():
            return True
        return state.is_newly_started() and message.start_id == state.start_id

    def answer_pre_vote(self, event: Receive, message: AskPreVote) -> None:
        """Say whether this replica would vote, without any promise."""
        state = self.state
        willing = message.term >= state.term and self._is_log_up_to_date(message)
        granted = willing and not state.has_leader_contact()
        recent = willing and not granted and state.is_newly_started()
        answer = AnswerPreVote(
            state.hard_state.cluster,
            state.own_member.voter,
            message.source,
            state.term,
            message.term,
            granted,
            state.start_id if recent else 0,
        )
        state.send_synced(event.sender, answer)

    def count_pre_vote(self, message: AnswerPreVote) -> None:
        """Count a pre-vote; ask for votes on a majority, or where nobody leads.

        Where all voters have just started, or would vote, no leader is left that
        relies on any of them, and there is nothing to wait for.
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
        leaderless = answered.issuperset(state.log.membership.list_voters())
        if len(self.votes) >= state.quorum or leaderless:
            self._start_vote()

    def answer_vote(self, event: Receive, message: AskVote) -> None:
        """Vote at most once a term, for a log that is at least as long."""
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
        """Count a vote and tell whether the election is won."""
        state = self.state
        if state.role is not ReplicaRole.CANDIDATE or message.term != state.term:
            return False
        if message.granted and state.log.membership.is_voter(message.source):
            self.votes.add(message.source)
        return len(self.votes) >= state.quorum
