"""Define the events that consensus takes and the actions that it asks for."""

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
    """Name what a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Recovered:
    """Hold what storage found when a replica started."""

    hard_state: HardState
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


# Events.


@dataclass(frozen=True, slots=True)
class Propose:
    """Ask the leader to append data; `call` names the answer."""

    call: CallId
    data: bytes


@dataclass(frozen=True, slots=True)
class AskRead:
    """Ask when the state may be read without missing an earlier change."""

    call: CallId


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Ask the leader to remove a replica."""

    call: CallId
    voter: VoterId


@dataclass(frozen=True, slots=True)
class Persisted:
    """Tell that every write up to a ticket is synced."""

    ticket: int


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """Tell that a write failed, after which storage can't be trusted."""


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Hand over a snapshot of the state as it was applied."""

    snapshot: Snapshot


# Actions.


@dataclass(frozen=True, slots=True)
class Persist:
    """Write a term, vote and entries; an entry replaces those from its index on."""

    ticket: int
    hard_state: HardState
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Write a snapshot, and a journal that holds only what follows it."""

    ticket: int
    snapshot: Snapshot
    hard_state: HardState
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Ask for a snapshot of the state as it is applied now."""


@dataclass(frozen=True, slots=True)
class RestoreState:
    """Replace the state by that of a snapshot from the leader."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply a committed entry; `call` waits for its outcome, if any does."""

    entry: Entry
    call: CallId | None


@dataclass(frozen=True, slots=True)
class CallRefused:
    """Tell that a call was not taken, since this replica can't."""

    call: CallId


@dataclass(frozen=True, slots=True)
class CallUnknown:
    """Tell that a proposal was taken but its fate is unknown here."""

    call: CallId


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Tell that the state may be read now."""

    call: CallId


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Tell the membership in force."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Tell role, term and leader, the last as far as it is known."""

    role: ReplicaRole
    term: Term
    leader: VoterId
