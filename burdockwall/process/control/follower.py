"""Follow a leader: accept its entries and snapshots, and ask to join."""

import msgspec

from burdockwall.machine import Receive
from burdockwall.process.control.core import Core
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
    """Do the follower's part."""

    def __init__(self, core: Core, contacts: list[InstanceId]) -> None:
        self.core = core
        self.contacts = contacts
        self.incoming = IncomingSnapshot()
        self._join_due = 0.0

    def _answer(
        self,
        event: Receive,
        message: Append | SendSnapshot,
        success: bool,
        match: int,
    ) -> None:
        core = self.core
        answer = AnswerAppend(
            cluster=core.hard.cluster,
            source=core.me.voter,
            target=message.source,
            term=core.term,
            success=success,
            match=match,
            round=message.round,
        )
        core.send_synced(event.sender, answer)

    def _accept_leader(self, message: Append | SendSnapshot) -> None:
        core = self.core
        core.heard_at = core.now
        core.contacted = True
        core.reset_deadline()
        core.set_role(ReplicaRole.FOLLOWER, message.source)

    def take_append(self, event: Receive, message: Append) -> None:
        """Add a leader's entries if they follow what this log holds."""
        core = self.core
        if message.term < core.term:
            self._answer(event, message, False, 0)
            return
        self._accept_leader(message)
        hint = self._find_mismatch(message)
        if hint is not None:
            self._answer(event, message, False, hint)
            return
        lacking = self._find_lacking(message.entries)
        if lacking:
            core.persist(core.hard, lacking)
        match = message.previous_index + len(message.entries)
        core.advance_commit(min(message.commit, match))
        self._answer(event, message, True, match)

    def _find_mismatch(self, message: Append) -> int | None:
        """Return the highest index that may match, or None if all follows."""
        log, previous = self.core.log, message.previous_index
        if previous > log.last_index:
            return log.last_index
        if previous < log.base_index:
            # What is compacted was committed, so it matches.
            return None
        term = log.find_term(previous)
        if term == message.previous_term:
            return None
        first = previous
        while first > log.base_index + 1 and log.find_term(first - 1) == term:
            first -= 1
        return max(first - 1, self.core.commit)

    def _find_lacking(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Skip the entries that are held already, in the same term."""
        log = self.core.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            if log.find_term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def take_snapshot_part(self, event: Receive, message: SendSnapshot) -> None:
        """Assemble a snapshot and install it when it is whole."""
        core = self.core
        if message.term < core.term:
            self._answer(event, message, False, 0)
            return
        self._accept_leader(message)
        if message.index <= core.commit:
            self._answer(event, message, True, core.commit)
            return
        snapshot = self.incoming.take(message)
        if snapshot is not None:
            self._install(snapshot)
            self._answer(event, message, True, snapshot.index)
            return
        answer = AnswerSnapshot(
            cluster=core.hard.cluster,
            source=core.me.voter,
            target=message.source,
            term=core.term,
            index=message.index,
            received=self.incoming.received,
            round=message.round,
        )
        core.send(event.sender, answer)

    def _install(self, snapshot: Snapshot) -> None:
        core = self.core
        if core.log.find_term(snapshot.index) == snapshot.term:
            # Entries after it may have been counted by the leader: keep them.
            core.log.compact(snapshot.index)
        else:
            core.forget_durable(1)
            core.log.reset(snapshot)
        core.commit = core.applied = snapshot.index
        core.actions.append(RestoreState(snapshot))
        core.save_snapshot(snapshot)
        core.note_membership()

    def ask_to_join(self) -> None:
        """Ask the control instances to add this replica while none contacts it."""
        core = self.core
        silent = core.now - core.heard_at >= core.timing.election_timeout_s
        if core.is_voter() or core.now < self._join_due:
            return
        if core.hard.cluster and not silent:
            return
        self._join_due = core.now + core.timing.join_s
        member = msgspec.structs.replace(core.me, voting=False)
        for contact in self.contacts:
            if contact != core.me.instance:
                core.send(contact, AskJoin(member))
