"""The number of the first segment that a store needs, in a file of its own.

A removed file may come back after a power loss, and a missing one may be lost. The
number tells them apart: it is synced before any earlier segment is removed.
"""

import struct
import zlib

from burdockwall.process.control.files import Files

FIRST_SEGMENT_NAME = "first-segment"
# The two slots are written in turn, so that a torn write leaves the other one.
SLOT_BYTES = 512
_SLOT = struct.Struct("<QI")


def encode_slot(number: int) -> bytes:
    """Encode a number with its checksum."""
    body = struct.pack("<Q", number)
    return body + struct.pack("<I", zlib.crc32(body))


def parse_slots(data: bytes) -> list[int]:
    """Return the number in each slot, 0 for one that is empty or damaged."""
    numbers = []
    for offset in (0, SLOT_BYTES):
        slot = data[offset : offset + _SLOT.size]
        number = 0
        if len(slot) == _SLOT.size:
            stored, checksum = _SLOT.unpack(slot)
            number = stored if zlib.crc32(slot[:-4]) == checksum else 0
        numbers.append(number)
    return numbers


class FirstSegment:
    """Stores the number of the first segment that is needed, or 0 if it is unknown."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.number = 0
        self._slot = 0

    def recover(self) -> None:
        """Read the latest number; folders of earlier builds have none."""
        if FIRST_SEGMENT_NAME not in self.files.list_names():
            return
        numbers = parse_slots(self.files.read(FIRST_SEGMENT_NAME))
        self.number = max(numbers)
        # The earlier number is overwritten next.
        self._slot = numbers.index(min(numbers))

    def store(self, number: int) -> None:
        """Store and sync a number."""
        data = encode_slot(number)
        self.files.write(FIRST_SEGMENT_NAME, self._slot * SLOT_BYTES, data)
        self.files.sync(FIRST_SEGMENT_NAME)
        if not self.number:
            self.files.sync_folder()
        self.number = number
        self._slot = 1 - self._slot
