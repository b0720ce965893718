"""The records of a ledger, whose texts lie in the files once they are synced."""

from collections.abc import Callable

import msgspec

from burdockwall.process.storage.records import LedgerRecord, RecordPlace, drop_texts

ReadRecord = Callable[[RecordPlace], LedgerRecord]


class KeptRecord(msgspec.Struct, eq=False):
    """A record without its texts if it has a place in the files, else with them."""

    record: LedgerRecord
    text_bytes: int
    place: RecordPlace | None = None

    def release_texts(self, place: RecordPlace) -> int:
        """Drop the texts, which are in the files now; return their size."""
        self.place = place
        released = len(self.record.prompt) + len(self.record.answer)
        if released:
            self.record = drop_texts(self.record)
        return released

    def load(self, read: ReadRecord) -> LedgerRecord:
        """Return the record with its texts."""
        if self.place is None or not self.text_bytes:
            return self.record
        return read(self.place)


def keep_record(record: LedgerRecord) -> KeptRecord:
    """Keep a record that is in no file yet."""
    return KeptRecord(record, len(record.prompt) + len(record.answer))


def keep_recovered(record: LedgerRecord, place: RecordPlace | None) -> KeptRecord:
    """Keep a record of the files, without its texts if it has a place there."""
    kept = keep_record(record)
    if place is not None:
        kept.text_bytes = kept.text_bytes or place.text_bytes
        kept.release_texts(place)
    return kept


class UnsyncedRecords:
    """The records that are written and not synced, by their tickets."""

    def __init__(self) -> None:
        self._written: list[tuple[int, KeptRecord | None]] = []
        self.text_bytes = 0

    def add(self, ticket: int, kept: KeptRecord | None) -> None:
        """Add a record, or None for a state of the store."""
        self._written.append((ticket, kept))
        self.text_bytes += kept.text_bytes if kept is not None else 0

    def take(self, ticket: int) -> list[KeptRecord | None]:
        """Take what is synced with a ticket, in the order in which it was written."""
        count = 0
        while count < len(self._written) and self._written[count][0] <= ticket:
            count += 1
        synced = [kept for _, kept in self._written[:count]]
        del self._written[:count]
        self.text_bytes -= sum(kept.text_bytes for kept in synced if kept is not None)
        return synced
