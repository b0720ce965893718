"""Define the interface through which membership reads the control state."""

from typing import Protocol

from burdockwall.process.control.changes import Change, Document
from burdockwall.process.control.state import ControlState
from burdockwall.process.membership.messages import StateSnapshot
from burdockwall.process.membership.timing import FIRST_TERM
from burdockwall.types import DocumentName, InstanceId, ShardId, Term, Version
from burdockwall.version.shards import ShardView


class ControlSource(Protocol):
    """Read access to the control state of a control instance."""

    @property
    def version(self) -> Version:
        """Return the latest version that is committed and applied."""
        ...

    @property
    def term(self) -> Term:
        """Return the latest term that this instance has seen."""
        ...

    @property
    def leader(self) -> InstanceId | None:
        """Return the leader of the term, or None if it is unknown."""
        ...

    def is_leader_confirmed(self, now: float) -> bool:
        """Return whether this instance leads and no other can have committed by now.

        True only at a leader that has contact with a quorum and has applied an entry
        of its own term, and therefore every entry of earlier terms.
        """
        ...

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return the changes of later versions, or None if they are not stored."""
        ...

    def take_snapshot(self) -> StateSnapshot:
        """Return the complete state at the latest version."""
        ...

    def get_shards(self) -> dict[ShardId, ShardView]:
        """Return the latest view of each shard."""
        ...

    def find_document(self, name: DocumentName) -> Document | None:
        """Return the latest document of a name that is committed and applied."""
        ...


class SoleSource:
    """Control state of a deployment with one control instance, which has no log."""

    def __init__(self, instance: InstanceId, state: ControlState) -> None:
        self.leader: InstanceId | None = instance
        self.state = state
        self.term = FIRST_TERM

    @property
    def version(self) -> Version:
        """Return the latest version."""
        return self.state.version

    def is_leader_confirmed(self, now: float) -> bool:
        """Return True, because the only control instance always leads."""
        return True

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return the changes of later versions, or None if they are not stored."""
        return self.state.changes_since(version)

    def take_snapshot(self) -> StateSnapshot:
        """Return the complete state at the latest version."""
        return take_snapshot(self.state)

    def get_shards(self) -> dict[ShardId, ShardView]:
        """Return the latest view of each shard."""
        return self.state.shards

    def find_document(self, name: DocumentName) -> Document | None:
        """Return the latest document of a name."""
        return self.state.documents.get(name)


def take_snapshot(state: ControlState) -> StateSnapshot:
    """Return the part of a control state that every instance follows."""
    return StateSnapshot(
        version=state.version,
        sections=dict(state.sections),
        keys=dict(state.keys),
        shards=list(state.shards.values()),
        documents=dict(state.documents),
    )
