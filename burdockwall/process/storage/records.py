"""The records of a store, and their encoding in its files."""

import struct
import zlib
from enum import Enum
from typing import NamedTuple

import msgspec

from burdockwall.errors import Code
from burdockwall.process.control.files import StorageError
from burdockwall.types import CustomerId, ProgramId, TurnId

FRAME = struct.Struct("<II")
MS_PER_S = 1000
# Memory of a record without its texts.
RECORD_OVERHEAD_BYTES = 600


class RecordKind(Enum):
    """The event of a turn that a record stores."""

    RESERVED = 0
    SETTLED = 1


class TurnKey(NamedTuple):
    """The key of a turn; callers choose the ids, which are unique per customer."""

    customer: CustomerId
    turn: TurnId


class RecordKey(msgspec.Struct, frozen=True, array_like=True):
    """The key of a record, the same in all stores."""

    kind: RecordKind
    customer: CustomerId
    turn: TurnId


class LedgerRecord(msgspec.Struct, frozen=True, array_like=True):
    """A reservation or settlement of a turn; records can be applied in any order."""

    kind: RecordKind
    customer: CustomerId
    program: ProgramId
    turn: TurnId
    tokens: int
    retention_ms: int
    whole: bool = False
    previous: TurnId | None = None
    prompt: bytes = b""
    answer: bytes = b""

    @property
    def key(self) -> RecordKey:
        """Return the key of the record."""
        return RecordKey(self.kind, self.customer, self.turn)

    def measure_bytes(self) -> int:
        """Estimate the memory of the record, in bytes."""
        return RECORD_OVERHEAD_BYTES + len(self.prompt) + len(self.answer)


class RecordPlace(msgspec.Struct, frozen=True):
    """Where a record is in the files: its segment, offset and size, in bytes."""

    segment: int
    offset: int
    size: int
    text_bytes: int


def drop_texts(record: LedgerRecord) -> LedgerRecord:
    """Return a record without its prompt and answer."""
    return msgspec.structs.replace(record, prompt=b"", answer=b"")


class StoreState(msgspec.Struct, frozen=True, array_like=True):
    """Whether a store had all earlier records when this was written to its log.

    `since` is the number of the view that added the store, or 0 before any has.
    """

    complete: bool
    since: int = 0


StoredRecord = LedgerRecord | StoreState
_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(LedgerRecord)
_state_decoder = msgspec.msgpack.Decoder(StoreState)
_STATE_MARK = b"s"
_RECORD_MARK = b"r"


def encode_stored(record: StoredRecord) -> bytes:
    """Encode a record with its length and checksum."""
    mark = _STATE_MARK if isinstance(record, StoreState) else _RECORD_MARK
    body = mark + _encoder.encode(record)
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def measure_stored_texts(record: StoredRecord) -> int:
    """Return the size of a record's prompt and answer, in bytes."""
    if isinstance(record, StoreState):
        return 0
    return len(record.prompt) + len(record.answer)


def list_sizes(data: bytes, length: int) -> list[int]:
    """List the sizes of the records in a part of data that was parsed."""
    sizes: list[int] = []
    offset = 0
    while offset < length:
        body_size, _ = FRAME.unpack_from(data, offset)
        sizes.append(FRAME.size + body_size)
        offset += sizes[-1]
    return sizes


def parse_one(data: bytes, name: str) -> LedgerRecord:
    """Parse the record that data consists of, or raise StorageError."""
    records, length = parse_stored(data, name)
    match records:
        case [LedgerRecord() as record] if length == len(data):
            return record
        case _:
            detail = f"{name}: a record that was read before is damaged"
            raise StorageError(Code.JOURNAL_DAMAGED, detail)


def parse_stored(data: bytes, name: str = "ledger") -> tuple[list[StoredRecord], int]:
    """Parse records up to the first damaged one; return them and their end offset.

    Raise StorageError if a record is sound, but can't be read; the name is the file's.
    """
    records: list[StoredRecord] = []
    offset = 0
    while offset + FRAME.size <= len(data):
        body = _read_body(data, offset)
        if body is None:
            break
        try:
            records.append(_decode_body(body))
        except Exception as error:
            detail = f"{name}: the record at byte {offset} can't be read: {error}"
            raise StorageError(Code.JOURNAL_DAMAGED, detail) from error
        offset += FRAME.size + len(body)
    return records, offset


def _read_body(data: bytes, offset: int) -> bytes | None:
    """Return the body of the record at an offset, or None if it is damaged."""
    size, checksum = FRAME.unpack_from(data, offset)
    start = offset + FRAME.size
    if not size or start + size > len(data):
        return None
    body = data[start : start + size]
    return body if zlib.crc32(body) == checksum else None


def _decode_body(body: bytes) -> StoredRecord:
    if body[:1] == _STATE_MARK:
        return _state_decoder.decode(body[1:])
    return _record_decoder.decode(body[1:])
