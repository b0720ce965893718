"""Store the entries of the replicated log after its compacted part."""

from collections.abc import Iterable

from burdockwall.process.control.entries import (
    Data,
    Entry,
    Membership,
    MembershipChange,
    Snapshot,
)
from burdockwall.types import Term

ENTRY_OVERHEAD_BYTES = 32


class ReplicatedLog:
    """Log entries by index, and the memberships that they set.

    The base is the index up to which entries are compacted into a snapshot.
    """

    def __init__(self, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        self.base_index = 0
        self.base_term = Term(0)
        self.entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = [(0, Membership())]
        if snapshot is not None:
            self.reset(snapshot)
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the entry that set the latest membership."""
        return self._memberships[-1][0]

    def find_membership(self, index: int) -> Membership:
        """Return the membership in effect after the entry at an index."""
        latest = self._memberships[0][1]
        for position, membership in self._memberships:
            if position <= index:
                latest = membership
        return latest

    def get_entry(self, index: int) -> Entry:
        """Return the entry at an index, which must be stored."""
        return self.entries[index - self.base_index - 1]

    def find_term(self, index: int) -> Term | None:
        """Return the term of the entry at an index, or None if it is not stored."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.get_entry(index).term
        return None

    def list_from(
        self, first: int, limit: int, limit_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Return entries from an index on, up to a count and a size.

        The first entry is returned even if it exceeds the size.
        """
        start = first - self.base_index - 1
        entries = self.entries[start : start + limit]
        if limit_bytes is None:
            return tuple(entries)
        size = 0
        for count, entry in enumerate(entries):
            size += measure_entry(entry)
            if count and size > limit_bytes:
                return tuple(entries[:count])
        return tuple(entries)

    def has_data(self) -> bool:
        """Return whether the log has had commands, in entries or a snapshot."""
        return self.base_index > 0 or any(
            isinstance(entry.payload, Data) for entry in self.entries
        )

    def find_retained(self, last: int, limit: int, limit_bytes: int) -> int:
        """Return the index after which entries up to `last` fit a count and a size."""
        index = last
        size = 0
        while index > max(self.base_index, last - limit):
            size += measure_entry(self.get_entry(index))
            if size > limit_bytes:
                break
            index -= 1
        return index

    def append(self, entry: Entry) -> None:
        """Append an entry, replacing all entries from its index on."""
        if entry.index <= self.last_index:
            self.truncate(entry.index)
        self.entries.append(entry)
        if isinstance(entry.payload, MembershipChange):
            self._memberships.append((entry.index, entry.payload.membership))

    def truncate(self, first: int) -> None:
        """Remove the entries from an index on."""
        del self.entries[max(0, first - self.base_index - 1) :]
        earlier = [item for item in self._memberships if item[0] < first]
        self._memberships = earlier

    def compact(self, index: int) -> None:
        """Remove the entries up to an index, which becomes the base."""
        term = self.find_term(index)
        if term is None or index <= self.base_index:
            return
        membership = self.find_membership(index)
        later = [item for item in self._memberships if item[0] > index]
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        self._memberships = [(index, membership), *later]

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.entries = []
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._memberships = [(snapshot.index, snapshot.membership)]


def measure_entry(entry: Entry) -> int:
    """Estimate the size of an encoded entry in bytes."""
    payload = entry.payload
    size = len(payload.data) if isinstance(payload, Data) else 0
    return size + ENTRY_OVERHEAD_BYTES


def measure_entries(entries: Iterable[Entry]) -> int:
    """Estimate the size of encoded entries in bytes."""
    return sum(measure_entry(entry) for entry in entries)
