"""Store the control state that an instance follows; its version never decreases."""

from collections.abc import Iterable
from typing import TypeVar

from burdockwall.process.control.changes import Change, ChangeLog, Document
from burdockwall.process.membership.messages import StateChanges, StateSnapshot
from burdockwall.types import CustomerId, DocumentName, KeyDigest, ShardId, Version
from burdockwall.version.shards import ShardView


class StateReplica:
    """Replica of the control state at one version, with its recent changes."""

    def __init__(self) -> None:
        self.version = Version(0)
        self.sections: dict[str, str] = {}
        self.keys: dict[KeyDigest, CustomerId] = {}
        self.shards: dict[ShardId, ShardView] = {}
        self.documents: dict[DocumentName, Document] = {}
        self.changes = ChangeLog()

    def install(self, update: StateChanges | StateSnapshot) -> bool:
        """Install an update if it is later and return whether it was."""
        match update:
            case StateChanges():
                return self.install_changes(update)
            case StateSnapshot():
                return self.install_snapshot(update)

    def install_snapshot(self, snapshot: StateSnapshot) -> bool:
        """Install a version if it is later and return whether it was."""
        if snapshot.version <= self.version:
            return False
        self.version = snapshot.version
        self.sections = dict(snapshot.sections)
        self.keys = dict(snapshot.keys)
        self.shards = {view.shard: view for view in snapshot.shards}
        self.documents = dict(snapshot.documents)
        self.changes.clear()
        return True

    def install_changes(self, message: StateChanges) -> bool:
        """Apply the changes after this version and return whether any were applied."""
        if message.since > self.version or message.version <= self.version:
            return False
        for change in message.changes:
            if change.version > self.version:
                self._apply(change)
        return True

    def _apply(self, change: Change) -> None:
        # Create new dictionaries, because users of the previous version still read
        # the old ones.
        if change.sections or change.removed_sections:
            self.sections = _merge(
                self.sections, change.sections, change.removed_sections
            )
        if change.keys or change.removed_keys:
            self.keys = _merge(self.keys, change.keys, change.removed_keys)
        if change.shards:
            later = {view.shard: view for view in change.shards}
            self.shards = _merge(self.shards, later, ())
        if change.documents:
            self.documents = _merge(self.documents, change.documents, ())
        self.version = change.version
        self.changes.append(change)

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return the changes of later versions, or None if they are not stored."""
        if version >= self.version:
            return []
        return self.changes.list_since(version)

    def take_snapshot(self) -> StateSnapshot:
        """Return the complete state at this version."""
        return StateSnapshot(
            self.version,
            self.sections,
            self.keys,
            list(self.shards.values()),
            self.documents,
        )


K = TypeVar("K")
V = TypeVar("V")


def _merge(old: dict[K, V], later: dict[K, V], removed: Iterable[K]) -> dict[K, V]:
    merged = old | later
    for key in removed:
        merged.pop(key, None)
    return merged
