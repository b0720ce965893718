"""Keep every audit record in files that are only ever appended to."""

from collections.abc import Iterable, Iterator

import msgspec

from burdockwall.process.control.audit import AuditRecord
from burdockwall.process.control.files import Files

PREFIX = "audit-"
SEGMENT_RECORDS = 10_000
_decoder = msgspec.json.Decoder(AuditRecord)


def name_segment(index: int) -> str:
    """Return the file that holds the record with an index."""
    first = (index - 1) // SEGMENT_RECORDS * SEGMENT_RECORDS + 1
    return f"{PREFIX}{first:012d}.jsonl"


class AuditArchive:
    """Append records before the state forgets them, and read them back."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.last_index = 0
        self._sizes: dict[str, int] = {}
        names = self._list_segments()
        if names:
            self._open_last(names[-1])

    def _list_segments(self) -> list[str]:
        return [name for name in self.files.list_names() if name.startswith(PREFIX)]

    def _open_last(self, name: str) -> None:
        data = self.files.read(name)
        # A crash may have torn the last line; the state still holds its record.
        whole = data[: data.rfind(b"\n") + 1]
        lines = whole.splitlines()
        while lines and not _is_record(lines[-1]):
            whole = whole[: -len(lines.pop()) - 1]
        if len(whole) != len(data):
            self.files.truncate(name, len(whole))
            self.files.sync(name)
        self._sizes[name] = len(whole)
        if lines:
            self.last_index = _decoder.decode(lines[-1]).index

    def store(self, records: Iterable[AuditRecord]) -> None:
        """Append and sync the records that are not here yet."""
        lines: dict[str, list[bytes]] = {}
        for record in records:
            if record.index > self.last_index:
                name = name_segment(record.index)
                lines.setdefault(name, []).append(msgspec.json.encode(record) + b"\n")
                self.last_index = record.index
        for name, parts in lines.items():
            data = b"".join(parts)
            offset = self._sizes.get(name, 0)
            self.files.write(name, offset, data)
            self.files.sync(name)
            self._sizes[name] = offset + len(data)
        if lines:
            self.files.sync_folder()

    def read(self, before: int) -> Iterator[AuditRecord]:
        """Return the records below an index, oldest first."""
        for name in self._list_segments():
            for line in self.files.read(name).splitlines():
                if not _is_record(line):
                    continue
                record = _decoder.decode(line)
                if record.index < before:
                    yield record


def _is_record(line: bytes) -> bool:
    try:
        _decoder.decode(line)
    except msgspec.DecodeError:
        return False
    return True
