"""Elect one leader a term: pre-vote, vote, and refusal while a leader is heard."""

import msgspec

from burdockwall.machine import Receive
from burdockwall.process.control.core import Core
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

    def __init__(self, core: Core) -> None:
        self.core = core
        self.votes: set[VoterId] = set()

    def campaign_when_due(self) -> None:
        """Start or repeat a campaign at the deadline."""
        core = self.core
        alone = core.log.membership.list_voters() == [core.me.voter]
        idle = core.role is ReplicaRole.FOLLOWER
        due = core.now >= core.deadline or (alone and idle)
        if not due or not core.is_voter():
            return
        if alone:
            self._start_vote()
            return
        core.reset_deadline()
        core.set_role(ReplicaRole.PRE_CANDIDATE)
        self.votes = {core.me.voter}
        self._ask_others(
            AskPreVote(
                cluster=core.hard.cluster,
                source=core.me.voter,
                target=VoterId(""),
                term=core.term,
                last_index=core.log.last_index,
                last_term=core.log.last_term,
            )
        )

    def _ask_others(self, message: AskPreVote | AskVote) -> None:
        for member in self.core.list_others():
            if member.voting:
                asked = msgspec.structs.replace(message, target=member.voter)
                self.core.send_synced(member.instance, asked)

    def _start_vote(self) -> None:
        core = self.core
        core.vote_for(Term(core.term + 1), core.me.voter)
        core.set_role(ReplicaRole.CANDIDATE)
        core.reset_deadline()
        self.votes = set()
        # Its own vote counts once synced, by a message to itself.
        core.send_synced(
            core.me.instance,
            AnswerVote(
                core.hard.cluster, core.me.voter, core.me.voter, core.term, True
            ),
        )
        self._ask_others(
            AskVote(
                cluster=core.hard.cluster,
                source=core.me.voter,
                target=VoterId(""),
                term=core.term,
                last_index=core.log.last_index,
                last_term=core.log.last_term,
            )
        )

    def _is_current(self, message: AskPreVote | AskVote) -> bool:
        log = self.core.log
        asked = (message.last_term, message.last_index)
        return asked >= (log.last_term, log.last_index)

    def answer_pre_vote(self, event: Receive, message: AskPreVote) -> None:
        """Say whether this replica would vote, without any promise."""
        core = self.core
        granted = (
            message.term >= core.term
            and not core.has_quorum_contact()
            and self._is_current(message)
        )
        answer = AnswerPreVote(
            core.hard.cluster,
            core.me.voter,
            message.source,
            core.term,
            message.term,
            granted,
        )
        core.send_synced(event.sender, answer)

    def count_pre_vote(self, message: AnswerPreVote) -> None:
        """Count a pre-vote and ask for votes on a majority."""
        core = self.core
        if core.role is not ReplicaRole.PRE_CANDIDATE:
            return
        if message.asked_term != core.term or not message.granted:
            return
        if core.log.membership.is_voter(message.source):
            self.votes.add(message.source)
        if len(self.votes) >= core.quorum:
            self._start_vote()

    def answer_vote(self, event: Receive, message: AskVote) -> None:
        """Vote at most once a term, for a log that is at least as long."""
        core = self.core
        granted = (
            message.term == core.term
            and core.hard.voted_for in ("", message.source)
            and self._is_current(message)
        )
        if granted:
            if core.hard.voted_for != message.source:
                core.vote_for(core.term, message.source)
            core.reset_deadline()
        answer = AnswerVote(
            core.hard.cluster, core.me.voter, message.source, core.term, granted
        )
        core.send_synced(event.sender, answer)

    def count_vote(self, message: AnswerVote) -> bool:
        """Count a vote and tell whether the election is won."""
        core = self.core
        if core.role is not ReplicaRole.CANDIDATE or message.term != core.term:
            return False
        if message.granted and core.log.membership.is_voter(message.source):
            self.votes.add(message.source)
        return len(self.votes) >= core.quorum
