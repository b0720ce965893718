"""Queue the messages to one instance, bounded in number and bytes."""

from collections import deque
from typing import Any

import msgspec

MAX_MESSAGES = 4096
# Two entries of the log with the largest documents (4 MiB), and small messages.
MAX_BYTES = 9_437_184
# What a message takes beside its fields.
ITEM_BYTES = 32

_encoder = msgspec.msgpack.Encoder()


class MessageQueue:
    """Messages that wait to be sent; beyond the bounds the oldest ones are dropped.

    The latest message is always kept.
    """

    def __init__(self) -> None:
        self._waiting: deque[Any] = deque()
        # The sizes of the oldest messages; one that waits alone need not be measured.
        self._sizes: deque[int] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def append(self, message: Any) -> None:
        """Add a message and drop the oldest ones beyond the bounds."""
        self._waiting.append(message)
        if len(self._waiting) > 1:
            self._measure()
        while len(self._waiting) > MAX_MESSAGES or self._exceeds_bytes():
            self.popleft()

    def _measure(self) -> None:
        for position in range(len(self._sizes), len(self._waiting)):
            size = measure_bytes(self._waiting[position])
            self._sizes.append(size)
            self._bytes += size

    def _exceeds_bytes(self) -> bool:
        return self._bytes > MAX_BYTES and len(self._waiting) > 1

    def get_first(self) -> Any:
        """Return the oldest message."""
        return self._waiting[0]

    def measure_first(self) -> int:
        """Return the size of the oldest message, or 0 if it has waited alone."""
        return self._sizes[0] if self._sizes else 0

    def popleft(self) -> Any:
        """Remove and return the oldest message."""
        if self._sizes:
            self._bytes -= self._sizes.popleft()
        return self._waiting.popleft()


def measure_bytes(message: Any) -> int:
    """Measure a message as it is sent, in bytes."""
    try:
        return len(_encoder.encode(message)) + ITEM_BYTES
    except Exception:
        # It can't be sent and is left out of its batch.
        return ITEM_BYTES
