"""Run consensus, its journal and the control state as one replica."""

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from burdockwall.machine import Receive, Send
from burdockwall.process.control.archive import AuditArchive
from burdockwall.process.control.commands import AnyCommand, Outcome
from burdockwall.process.control.consensus import Consensus
from burdockwall.process.control.entries import (
    Data,
    Entry,
    Membership,
    MembershipChange,
    Snapshot,
)
from burdockwall.process.control.events import (
    ApplyEntry,
    CallRefused,
    CallUnknown,
    MembershipChanged,
    Persist,
    Persisted,
    ReadReady,
    Recovered,
    RestoreState,
    RoleChanged,
    SaveSnapshot,
    SnapshotTaken,
    StorageFailed,
    TakeSnapshot,
)
from burdockwall.process.control.image import decode_image
from burdockwall.process.control.state import NO_CREDENTIAL, ControlState
from burdockwall.types import CallId, KeyDigest, Term


class TimestampedCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command with the leader's time of acceptance, in seconds since the epoch."""

    command: AnyCommand
    accepted_at: float
    credential: KeyDigest = NO_CREDENTIAL


class Flush(msgspec.Struct, frozen=True):
    """Write and sync the queued writes."""


class FlushRequested(msgspec.Struct, frozen=True):
    """Asks the shell for a Flush once the other pending events are handled.

    Several writes then share one sync.
    """


class CommandApplied(msgspec.Struct, frozen=True):
    """A command was applied to the state, with this outcome."""

    index: int
    term: Term
    timestamped: TimestampedCommand
    outcome: Outcome


class CallDone(msgspec.Struct, frozen=True):
    """The answer to a call; `outcome` is set if the call was a command."""

    call: CallId
    outcome: Outcome | None = None


class StateReplaced(msgspec.Struct, frozen=True):
    """The whole state was replaced by a snapshot."""


class Storage(Protocol):
    """Storage that persists the writes of consensus in order."""

    def append(self, action: Persist | SaveSnapshot) -> None:
        """Queue a write until the next flush."""
        ...

    def flush(self) -> int | None:
        """Write and sync all queued writes; return the last ticket, if any."""
        ...


class MemoryStorage:
    """Storage without files, for a single voter whose state ends with the process."""

    def __init__(self) -> None:
        self._ticket: int | None = None

    def append(self, action: Persist | SaveSnapshot) -> None:
        """Record the ticket of a write."""
        self._ticket = action.ticket

    def flush(self) -> int | None:
        """Return the last recorded ticket, if any."""
        ticket, self._ticket = self._ticket, None
        return ticket


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(TimestampedCommand)


def encode_command(
    command: AnyCommand, accepted_at: float, credential: KeyDigest = NO_CREDENTIAL
) -> bytes:
    """Encode a command as an entry's data."""
    return _encoder.encode(TimestampedCommand(command, accepted_at, credential))


class Replica:
    """Performs the actions of consensus, and returns those that concern others."""

    def __init__(
        self,
        consensus: Consensus,
        storage: Storage,
        state: ControlState,
        recovered: Recovered,
        archive: AuditArchive | None = None,
    ) -> None:
        self.consensus = consensus
        self.storage = storage
        self.state = state
        self.archive = archive
        self.report_write_failure: Callable[[OSError], None] = lambda error: None
        self.applied_index = 0
        self.applied_term = Term(0)
        self._membership = Membership()
        self._flush_requested = False
        self._archive_due = False
        self._actions: list[Any] = []
        self._events: deque[Any] = deque()
        if recovered.snapshot is not None:
            self._restore(recovered.snapshot)

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle an event and return the messages to send and the changes to report."""
        self._actions = []
        self._events.append(event)
        while self._events:
            event = self._events.popleft()
            if isinstance(event, Flush):
                self._flush()
                continue
            for action in self.consensus.handle(event, now):
                self._perform(action)
        return self._actions

    def _perform(self, action: Any) -> None:
        match action:
            case Send(to=to, message=message) if (
                to == self.consensus.state.own_member.instance
            ):
                self._events.append(Receive(to, message))
            case Persist() | SaveSnapshot():
                self.storage.append(action)
                if not self._flush_requested:
                    self._flush_requested = True
                    self._actions.append(FlushRequested())
            case ApplyEntry(entry=entry, call=call):
                self._apply(entry, call)
            case TakeSnapshot():
                self._events.append(SnapshotTaken(self._take_snapshot()))
            case RestoreState(snapshot=snapshot):
                self._restore(snapshot)
                self._actions.append(StateReplaced())
            case ReadReady(call=call):
                self._actions.append(CallDone(call))
            case Send() | CallRefused() | CallUnknown():
                self._actions.append(action)
            case MembershipChanged() | RoleChanged():
                self._actions.append(action)

    def _flush(self) -> None:
        self._flush_requested = False
        try:
            # Archive audit records before the snapshot of the state is written: the
            # state may drop old records later.
            if self.archive is not None and self._archive_due:
                self.archive.store(self.state.audit)
                self._archive_due = False
            ticket = self.storage.flush()
        except OSError as error:
            # After a failed sync the content of the disk is unknown.
            self.report_write_failure(error)
            self._events.append(StorageFailed())
            return
        if ticket is not None:
            self._events.append(Persisted(ticket))

    def _apply(self, entry: Entry, call: CallId | None) -> None:
        self.applied_index, self.applied_term = entry.index, entry.term
        outcome = None
        match entry.payload:
            case MembershipChange(membership=membership):
                self._membership = membership
            case Data(data=data):
                timestamped = _decoder.decode(data)
                outcome = self.state.apply(
                    timestamped.command,
                    timestamped.accepted_at,
                    timestamped.credential,
                )
                applied = CommandApplied(entry.index, entry.term, timestamped, outcome)
                self._actions.append(applied)
        if call is not None:
            self._actions.append(CallDone(call, outcome))

    def _take_snapshot(self) -> Snapshot:
        self._archive_due = True
        return Snapshot(
            self.applied_index,
            self.applied_term,
            self._membership,
            self.state.encode(),
        )

    def _restore(self, snapshot: Snapshot) -> None:
        self.applied_index, self.applied_term = snapshot.index, snapshot.term
        self._membership = snapshot.membership
        self.state.restore(decode_image(snapshot.data))
