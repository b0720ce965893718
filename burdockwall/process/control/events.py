"""Define the events that consensus handles and the actions that it returns."""

from dataclasses import dataclass
from enum import Enum

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


@dataclass(frozen=True, slots=True)
class Recovered:
    """What storage recovered at the start of a replica."""

    hard_state: HardState
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    journal_bytes: int = 0


# Events.


@dataclass(frozen=True, slots=True)
class Propose:
    """Ask the leader to append data; `call` identifies the answer."""

    call: CallId
    data: bytes


@dataclass(frozen=True, slots=True)
class AskRead:
    """Ask for a linearizable read of the state; the answer is ReadReady."""

    call: CallId


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Ask the leader to remove a replica."""

    call: CallId
    voter: VoterId


@dataclass(frozen=True, slots=True)
class Persisted:
    """Every write up to a ticket is synced."""

    ticket: int


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """A write failed, so the content of the storage is unknown."""


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the applied state is ready."""

    snapshot: Snapshot


# Actions.


@dataclass(frozen=True, slots=True)
class Persist:
    """Write term, vote and entries; an entry replaces those from its index on."""

    ticket: int
    hard_state: HardState
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Write a snapshot, and a journal with only the entries after it."""

    ticket: int
    snapshot: Snapshot
    hard_state: HardState
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take a snapshot of the state as currently applied."""


@dataclass(frozen=True, slots=True)
class RestoreState:
    """Replace the state by a snapshot from the leader."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply a committed entry; `call`, if set, waits for its outcome."""

    entry: Entry
    call: CallId | None


@dataclass(frozen=True, slots=True)
class CallRefused:
    """A call had no effect, since this replica can't serve it."""

    call: CallId


@dataclass(frozen=True, slots=True)
class CallUnknown:
    """A proposal was appended, but whether it commits is unknown here."""

    call: CallId


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The state may be read now."""

    call: CallId


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The membership in effect has changed."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role or leader has changed; `leader` is empty if unknown."""

    role: ReplicaRole
    term: Term
    leader: VoterId
