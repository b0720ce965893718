"""Copy a shard in bounded chunks to a replica that lacks it.

Records are copied one after another while operations go on: every record names the
last operation that it holds, and the receiver applies the later ones.
"""

from dataclasses import dataclass, field

from burdockwall.process.programs.messages import CopyChunk, CopyPiece
from burdockwall.process.programs.operations import RecordKey
from burdockwall.process.programs.state import ShardState
from burdockwall.types import FencingNumber, ShardId

CHUNK_BYTES = 131_072
CHUNK_RESEND_S = 0.5
TOMBSTONES_PER_CHUNK = 8192


@dataclass(slots=True)
class CopySender:
    """Cut one copy into chunks; the next follows when the last is confirmed."""

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
        self, state: ShardState, shard: ShardId, number: FencingNumber, at: float
    ) -> CopyChunk:
        """Build the next chunk from the records as they are now."""
        pieces: list[CopyPiece] = []
        room = CHUNK_BYTES
        while room > 0 and self.position < len(self.keys):
            piece = self._cut_piece(state, room)
            if piece is not None:
                pieces.append(piece)
                room -= len(piece.data)
        end = self._tombstone + TOMBSTONES_PER_CHUNK
        tombstones = state.tombstones[self._tombstone : end].tolist()
        # Later tombstones come with the operations that make them; an insertion
        # shifts the array by at most what arrives between two chunks.
        self._tombstone += len(tombstones)
        rest = self._tombstone < len(state.tombstones)
        last = self.position >= len(self.keys) and not rest
        self.chunk = CopyChunk(
            shard,
            number,
            self.copy_id,
            self.index,
            self.base,
            at,
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
        """Take a confirmation; tell whether the next chunk is due."""
        if self.chunk is None or index != self.index or self.done:
            return False
        if self.chunk.last:
            self.done = True
            return False
        self.index += 1
        return True


@dataclass(slots=True)
class CopyReceiver:
    """Put the chunks of one copy together."""

    copy_id: int
    base: int
    index: int = -1
    incomplete: dict[RecordKey, bytearray] = field(default_factory=dict)

    def receive(self, chunk: CopyChunk, state: ShardState) -> bool:
        """Install what a chunk completes; tell whether the copy is whole."""
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
    """Create a copy of a shard as it is after operation `base`."""
    return CopySender(copy_id, base, state.list_keys())
