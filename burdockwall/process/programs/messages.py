"""Define the messages that carry calls on records and replicate the records."""

import msgspec

from burdockwall.machine import Message
from burdockwall.process.programs.calls import AnyAnswer, AnyCall
from burdockwall.process.programs.operations import AnyOperation, RecordKey
from burdockwall.types import FencingNumber, RequestId, ShardId
from burdockwall.version.shards import ShardView


class RecordCall(Message, frozen=True):
    """Carry a call to the primary of a shard; the answer has the same token."""

    token: RequestId
    shard: ShardId
    call: AnyCall


class RecordAnswer(Message, frozen=True):
    """Carry the answer to a call."""

    token: RequestId
    answer: AnyAnswer


class CallRevoked(Message, frozen=True):
    """Tell the owner of a running call that the call was ended in its record.

    The call was superseded, its program ended, or its owner stopped renewing it.
    """

    request: RequestId


class StartView(Message, frozen=True):
    """Announce a view and the progress of its primary.

    `committed` and `prepared` are the last operations that the primary has applied
    and logged.
    """

    view: ShardView
    has_shard: bool
    committed: int
    prepared: int


class ViewReport(Message, frozen=True):
    """Report a replica's progress at the start of a view."""

    shard: ShardId
    number: FencingNumber
    has_shard: bool
    committed: int


class Prepare(Message, frozen=True):
    """Replicate one operation; all up to `committed` are on every replica."""

    shard: ShardId
    number: FencingNumber
    sequence: int
    committed: int
    prepared_at: float
    operation: AnyOperation


class Prepared(Message, frozen=True):
    """Confirm every operation up to `sequence` in a view."""

    shard: ShardId
    number: FencingNumber
    sequence: int
    committed: int


class Committed(Message, frozen=True):
    """Tell replicas that all of them have every operation up to `committed`."""

    shard: ShardId
    number: FencingNumber
    committed: int
    sent_at: float


class CopyPiece(msgspec.Struct, frozen=True, array_like=True):
    """A part of one encoded record of `total_bytes`."""

    key: RecordKey
    offset: int
    total_bytes: int
    data: bytes


class CopyChunk(Message, frozen=True):
    """Carry a bounded part of a shard to a replica that has no copy.

    The copy includes every operation up to `base`, and may include later ones.
    """

    shard: ShardId
    number: FencingNumber
    copy_id: int
    index: int
    base: int
    sent_at: float
    pieces: list[CopyPiece]
    tombstones: list[int]
    last: bool


class CopyChunkConfirmed(Message, frozen=True, tag="CopyTaken"):
    """Confirm a chunk of a copy."""

    shard: ShardId
    number: FencingNumber
    copy_id: int
    index: int


AnyRecordMessage = (
    RecordCall
    | RecordAnswer
    | CallRevoked
    | StartView
    | ViewReport
    | Prepare
    | Prepared
    | Committed
    | CopyChunk
    | CopyChunkConfirmed
)
