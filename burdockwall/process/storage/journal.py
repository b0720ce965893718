"""The journal of a store, which writes records to files and reads them back."""

import re
from collections import deque
from collections.abc import Sequence

import msgspec

from burdockwall.process.control.files import Files
from burdockwall.process.storage.records import (
    StoredRecord,
    encode_stored,
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
    """The records read, and whether every file was present and intact."""

    records: list[StoredRecord]
    whole: bool


def name_segment(number: int) -> str:
    """Return the file name of a segment."""
    return f"{SEGMENT_PREFIX}{number:0{SEGMENT_DIGITS}}"


class LedgerJournal:
    """Appends records to segments, and removes segments whose records are released."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self._segments: deque[_Segment] = deque()
        self._released = 0

    def recover(self) -> Recovery:
        """Read every record, and truncate each file at its first damaged record.

        An incomplete record at the end of the last file is usual after a crash, and the
        files still count as whole, also if the end of the last write is there and its
        beginning isn't. Raise StorageError if a record is sound but can't be read, as
        one of another build.
        """
        names = [name for name in self.files.list_names() if _SEGMENT.fullmatch(name)]
        records: list[StoredRecord] = []
        whole = True
        for name in names:
            number = int(name.removeprefix(SEGMENT_PREFIX))
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
            records += parsed
            self._segments.append(_Segment(number, length, len(parsed)))
        return Recovery(records, whole)

    def write(self, records: Sequence[StoredRecord]) -> None:
        """Write records and sync them."""
        data = b"".join(encode_stored(record) for record in records)
        segment = self._open_segment()
        name = name_segment(segment.number)
        self.files.write(name, segment.bytes, data)
        self.files.sync(name)
        segment.bytes += len(data)
        segment.records += len(records)

    def _open_segment(self) -> _Segment:
        if self._segments and self._segments[-1].bytes < SEGMENT_BYTES:
            return self._segments[-1]
        number = self._segments[-1].number + 1 if self._segments else 1
        segment = _Segment(number)
        self.files.truncate(name_segment(number), 0)
        self.files.sync_folder()
        self._segments.append(segment)
        return segment

    def release(self, records: int) -> None:
        """Release the oldest records, whose files may be removed."""
        self._released += records
        while len(self._segments) > 1 and self._released >= self._segments[0].records:
            segment = self._segments.popleft()
            self._released -= segment.records
            self.files.remove(name_segment(segment.number))
