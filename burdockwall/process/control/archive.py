"""Store all audit records in append-only files."""

from collections.abc import Iterable

import msgspec

from burdockwall.process.control.audit import CHAIN_START, AuditRecord, compute_chain
from burdockwall.process.control.files import Files

SEGMENT_PREFIX = "audit-"
DAMAGED_PREFIX = "damaged-"
SEGMENT_RECORDS = 10_000
_decoder = msgspec.json.Decoder(AuditRecord)


def name_segment(index: int) -> str:
    """Return the name of the file for the record with an index."""
    first = (index - 1) // SEGMENT_RECORDS * SEGMENT_RECORDS + 1
    return f"{SEGMENT_PREFIX}{first:012d}.jsonl"


class AuditArchive:
    """Append-only files of audit records in the order of their index."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.last_index = 0
        self.last_chain = CHAIN_START
        self._size = 0
        names = [name for name in files.list_names() if name.startswith(SEGMENT_PREFIX)]
        for name in reversed(names):
            if self._open_last(name):
                return

    def _open_last(self, name: str) -> bool:
        """Cut off a partly written record; return whether a record is left.

        A copy of the file is kept if more than that is cut off.
        """
        data = self.files.read(name)
        records, size = _parse_lines(data)
        if b"\n" in data[size:]:
            self._keep_copy(DAMAGED_PREFIX + name, data)
        if size != len(data):
            self.files.truncate(name, size)
            self.files.sync(name)
        if not records:
            return False
        self.last_index, self.last_chain = records[-1].index, records[-1].chain
        self._size = size
        return True

    def _keep_copy(self, name: str, data: bytes) -> None:
        self.files.truncate(name, 0)
        self.files.write(name, 0, data)
        self.files.sync(name)
        self.files.sync_folder()

    def store(self, records: Iterable[AuditRecord]) -> None:
        """Append and sync the records that continue the chain; skip all others."""
        lines: list[bytes] = []
        index, chain = self.last_index, self.last_chain
        for record in records:
            follows = record.index == index + 1
            if not follows or compute_chain(chain, record) != record.chain:
                continue
            if name_segment(record.index) != name_segment(max(1, index)):
                self._write(name_segment(index), lines)
                self._size, lines = 0, []
            index, chain = record.index, record.chain
            lines.append(msgspec.json.encode(record) + b"\n")
        if lines:
            self._write(name_segment(index), lines)
        self.last_index, self.last_chain = index, chain

    def _write(self, name: str, lines: list[bytes]) -> None:
        if not lines:
            return
        data = b"".join(lines)
        self.files.write(name, self._size, data)
        self.files.sync(name)
        self.files.sync_folder()
        self._size += len(data)

    def read(self, first: int, count: int) -> list[AuditRecord]:
        """Return records from an index on, oldest first."""
        result: list[AuditRecord] = []
        while len(result) < count and first <= self.last_index:
            records, _ = _parse_lines(self.files.read(name_segment(first)))
            following = [record for record in records if record.index >= first]
            result += following[: count - len(result)]
            if not following:
                break
            first = following[-1].index + 1
        return result


def _parse_lines(data: bytes) -> tuple[list[AuditRecord], int]:
    """Return the complete records and their size in bytes."""
    records: list[AuditRecord] = []
    size = 0
    for line in data.splitlines(keepends=True):
        if not line.endswith(b"\n"):
            break
        try:
            records.append(_decoder.decode(line))
        except msgspec.DecodeError:
            break
        size += len(line)
    return records, size
