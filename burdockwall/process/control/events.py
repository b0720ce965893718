"""Define the events that consensus handles and the actions that it returns."""

from enum import Enum

import msgspec

from burdockwall.process.control.entries import (
    Entry,
    HardState,
    Membership,
    Snapshot,
    VoterId,
)
from burdockwall.types import CallId, Term


class ReplicaRole(Enum):
    """Role of a replica in its term; FAILED follows a failed write."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class Recovered(msgspec.Struct, frozen=True):
    """What storage recovered at the start of a replica."""

    hard_state: HardState
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    journal_bytes: int = 0


# Events.


class Propose(msgspec.Struct, frozen=True):
    """Ask the leader to append data; `call` identifies the answer."""

    call: CallId
    data: bytes


class AskRead(msgspec.Struct, frozen=True):
    """Ask for a linearizable read of the state; the answer is ReadReady."""

    call: CallId


class RemoveMember(msgspec.Struct, frozen=True):
    """Ask the leader to remove a replica."""

    call: CallId
    voter: VoterId


class Persisted(msgspec.Struct, frozen=True):
    """Every write up to a ticket is synced."""

    ticket: int


class StorageFailed(msgspec.Struct, frozen=True):
    """A write failed, so the content of the storage is unknown."""


class SnapshotTaken(msgspec.Struct, frozen=True):
    """A snapshot of the applied state is ready."""

    snapshot: Snapshot


# Actions.


class Persist(msgspec.Struct, frozen=True):
    """Write term, vote and entries; an entry replaces those from its index on."""

    ticket: int
    hard_state: HardState
    entries: tuple[Entry, ...] = ()


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Write a snapshot, and a journal with only the entries after it."""

    ticket: int
    snapshot: Snapshot
    hard_state: HardState
    entries: tuple[Entry, ...]


class TakeSnapshot(msgspec.Struct, frozen=True):
    """Take a snapshot of the state as currently applied."""


class RestoreState(msgspec.Struct, frozen=True):
    """Replace the state by a snapshot from the leader."""

    snapshot: Snapshot


class ApplyEntry(msgspec.Struct, frozen=True):
    """Apply a committed entry; `call`, if set, waits for its outcome."""

    entry: Entry
    call: CallId | None


class CallRefused(msgspec.Struct, frozen=True):
    """A call had no effect, since this replica can't serve it."""

    call: CallId


class CallUnknown(msgspec.Struct, frozen=True):
    """A proposal was appended, but whether it commits is unknown here."""

    call: CallId


class ReadReady(msgspec.Struct, frozen=True):
    """The state may be read now."""

    call: CallId


class MembershipChanged(msgspec.Struct, frozen=True):
    """The membership in effect has changed."""

    membership: Membership


class RoleChanged(msgspec.Struct, frozen=True):
    """The role or leader has changed; `leader` is empty if unknown."""

    role: ReplicaRole
    term: Term
    leader: VoterId
