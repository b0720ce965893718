"""The journal of a store, which writes records to files and reads them back."""

import contextlib
import re
from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from burdockwall.process.control.files import Files
from burdockwall.process.storage.first_segment import FirstSegment
from burdockwall.process.storage.records import (
    LedgerRecord,
    RecordPlace,
    StoredRecord,
    drop_texts,
    encode_stored,
    list_sizes,
    measure_stored_texts,
    parse_one,
    parse_stored,
)

SEGMENT_PREFIX = "ledger-"
SEGMENT_DIGITS = 10
SEGMENT_BYTES = 4_194_304
_SEGMENT = re.compile(rf"{SEGMENT_PREFIX}[0-9]{{{SEGMENT_DIGITS}}}")


class _Segment(msgspec.Struct):
    number: int
    bytes: int = 0
    records: int = 0


class Recovery(msgspec.Struct, frozen=True):
    """The records read, and whether every file was present and intact.

    The records are without their texts, which stay at their `places`.
    """

    records: list[StoredRecord]
    whole: bool
    places: list[RecordPlace]


def name_segment(number: int) -> str:
    """Return the file name of a segment."""
    return f"{SEGMENT_PREFIX}{number:0{SEGMENT_DIGITS}}"


def _parse_number(name: str) -> int:
    return int(name.removeprefix(SEGMENT_PREFIX))


def _drop_any_texts(record: StoredRecord) -> StoredRecord:
    return drop_texts(record) if isinstance(record, LedgerRecord) else record


def _list_places(
    segment: int,
    offset: int,
    records: Iterable[StoredRecord],
    sizes: Iterable[int],
) -> list[RecordPlace]:
    places: list[RecordPlace] = []
    for record, size in zip(records, sizes, strict=True):
        text_bytes = measure_stored_texts(record)
        places.append(RecordPlace(segment, offset, size, text_bytes))
        offset += size
    return places


class LedgerJournal:
    """Appends records to segments, and removes segments whose records are released."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self._first = FirstSegment(files)
        self._segments: deque[_Segment] = deque()
        self._released = 0

    def recover(self) -> Recovery:
        """Read every record, and truncate each file at its first damaged record.

        An incomplete record at the end of the last file is usual after a crash, and the
        files still count as whole, also if the end of the last write is there and its
        beginning isn't. Raise StorageError if a record is sound but can't be read, as
        one of another build.
        """
        self._first.recover()
        names = self._list_needed()
        records: list[StoredRecord] = []
        places: list[RecordPlace] = []
        whole = self._starts_whole(names)
        for name in names:
            number = _parse_number(name)
            if self._segments and number != self._segments[-1].number + 1:
                whole = False
            data = self.files.read(name)
            parsed, length = parse_stored(data, name)
            # A file is closed when it is full, so that only the last one is shorter.
            if name != names[-1]:
                whole = whole and SEGMENT_BYTES <= length == len(data)
            if length < len(data):
                self.files.truncate(name, length)
                self.files.sync(name)
            sizes = list_sizes(data, length)
            places += _list_places(number, 0, parsed, sizes)
            records += map(_drop_any_texts, parsed)
            self._segments.append(_Segment(number, length, len(parsed)))
        if names:
            # A crash may have left the last file or its last write unsynced.
            self.files.sync(names[-1])
            self.files.sync_folder()
        if whole and names and not self._first.number:
            # On a full disk the number is stored before the next removal.
            with contextlib.suppress(OSError):
                self._first.store(self._segments[0].number)
        return Recovery(records, whole, places)

    def _list_needed(self) -> list[str]:
        """List the segments that are needed; remove those that have come back."""
        names = [name for name in self.files.list_names() if _SEGMENT.fullmatch(name)]
        needed = [name for name in names if _parse_number(name) >= self._first.number]
        for name in names[: len(names) - len(needed)]:
            self.files.remove(name)
        return needed

    def _starts_whole(self, names: Sequence[str]) -> bool:
        """Return whether the first segment that is needed is there, if it is known."""
        if not self._first.number:
            return True
        return bool(names) and _parse_number(names[0]) == self._first.number

    def write(self, records: Sequence[StoredRecord]) -> list[RecordPlace]:
        """Write records and sync them; return where they are."""
        encoded = [encode_stored(record) for record in records]
        data = b"".join(encoded)
        segment = self._open_segment()
        name = name_segment(segment.number)
        self.files.write(name, segment.bytes, data)
        self.files.sync(name)
        sizes = map(len, encoded)
        places = _list_places(segment.number, segment.bytes, records, sizes)
        segment.bytes += len(data)
        segment.records += len(records)
        return places

    @property
    def size_bytes(self) -> int:
        """Return what all files take."""
        return sum(segment.bytes for segment in list(self._segments))

    def read(self, place: RecordPlace) -> LedgerRecord:
        """Read a record with its texts; raise StorageError if it is damaged."""
        name = name_segment(place.segment)
        return parse_one(self.files.read_at(name, place.offset, place.size), name)

    def _open_segment(self) -> _Segment:
        if self._segments and self._segments[-1].bytes < SEGMENT_BYTES:
            return self._segments[-1]
        last = self._segments[-1].number if self._segments else 0
        number = max(last + 1, self._first.number)
        segment = _Segment(number)
        self.files.truncate(name_segment(number), 0)
        self.files.sync_folder()
        self._segments.append(segment)
        return segment

    def release(self, records: int) -> None:
        """Release the oldest records, whose files may be removed."""
        self._released += records

    def remove_released(self) -> None:
        """Remove the files whose records are all released; it may be tried again."""
        first = self._find_first_needed()
        if first > self._first.number:
            self._first.store(first)
        while self._segments and self._segments[0].number < first:
            self.files.remove(name_segment(self._segments[0].number))
            self._released -= self._segments.popleft().records

    def _find_first_needed(self) -> int:
        """Return the number of the first segment that is needed, or 0 without one."""
        released = self._released
        for segment in self._segments:
            released -= segment.records
            if released < 0 or segment is self._segments[-1]:
                return segment.number
        return 0
