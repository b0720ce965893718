"""Define the messages that ask of records and replicate them."""

import msgspec

from burdockwall.machine import Message
from burdockwall.process.programs.calls import AnyAnswer, AnyCall
from burdockwall.process.programs.operations import AnyOperation, RecordKey
from burdockwall.types import FencingNumber, RequestId, ShardId
from burdockwall.version.shards import ShardView


class RecordCall(Message, frozen=True):
    """Ask the primary of a shard; `token` names the call for its answer."""

    token: RequestId
    shard: ShardId
    call: AnyCall


class RecordAnswer(Message, frozen=True):
    """Answer a call."""

    token: RequestId
    answer: AnyAnswer


class CallRevoked(Message, frozen=True):
    """Tell the owner of a running call that it was cancelled or superseded."""

    request: RequestId


class StartView(Message, frozen=True):
    """Announce a view and what its primary holds, applied and prepared."""

    view: ShardView
    has_shard: bool
    committed: int
    prepared: int


class ViewReport(Message, frozen=True):
    """Report what a replica has at the start of a view."""

    shard: ShardId
    number: FencingNumber
    has_shard: bool
    committed: int


class Prepare(Message, frozen=True):
    """Replicate one operation; those up to `committed` are on every replica."""

    shard: ShardId
    number: FencingNumber
    sequence: int
    committed: int
    prepared_at: float
    operation: AnyOperation


class Prepared(Message, frozen=True):
    """Confirm every operation up to one in a view."""

    shard: ShardId
    number: FencingNumber
    sequence: int
    committed: int


class Committed(Message, frozen=True):
    """Tell replicas up to which operation all have prepared."""

    shard: ShardId
    number: FencingNumber
    committed: int
    sent_at: float


class CopyPiece(msgspec.Struct, frozen=True, array_like=True):
    """Carry a part of one encoded record of `total_bytes`."""

    key: RecordKey
    offset: int
    total_bytes: int
    data: bytes


class CopyChunk(Message, frozen=True):
    """Copy a bounded part of a shard to a replica that lacks it.

    The copy holds every operation up to `base`, and may hold later ones.
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
