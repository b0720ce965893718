"""Store what each version changed, to send other instances only the differences."""

from collections import deque
from collections.abc import Iterable

import msgspec

from burdockwall.types import CustomerId, DocumentName, KeyDigest, Version
from burdockwall.version.shards import ShardView

MAX_CHANGES = 1024
MAX_CHANGES_BYTES = 4_194_304
# Estimated memory of one name, key or shard view.
ITEM_BYTES = 100


class Document(msgspec.Struct, frozen=True, array_like=True):
    """The data stored under a name, and the number given by its author."""

    number: int
    data: bytes


class Change(msgspec.Struct, frozen=True, array_like=True):
    """What one version changed: sections, key digests, shards and documents."""

    version: Version
    sections: dict[str, str] = {}
    removed_sections: tuple[str, ...] = ()
    keys: dict[KeyDigest, CustomerId] = {}
    removed_keys: tuple[KeyDigest, ...] = ()
    shards: tuple[ShardView, ...] = ()
    documents: dict[DocumentName, Document] = {}

    def measure_bytes(self) -> int:
        """Estimate the memory used by the change."""
        texts = sum(len(text) for text in self.sections.values())
        texts += sum(len(each.data) for each in self.documents.values())
        names = len(self.sections) + len(self.removed_sections)
        keys = len(self.keys) + len(self.removed_keys)
        return texts + (names + keys + len(self.shards) + 1) * ITEM_BYTES


class ChangeLog:
    """The changes of the latest versions, bounded in number and memory."""

    def __init__(self, changes: Iterable[Change] = ()) -> None:
        self._changes: deque[Change] = deque()
        self._bytes = 0
        for change in changes:
            self.append(change)

    def append(self, change: Change) -> None:
        """Add the change of the next version and drop the oldest beyond the bounds."""
        size = change.measure_bytes()
        self._changes.append(change)
        self._bytes += size
        while self._changes and (
            len(self._changes) > MAX_CHANGES or self._bytes > MAX_CHANGES_BYTES
        ):
            self._bytes -= self._changes.popleft().measure_bytes()

    def clear(self) -> None:
        """Remove all changes."""
        self._changes.clear()
        self._bytes = 0

    def list_since(self, version: Version) -> list[Change] | None:
        """Return the changes after a version, or None if some are not stored."""
        later = [change for change in self._changes if change.version > version]
        if not later or later[0].version != version + 1:
            return None
        return later

    def list_all(self) -> list[Change]:
        """Return all stored changes."""
        return list(self._changes)
