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
        self.starts: dict[VoterId, int] = {}

    def campaign_when_due(self) -> None:
        """Start or repeat a campaign at the deadline."""
        core = self.core
        alone = core.log.membership.list_voters() == [core.me.voter]
        idle = core.role is ReplicaRole.FOLLOWER
        early = core.is_newly_started() and core.now >= core.early_at
        due = core.now >= core.deadline or (alone and idle)
        if not (due or early) or not core.is_voter():
            return
        if alone:
            self._start_vote()
            return
        core.reset_early()
        if due:
            core.reset_deadline()
        self._ask_pre_votes()

    def _ask_pre_votes(self) -> None:
        core = self.core
        core.set_role(ReplicaRole.PRE_CANDIDATE)
        # A leader may still rely on what this replica confirmed before its start.
        recent = core.is_newly_started()
        self.votes = set() if recent else {core.me.voter}
        self.starts = {core.me.voter: core.start} if recent else {}
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
                if isinstance(asked, AskVote):
                    start = self.starts.get(member.voter, 0)
                    asked = msgspec.structs.replace(asked, start=start)
                self.core.send_synced(member.instance, asked)

    def _start_vote(self) -> None:
        core = self.core
        core.vote_for(Term(core.term + 1), core.me.voter)
        core.set_role(ReplicaRole.CANDIDATE)
        core.reset_deadline()
        core.reset_early()
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

    def may_vote(self, message: AskVote) -> bool:
        """Tell whether no leader can rely on this replica's support."""
        core = self.core
        if not core.has_quorum_contact():
            return True
        return core.is_newly_started() and message.start == core.start

    def answer_pre_vote(self, event: Receive, message: AskPreVote) -> None:
        """Say whether this replica would vote, without any promise."""
        core = self.core
        willing = message.term >= core.term and self._is_current(message)
        granted = willing and not core.has_quorum_contact()
        recent = willing and not granted and core.is_newly_started()
        answer = AnswerPreVote(
            core.hard.cluster,
            core.me.voter,
            message.source,
            core.term,
            message.term,
            granted,
            core.start if recent else 0,
        )
        core.send_synced(event.sender, answer)

    def count_pre_vote(self, message: AnswerPreVote) -> None:
        """Count a pre-vote; ask for votes on a majority, or where nobody leads.

        Where all voters have just started, or would vote, no leader is left that
        relies on any of them, and there is nothing to wait for.
        """
        core = self.core
        if core.role is not ReplicaRole.PRE_CANDIDATE:
            return
        if message.asked_term != core.term:
            return
        if not core.log.membership.is_voter(message.source):
            return
        if message.granted:
            self.votes.add(message.source)
        elif message.start:
            self.starts[message.source] = message.start
        answered = self.votes | set(self.starts)
        leaderless = answered.issuperset(core.log.membership.list_voters())
        if len(self.votes) >= core.quorum or leaderless:
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
