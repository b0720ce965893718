"""Encode journal records, each with a checksum that covers all records before it."""

import struct
import zlib

import msgspec

from burdockwall.errors import Code
from burdockwall.process.control.entries import Base, Entry, HardState, Snapshot
from burdockwall.process.control.files import StorageError

FRAME = struct.Struct("<II")
MARK = struct.Struct("<QQQI")
MARK_SLOT_BYTES = 512
SNAPSHOT_HEAD = struct.Struct("<QI")

Record = Base | HardState | Entry
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


class Mark(msgspec.Struct, frozen=True):
    """States how many bytes of which journal file are synced."""

    sequence: int
    generation: int
    length: int


class ParsedRecords(msgspec.Struct, frozen=True):
    """The valid records of a journal, their length in bytes and last checksum."""

    records: list[Record]
    length: int
    checksum: int


def encode_record(record: Record, checksum: int) -> tuple[bytearray, int]:
    """Encode a record; return it and the checksum to continue with."""
    # Large records are copied as seldom as possible.
    data = bytearray(FRAME.size)
    _encoder.encode_into(record, data, FRAME.size)
    with memoryview(data)[FRAME.size :] as body:
        checksum = _continue_checksum(body, checksum)
        FRAME.pack_into(data, 0, len(body), checksum)
    return data, checksum


def _continue_checksum(body: memoryview, checksum: int) -> int:
    head = struct.pack("<I", len(body))
    return zlib.crc32(body, zlib.crc32(head, checksum))


def parse_records(
    data: bytes, generation: int, synced: int, name: str = "journal"
) -> ParsedRecords:
    """Parse a journal up to its first damaged record; the name is that of its file.

    Raise StorageError if that is within the synced length. Records after the synced
    length were never acknowledged, so they may be lost.
    """
    records: list[Record] = []
    view = memoryview(data)
    offset, checksum = 0, generation
    while offset + FRAME.size <= len(data):
        size, expected = FRAME.unpack_from(data, offset)
        body = view[offset + FRAME.size : offset + FRAME.size + size]
        computed = _continue_checksum(body, checksum)
        if len(body) != size or computed != expected or not size:
            break
        records.append(_decode_record(body, name, offset))
        offset += FRAME.size + size
        checksum = computed
    if offset < synced:
        detail = f"{name} is damaged at byte {offset} of {synced} synced"
        raise StorageError(Code.JOURNAL_DAMAGED, detail)
    return ParsedRecords(records, offset, checksum)


def _decode_record(body: memoryview, name: str, offset: int) -> Record:
    try:
        return _decoder.decode(body)
    except Exception as error:
        # Its checksum holds, so that another build has written it.
        detail = f"{name}: the record at byte {offset} can't be read: {error}"
        raise StorageError(Code.JOURNAL_DAMAGED, detail) from error


def encode_mark(mark: Mark) -> bytes:
    """Encode a mark with its checksum."""
    body = struct.pack("<QQQ", mark.sequence, mark.generation, mark.length)
    return body + struct.pack("<I", zlib.crc32(body))


def parse_marks(data: bytes, name: str = "journal.mark") -> Mark:
    """Return the latest valid mark of a file, or raise StorageError without one."""
    marks = []
    for offset in (0, MARK_SLOT_BYTES):
        slot = data[offset : offset + MARK.size]
        if len(slot) < MARK.size:
            continue
        sequence, generation, length, checksum = MARK.unpack(slot)
        if sequence and zlib.crc32(slot[: MARK.size - 4]) == checksum:
            marks.append(Mark(sequence, generation, length))
    if not marks:
        raise StorageError(Code.JOURNAL_DAMAGED, f"{name} holds no valid mark")
    return max(marks, key=lambda mark: mark.sequence)


def encode_snapshot(snapshot: Snapshot) -> bytearray:
    """Encode a snapshot with its length and checksum."""
    data = bytearray(SNAPSHOT_HEAD.size)
    _encoder.encode_into(snapshot, data, SNAPSHOT_HEAD.size)
    with memoryview(data)[SNAPSHOT_HEAD.size :] as body:
        SNAPSHOT_HEAD.pack_into(data, 0, len(body), zlib.crc32(body))
    return data


def parse_snapshot(data: bytes, name: str) -> Snapshot:
    """Decode a snapshot, or raise StorageError if it is damaged."""
    body = memoryview(data)[SNAPSHOT_HEAD.size :]
    damaged = StorageError(Code.SNAPSHOT_DAMAGED, f"{name} is damaged")
    if len(data) < SNAPSHOT_HEAD.size:
        raise damaged
    size, checksum = SNAPSHOT_HEAD.unpack_from(data)
    if len(body) != size or zlib.crc32(body) != checksum:
        raise damaged
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except Exception as error:
        detail = f"{name} can't be read: {error}"
        raise StorageError(Code.SNAPSHOT_DAMAGED, detail) from error
