"""Split a snapshot into parts for sending, and assemble a received one."""

import msgspec

from burdockwall.process.control.entries import Snapshot
from burdockwall.process.control.messages import SendSnapshot

PART_BYTES = 262_144


class OutgoingSnapshot(msgspec.Struct, frozen=True):
    """An encoded snapshot that is being sent to replicas."""

    index: int
    data: bytes

    def get_part(self, offset: int) -> bytes:
        """Return the part that begins at an offset."""
        return self.data[offset : offset + PART_BYTES]


def create_outgoing_snapshot(snapshot: Snapshot) -> OutgoingSnapshot:
    """Encode a snapshot for sending."""
    return OutgoingSnapshot(snapshot.index, msgspec.msgpack.encode(snapshot))


class IncomingSnapshot:
    """Assembles the parts of one snapshot at a time."""

    def __init__(self) -> None:
        self.index = 0
        self.total = 0
        self._parts = bytearray()

    @property
    def received(self) -> int:
        """Return how many bytes have arrived in order."""
        return len(self._parts)

    def add_part(self, message: SendSnapshot) -> Snapshot | None:
        """Add a part; return the snapshot once it is complete."""
        if (message.index, message.total) != (self.index, self.total):
            self.index, self.total = message.index, message.total
            self._parts.clear()
        if message.offset == len(self._parts):
            self._parts += message.part
        if len(self._parts) < self.total:
            return None
        snapshot = msgspec.msgpack.decode(self._parts, type=Snapshot)
        self.index = self.total = 0
        self._parts = bytearray()
        return snapshot
