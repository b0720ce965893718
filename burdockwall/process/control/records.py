"""Encode journal records, each with a checksum that covers all records before it."""

import struct
import zlib
from dataclasses import dataclass

import msgspec

from burdockwall.errors import Code
from burdockwall.process.control.entries import Base, Entry, HardState, Snapshot
from burdockwall.process.control.files import StorageError

FRAME = struct.Struct("<II")
MARK = struct.Struct("<QQQI")
MARK_SLOT_BYTES = 512
SNAPSHOT_HEAD = struct.Struct("<QI")

Record = Base | HardState | Entry
_decoder = msgspec.msgpack.Decoder(Record)


@dataclass(frozen=True, slots=True)
class Mark:
    """States how many bytes of which journal file are synced."""

    sequence: int
    generation: int
    length: int


@dataclass(frozen=True, slots=True)
class ParsedRecords:
    """The valid records of a journal, their length in bytes and last checksum."""

    records: list[Record]
    length: int
    checksum: int


def encode_record(record: Record, checksum: int) -> tuple[bytes, int]:
    """Encode a record; return it and the checksum to continue with."""
    body = msgspec.msgpack.encode(record)
    head = struct.pack("<I", len(body))
    checksum = zlib.crc32(head + body, checksum)
    return FRAME.pack(len(body), checksum) + body, checksum


def parse_records(data: bytes, generation: int, synced: int) -> ParsedRecords:
    """Parse a journal up to its first damaged record.

    Raise StorageError if that is within the synced length. Records after the synced
    length were never acknowledged, so they may be lost.
    """
    records: list[Record] = []
    offset, checksum = 0, generation
    while offset + FRAME.size <= len(data):
        size, expected = FRAME.unpack_from(data, offset)
        body = data[offset + FRAME.size : offset + FRAME.size + size]
        computed = zlib.crc32(struct.pack("<I", size) + body, checksum)
        if len(body) != size or computed != expected or not size:
            break
        records.append(_decoder.decode(body))
        offset += FRAME.size + size
        checksum = computed
    if offset < synced:
        detail = f"journal {generation} is damaged at byte {offset} of {synced} synced"
        raise StorageError(Code.JOURNAL_DAMAGED, detail)
    return ParsedRecords(records, offset, checksum)


def encode_mark(mark: Mark) -> bytes:
    """Encode a mark with its checksum."""
    body = struct.pack("<QQQ", mark.sequence, mark.generation, mark.length)
    return body + struct.pack("<I", zlib.crc32(body))


def parse_marks(data: bytes) -> Mark:
    """Return the latest valid mark, or raise StorageError if there is none."""
    marks = []
    for offset in (0, MARK_SLOT_BYTES):
        slot = data[offset : offset + MARK.size]
        if len(slot) < MARK.size:
            continue
        sequence, generation, length, checksum = MARK.unpack(slot)
        if sequence and zlib.crc32(slot[: MARK.size - 4]) == checksum:
            marks.append(Mark(sequence, generation, length))
    if not marks:
        raise StorageError(Code.JOURNAL_DAMAGED, "the journal's mark is damaged")
    return max(marks, key=lambda mark: mark.sequence)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot with its length and checksum."""
    body = msgspec.msgpack.encode(snapshot)
    return SNAPSHOT_HEAD.pack(len(body), zlib.crc32(body)) + body


def parse_snapshot(data: bytes, name: str) -> Snapshot:
    """Decode a snapshot, or raise StorageError if it is damaged."""
    body = data[SNAPSHOT_HEAD.size :]
    damaged = StorageError(Code.SNAPSHOT_DAMAGED, f"{name} is damaged")
    if len(data) < SNAPSHOT_HEAD.size:
        raise damaged
    size, checksum = SNAPSHOT_HEAD.unpack_from(data)
    if len(body) != size or zlib.crc32(body) != checksum:
        raise damaged
    return msgspec.msgpack.decode(body, type=Snapshot)
