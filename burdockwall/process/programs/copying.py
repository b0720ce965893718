"""Copy a shard in bounded chunks to a replica that has no copy.

Records are copied one by one while operations continue. Each record has the sequence
number of the last operation applied to it, and the receiver applies later ones.
"""

import msgspec

from burdockwall.process.programs.messages import CopyChunk, CopyPiece
from burdockwall.process.programs.operations import RecordKey
from burdockwall.process.programs.state import ShardState
from burdockwall.types import FencingNumber, ShardId

CHUNK_BYTES = 131_072
CHUNK_RESEND_S = 0.5
TOMBSTONES_PER_CHUNK = 8192


class CopySender(msgspec.Struct):
    """Splits one copy into chunks; each is sent after the previous is confirmed."""

    copy_id: int
    base: int
    keys: list[RecordKey]
    index: int = 0
    position: int = 0
    chunk: CopyChunk | None = None
    sent_at: float = 0.0
    done: bool = False
    _data: bytes | None = None
    _offset: int = 0
    _tombstone: int = 0

    def build_next(
        self,
        state: ShardState,
        shard: ShardId,
        number: FencingNumber,
        shard_time: float,
    ) -> CopyChunk:
        """Build the next chunk from the current records."""
        pieces: list[CopyPiece] = []
        room = CHUNK_BYTES
        while room > 0 and self.position < len(self.keys):
            piece = self._cut_piece(state, room)
            if piece is not None:
                pieces.append(piece)
                room -= len(piece.data)
        end = self._tombstone + TOMBSTONES_PER_CHUNK
        tombstones = state.tombstones[self._tombstone : end].tolist()
        # Tombstones that are added later reach the receiver with the operations that
        # add them. An insertion shifts the sorted array, so the next chunk repeats at
        # most as many tombstones as were added since the last one.
        self._tombstone += len(tombstones)
        rest = self._tombstone < len(state.tombstones)
        last = self.position >= len(self.keys) and not rest
        self.chunk = CopyChunk(
            shard,
            number,
            self.copy_id,
            self.index,
            self.base,
            shard_time,
            pieces,
            tombstones,
            last,
        )
        return self.chunk

    def _cut_piece(self, state: ShardState, room: int) -> CopyPiece | None:
        key = self.keys[self.position]
        if self._data is None:
            self._data = state.encode_record(key)
            self._offset = 0
        data = self._data
        if data is None:
            self.position += 1
            return None
        part = data[self._offset : self._offset + room]
        piece = CopyPiece(key, self._offset, len(data), part)
        self._offset += len(part)
        if self._offset >= len(data):
            self._data = None
            self.position += 1
        return piece

    def confirm(self, index: int) -> bool:
        """Record a confirmation and return whether to send the next chunk."""
        if self.chunk is None or index != self.index or self.done:
            return False
        if self.chunk.last:
            self.done = True
            return False
        self.index += 1
        return True


class CopyReceiver(msgspec.Struct):
    """Assembles the records of one copy from its chunks."""

    copy_id: int
    base: int
    index: int = -1
    incomplete: dict[RecordKey, bytearray] = msgspec.field(default_factory=dict)

    def receive(self, chunk: CopyChunk, state: ShardState) -> bool:
        """Store the records that a chunk completes; return whether it is the last."""
        if chunk.index != self.index + 1:
            return False
        self.index = chunk.index
        for digest in chunk.tombstones:
            state.add_tombstone(digest)
        for piece in chunk.pieces:
            part = self.incomplete.setdefault(piece.key, bytearray())
            part += piece.data
            if len(part) >= piece.total_bytes:
                del self.incomplete[piece.key]
                state.install_record(piece.key, bytes(part))
        return chunk.last


def create_copy(copy_id: int, base: int, state: ShardState) -> CopySender:
    """Start a copy of a shard's records after operation `base`."""
    return CopySender(copy_id, base, state.list_keys())
