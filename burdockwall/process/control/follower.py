"""Accept entries and snapshots of a leader, and ask to join a cluster."""

import msgspec

from burdockwall.machine import Receive
from burdockwall.process.control.consensus_state import ConsensusState
from burdockwall.process.control.entries import Entry, Snapshot
from burdockwall.process.control.events import ReplicaRole, RestoreState
from burdockwall.process.control.messages import (
    AnswerAppend,
    AnswerSnapshot,
    Append,
    AskJoin,
    SendSnapshot,
)
from burdockwall.process.control.transfer import IncomingSnapshot
from burdockwall.types import InstanceId


class Follower:
    """The follower's part of consensus; `contacts` are asked to admit this replica."""

    def __init__(self, state: ConsensusState, contacts: list[InstanceId]) -> None:
        self.state = state
        self.contacts = contacts
        self.incoming = IncomingSnapshot()
        self._next_join_at = 0.0

    def _answer(
        self,
        event: Receive,
        message: Append | SendSnapshot,
        success: bool,
        match_index: int,
    ) -> None:
        state = self.state
        answer = AnswerAppend(
            cluster=state.hard_state.cluster,
            source=state.own_member.voter,
            target=message.source,
            term=state.term,
            success=success,
            match_index=match_index,
            round=message.round,
        )
        state.send_synced(event.sender, answer)

    def _accept_leader(self, message: Append | SendSnapshot) -> None:
        state = self.state
        state.leader_contact_at = state.now
        state.heard_from_leader = True
        state.reset_election_deadline()
        state.set_role(ReplicaRole.FOLLOWER, message.source)

    def handle_append(self, event: Receive, message: Append) -> None:
        """Append a leader's entries if the entry before them matches this log."""
        state = self.state
        if message.term < state.term:
            self._answer(event, message, False, 0)
            return
        self._accept_leader(message)
        hint = self._find_mismatch(message)
        if hint is not None:
            self._answer(event, message, False, hint)
            return
        missing = self._list_missing_entries(message.entries)
        if missing:
            state.persist(state.hard_state, missing)
        match = message.previous_index + len(message.entries)
        state.advance_commit(min(message.commit_index, match))
        self._answer(event, message, True, match)

    def _find_mismatch(self, message: Append) -> int | None:
        """Return the highest index that may match, or None if the logs match."""
        log, previous = self.state.log, message.previous_index
        if previous > log.last_index:
            return log.last_index
        if previous < log.base_index:
            # Compacted entries were committed, so they match.
            return None
        term = log.find_term(previous)
        if term == message.previous_term:
            return None
        first = previous
        while first > log.base_index + 1 and log.find_term(first - 1) == term:
            first -= 1
        return max(first - 1, self.state.commit_index)

    def _list_missing_entries(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Return the entries from the first that this log lacks or has in another term.

        Compacted entries count as present.
        """
        log = self.state.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            if log.find_term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def handle_snapshot_part(self, event: Receive, message: SendSnapshot) -> None:
        """Add a part of a snapshot and install the snapshot once it is complete."""
        state = self.state
        if message.term < state.term:
            self._answer(event, message, False, 0)
            return
        self._accept_leader(message)
        if message.index <= state.commit_index:
            self._answer(event, message, True, state.commit_index)
            return
        snapshot = self.incoming.add_part(message)
        if snapshot is not None:
            self._install(snapshot)
            self._answer(event, message, True, snapshot.index)
            return
        answer = AnswerSnapshot(
            cluster=state.hard_state.cluster,
            source=state.own_member.voter,
            target=message.source,
            term=state.term,
            index=message.index,
            received=self.incoming.received,
            round=message.round,
        )
        state.send(event.sender, answer)

    def _install(self, snapshot: Snapshot) -> None:
        state = self.state
        if state.log.find_term(snapshot.index) == snapshot.term:
            # Keep later entries, which the leader may have counted as replicated.
            state.log.compact(snapshot.index)
        else:
            state.lower_durable_index(1)
            state.log.reset(snapshot)
        state.commit_index = state.applied_index = snapshot.index
        state.actions.append(RestoreState(snapshot))
        state.save_snapshot(snapshot)
        state.report_membership()

    def forward_join(self, sender: InstanceId, message: AskJoin) -> None:
        """Pass a request to join on to the leader, whom the contacts may not include.

        What another replica has passed on is ignored, so that it does not circulate.
        """
        state = self.state
        leader = state.log.membership.find(state.leader)
        if leader is not None and sender == message.member.instance:
            state.send(leader.instance, message)

    def request_join_when_due(self) -> None:
        """Ask contacts and members to admit this replica while no leader contacts it.

        A voter asks too: it may have been removed while it was cut off.
        """
        state = self.state
        silent = state.now - state.leader_contact_at >= state.timing.election_timeout_s
        if state.now < self._next_join_at:
            return
        if state.hard_state.cluster and not silent:
            return
        self._next_join_at = state.now + state.timing.join_retry_s
        member = msgspec.structs.replace(state.own_member, voting=False)
        members = [item.instance for item in state.log.membership.members]
        for contact in dict.fromkeys([*self.contacts, *members]):
            if contact != state.own_member.instance:
                state.send(contact, AskJoin(member))
