"""The room of a store: what its records take, and what begun turns will take.

Records take memory, and their texts only until they are in the files.
"""

import msgspec

from burdockwall.process.storage.records import (
    RECORD_OVERHEAD_BYTES,
    LedgerRecord,
    RecordKind,
    TurnKey,
)

# A turn ends sooner, or its caller has got an error.
RESERVATION_S = 60.0
# Turns with more than this part of the room together leave a rest for the others.
LARGE_PART = 1 / 32
LARGE_SUM_PART = 0.75


class _Reservation(msgspec.Struct, frozen=True):
    size_bytes: int
    expires_at: float


class StoreRoom:
    """Counts the bytes of records and of the prompts that begun turns will store.

    `filed_bytes` is what the files take, of which 0 is no limit.
    """

    def __init__(self, limit_bytes: int, disk_limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.disk_limit_bytes = disk_limit_bytes
        self.filed_bytes = 0
        self.stored_bytes = 0
        self.reserved_bytes = 0
        self._reserved: dict[TurnKey, _Reservation] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no more records fit."""
        return self.stored_bytes >= self.limit_bytes or not self._has_disk(0)

    def _has_disk(self, size_bytes: int) -> bool:
        """Return whether a size fits into the files beside what is reserved."""
        taken = self.filed_bytes + self.reserved_bytes + size_bytes
        return not self.disk_limit_bytes or taken < self.disk_limit_bytes

    def reserve(self, turn: TurnKey, prompt_bytes: int, now: float) -> bool:
        """Reserve room for a turn that begins; return whether there is any."""
        if turn in self._reserved:
            return True
        size_bytes = prompt_bytes + 2 * RECORD_OVERHEAD_BYTES
        limit = float(self.limit_bytes)
        if size_bytes > LARGE_PART * limit:
            limit *= LARGE_SUM_PART
        if self.stored_bytes + self.reserved_bytes + size_bytes > limit:
            return False
        if not self._has_disk(size_bytes):
            return False
        self._reserved[turn] = _Reservation(size_bytes, now + RESERVATION_S)
        self.reserved_bytes += size_bytes
        return True

    def has_reserved(self, turn: TurnKey) -> bool:
        """Return whether room is reserved for a turn."""
        return turn in self._reserved

    def add(self, record: LedgerRecord) -> None:
        """Count a record; a settled turn needs its reservation no more."""
        self.stored_bytes += record.measure_bytes()
        if record.kind is RecordKind.SETTLED:
            self._release(TurnKey(record.customer, record.turn))

    def release_texts(self, size_bytes: int) -> None:
        """Count the texts of a record no more, since they are in the files."""
        self.stored_bytes -= size_bytes

    def drop(self, record: LedgerRecord) -> None:
        """Count a record no more."""
        self.stored_bytes -= record.measure_bytes()

    def _release(self, turn: TurnKey) -> None:
        reservation = self._reserved.pop(turn, None)
        if reservation is not None:
            self.reserved_bytes -= reservation.size_bytes

    def expire(self, now: float) -> None:
        """Release the reservations of turns that never ended."""
        for turn, reservation in list(self._reserved.items()):
            if reservation.expires_at > now:
                return
            self._release(turn)
