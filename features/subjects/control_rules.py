"""Bring one replica, message by message, to where a rule of consensus matters."""

import random
from collections.abc import Callable
from contextlib import AbstractContextManager
from unittest.mock import patch

from burdockwall.fakes.files import FakeFiles
from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.control.consensus import Consensus
from burdockwall.process.control.consensus_state import ConsensusState
from burdockwall.process.control.election import Election
from burdockwall.process.control.entries import (
    Data,
    Entry,
    HardState,
    Member,
    Membership,
    MembershipChange,
    Snapshot,
    VoterId,
)
from burdockwall.process.control.events import Persist, Persisted, SaveSnapshot
from burdockwall.process.control.follower import Follower
from burdockwall.process.control.journal import Identity, Journal
from burdockwall.process.control.leader import Leader
from burdockwall.process.control.messages import (
    AnswerAppend,
    AnswerPreVote,
    AnswerVote,
    Append,
    AskJoin,
    AskPreVote,
    AskVote,
    SendSnapshot,
)
from burdockwall.process.control.transfer import create_outgoing_snapshot
from burdockwall.process.control.voters import VoterPolicy
from burdockwall.types import InstanceId, Term

NAMES = ("a", "b", "c")
CLUSTER = "cluster"


def build_entries(count: int) -> list[Entry]:
    """Build a log of term 1: the membership, then data."""
    members = tuple(
        Member(VoterId(name), InstanceId(name), voting=True) for name in NAMES
    )
    change = MembershipChange(Membership(members))
    data = [Entry(Term(1), index, Data(b"")) for index in range(2, count + 1)]
    return [Entry(Term(1), 1, change), *data]


class SingleReplica:
    """Replica a of three with its own disk; the test sends the messages of b and c."""

    def __init__(self, entries: int) -> None:
        self.files = FakeFiles(random.Random(1))
        self.journal = Journal(self.files)
        records = [HardState(CLUSTER, Term(1)), *build_entries(entries)]
        self.journal.create(Identity(VoterId("a"), InstanceId("a")), records)
        self.now = 0.0
        self.open()

    def open(self) -> None:
        self.journal = Journal(self.files)
        own_member = Member(VoterId("a"), InstanceId("a"), voting=True)
        recovered = self.journal.recover()
        rng = random.Random(1)
        policy = VoterPolicy(None)
        self.consensus = Consensus(own_member, recovered, [], rng, policy=policy)
        self.handle(Tick())

    def handle(self, event) -> list:
        """Handle an event, sync the requested writes and return the sent messages."""
        actions = self.consensus.handle(event, self.now)
        for action in actions:
            if isinstance(action, Persist | SaveSnapshot):
                self.journal.append(action)
        ticket = self.journal.flush()
        if ticket is not None:
            actions = actions + self.consensus.handle(Persisted(ticket), self.now)
        sent = [action for action in actions if isinstance(action, Send)]
        own = [action.message for action in sent if action.to == "a"]
        for message in own:
            sent += self.handle(Receive(InstanceId("a"), message))
        return sent

    def receive(self, kind, source: str, term: int, *fields) -> list:
        message = kind(CLUSTER, VoterId(source), VoterId("a"), Term(term), *fields)
        return self.handle(Receive(InstanceId(source), message))

    def ask_vote(self, source: str, term: int, start_id: int = 0) -> bool:
        sent = self.receive(AskVote, source, term, 99, Term(term), start_id)
        return any(
            isinstance(action.message, AnswerVote) and action.message.granted
            for action in sent
        )

    def ask_join(self, name: str, sender: str) -> list:
        member = Member(VoterId(name), InstanceId(name))
        return self.handle(Receive(InstanceId(sender), AskJoin(member)))

    def win_election(self) -> None:
        self.now += 10.0
        self.handle(Tick())
        state = self.consensus.state
        self.receive(AnswerPreVote, "b", state.term, state.term, True)
        self.receive(AnswerVote, "b", state.term, True)
        assert self.consensus.is_leader


def check_vote_survives_restart() -> bool:
    replica = SingleReplica(3)
    replica.now = 10.0
    assert replica.ask_vote("b", 5)
    replica.files.crash()
    replica.open()
    replica.now = 20.0
    return not replica.ask_vote("c", 5)


def check_commit_needs_own_term() -> bool:
    replica = SingleReplica(3)
    replica.win_election()
    state = replica.consensus.state
    replica.receive(AnswerAppend, "b", state.term, True, 3, 0)
    commit_withheld = state.commit_index == 0
    replica.receive(AnswerAppend, "b", state.term, True, 4, 0)
    assert state.commit_index == 4
    return commit_withheld


def check_suffix_retained() -> bool:
    replica = SingleReplica(10)
    membership = replica.consensus.state.log.membership
    outgoing = create_outgoing_snapshot(Snapshot(5, Term(1), membership, b"state"))
    total = len(outgoing.data)
    replica.receive(SendSnapshot, "b", 1, 5, 0, total, outgoing.data, 1)
    state = replica.consensus.state
    assert state.commit_index == 5
    return state.log.last_index == 10


def check_no_vote_while_led() -> bool:
    replica = SingleReplica(3)
    replica.now = 10.0
    replica.receive(Append, "b", 2, 3, Term(1), (), 3, 1)
    replica.now += 1.0
    refused = not replica.ask_vote("c", 3) and replica.consensus.state.term == 2
    replica.now += 1.0
    assert replica.ask_vote("c", 3)
    return refused


def check_early_election() -> bool:
    replica = SingleReplica(3)
    replica.now = 0.1
    asked = replica.handle(Tick())
    if not any(isinstance(action.message, AskPreVote) for action in asked):
        return False
    state = replica.consensus.state
    replica.receive(AnswerPreVote, "b", state.term, state.term, False, 7)
    sent = replica.receive(AnswerPreVote, "c", state.term, state.term, False, 8)
    starts = {
        action.to: action.message.start_id
        for action in sent
        if isinstance(action.message, AskVote)
    }
    return starts == {"b": 7, "c": 8}


def check_outdated_start_id() -> bool:
    replica = SingleReplica(3)
    replica.now = 0.1
    start = replica.consensus.state.start_id
    refused = not replica.ask_vote("b", 5, start + 1)
    return replica.ask_vote("b", 6, start) and refused


def check_no_own_pre_vote() -> bool:
    replica = SingleReplica(3)
    replica.now = 0.1
    replica.handle(Tick())
    state = replica.consensus.state
    sent = replica.receive(AnswerPreVote, "b", state.term, state.term, True)
    return not any(isinstance(action.message, AskVote) for action in sent)


def check_join_reaches_leader() -> bool:
    replica = SingleReplica(3)
    replica.receive(Append, "b", 1, 3, Term(1), (), 3, 1)
    assert not replica.ask_join("d", sender="c")
    sent = replica.ask_join("d", sender="d")
    return [(action.to, action.message.member.voter) for action in sent] == [("b", "d")]


def check_all_joiners_admitted() -> bool:
    replica = SingleReplica(3)
    replica.win_election()
    state = replica.consensus.state
    for name in "de":
        replica.ask_join(name, sender=name)
    for _ in range(2):
        replica.receive(AnswerAppend, "b", state.term, True, state.log.last_index, 0)
        replica.handle(Tick())
    membership = state.log.membership
    assert membership.find(VoterId("d")) is not None
    return membership.find(VoterId("e")) is not None


def check_removed_voter_asks() -> bool:
    replica = SingleReplica(3)
    replica.receive(Append, "b", 1, 3, Term(1), (), 3, 1)
    early = replica.handle(Tick())
    replica.now = 10.0
    sent = replica.handle(Tick())
    asked = {action.to for action in sent if isinstance(action.message, AskJoin)}
    none_early = not any(isinstance(action.message, AskJoin) for action in early)
    return none_early and asked == {"b", "c"}


def ask_join_as_learner(follower):
    if not follower.state.is_voter():
        ask_join(follower)


def change_membership_and_forget(leader):
    change_membership(leader)
    leader.joining.clear()


def ask_pre_votes_counting_own(election):
    ask(election)
    election.votes = {election.state.own_member.voter}


def persist_entries_only(state, hard_state, entries=()):
    if entries:
        persist(state, hard_state, entries)
    state.hard_state = hard_state


def commit_any_term(leader):
    state = leader.state
    match = state.leadership.find_majority_match(
        state.log.membership, state.durable_index
    )
    state.advance_commit(match)
    advance(leader)


def install_without_suffix(follower, snapshot):
    follower.state.log.reset(Snapshot(0, Term(0), snapshot.membership, b""))
    install(follower, snapshot)


persist, advance, install = ConsensusState.persist, Leader.advance, Follower._install
ask = Election._ask_pre_votes
change_membership = Leader._change_membership
ask_join = Follower.request_join_when_due

RULES: dict[str, tuple[Callable[[], bool], Callable[[], AbstractContextManager]]] = {
    "a vote survives a restart": (
        check_vote_survives_restart,
        lambda: patch.object(ConsensusState, "persist", persist_entries_only),
    ),
    "entries of earlier terms do not commit alone": (
        check_commit_needs_own_term,
        lambda: patch.object(Leader, "advance", commit_any_term),
    ),
    "entries after a snapshot are retained": (
        check_suffix_retained,
        lambda: patch.object(Follower, "_install", install_without_suffix),
    ),
    "no vote while a leader is active": (
        check_no_vote_while_led,
        lambda: patch.object(ConsensusState, "has_leader_contact", lambda state: False),
    ),
    "no wait if every voter has just started": (
        check_early_election,
        lambda: patch.object(ConsensusState, "is_newly_started", lambda state: False),
    ),
    "no vote for an outdated start id": (
        check_outdated_start_id,
        lambda: patch.object(Election, "may_vote", lambda election, message: True),
    ),
    "a newly started replica does not count itself": (
        check_no_own_pre_vote,
        lambda: patch.object(Election, "_ask_pre_votes", ask_pre_votes_counting_own),
    ),
    "a request to join is passed on to the leader once": (
        check_join_reaches_leader,
        lambda: patch.object(Follower, "forward_join", lambda *arguments: None),
    ),
    "a voter that was removed while cut off asks to join": (
        check_removed_voter_asks,
        lambda: patch.object(Follower, "request_join_when_due", ask_join_as_learner),
    ),
    "all that ask to join at once are taken in": (
        check_all_joiners_admitted,
        lambda: patch.object(
            Leader, "_change_membership", change_membership_and_forget
        ),
    ),
}


def check_rule(name: str, with_rule: bool = True) -> bool:
    """Return whether the check of a rule passes, with the rule or without it."""
    check, disable = RULES[name]
    if with_rule:
        return check()
    with disable():
        return check()
