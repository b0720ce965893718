"""Keep what each version changed, so that followers can be sent differences."""

from collections import deque
from collections.abc import Iterable

import msgspec

from burdockwall.types import CustomerId, DocumentName, KeyDigest, Version
from burdockwall.version.shards import ShardView

MAX_CHANGES = 1024
MAX_CHANGES_BYTES = 4_194_304
KEY_BYTES = 100


class Document(msgspec.Struct, frozen=True, array_like=True):
    """Hold what is kept under a name, and the number that its author gave it."""

    number: int
    data: bytes


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Describe what one version changed: sections, key digests, shards, documents."""

    version: Version
    sections: dict[str, str] = {}
    removed_sections: tuple[str, ...] = ()
    keys: dict[KeyDigest, CustomerId] = {}
    removed_keys: tuple[KeyDigest, ...] = ()
    shards: tuple[ShardView, ...] = ()
    documents: dict[DocumentName, Document] = {}

    def measure_bytes(self) -> int:
        """Estimate the memory that the change takes."""
        texts = sum(len(text) for text in self.sections.values())
        texts += sum(len(each.data) for each in self.documents.values())
        names = len(self.sections) + len(self.removed_sections)
        keys = len(self.keys) + len(self.removed_keys)
        return texts + (names + keys + len(self.shards) + 1) * KEY_BYTES


class ChangeLog:
    """Hold the changes of the latest versions within a bound of memory."""

    def __init__(self, changes: Iterable[Change] = ()) -> None:
        self._changes: deque[Change] = deque()
        self._bytes = 0
        for change in changes:
            self.append(change)

    def append(self, change: Change) -> None:
        """Add the change of the next version and forget the oldest."""
        self._changes.append(change)
        self._bytes += change.measure_bytes()
        while self._changes and (
            len(self._changes) > MAX_CHANGES or self._bytes > MAX_CHANGES_BYTES
        ):
            self._bytes -= self._changes.popleft().measure_bytes()

    def clear(self) -> None:
        """Forget every change."""
        self._changes.clear()
        self._bytes = 0

    def list_since(self, version: Version) -> list[Change] | None:
        """Return the changes after a version, or None where some are not kept."""
        kept = [change for change in self._changes if change.version > version]
        if not kept or kept[0].version != version + 1:
            return None
        return kept

    def list_all(self) -> list[Change]:
        """Return every change that is kept."""
        return list(self._changes)
