"""Write log lines to a file descriptor without ever blocking on its reader."""

import os
import select
from collections import deque
from collections.abc import Callable

import anyio

# A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
CHUNK_BYTES = 4096
LINES_LIMIT = 4096
# Ordinary lines accepted per second; further ones are dropped and counted.
ORDINARY_PER_S = 300.0
DRAIN_INTERVAL_S = 0.1
DRAIN_CHUNKS = 64
FINAL_DRAINS = 20


class LineSink:
    """Queues a limited number of lines; ordinary ones are the first to be dropped."""

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._allowance = ORDINARY_PER_S
        self._refilled_at = clock()

    def put(self, line: str, ordinary: bool) -> None:
        """Queue a line, or drop and count it."""
        full = len(self._lines) >= (LINES_LIMIT // 2 if ordinary else LINES_LIMIT)
        if full or (ordinary and not self._take_allowance()):
            self.dropped += 1
            return
        self._lines.append(line.encode(errors="replace") + b"\n")

    def _take_allowance(self) -> bool:
        now = self.clock()
        earned = (now - self._refilled_at) * ORDINARY_PER_S
        self._refilled_at = now
        self._allowance = min(ORDINARY_PER_S, self._allowance + earned)
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def drain(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        for _ in range(DRAIN_CHUNKS):
            chunk = self._take_chunk()
            if not chunk or not self._is_writable():
                self._partial = chunk
                return
            try:
                written = os.write(self.descriptor, chunk)
            except OSError:
                # The reader is gone or the disk is full; the process goes on without.
                self._drop(chunk)
                return
            self._partial = chunk[written:]

    def _drop(self, chunk: bytes) -> None:
        self.dropped += chunk.count(b"\n") + len(self._lines)
        self._partial = b""
        self._lines.clear()

    def _take_chunk(self) -> bytes:
        parts = [self._partial]
        size = len(self._partial)
        while self._lines and size < CHUNK_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        data = b"".join(parts)
        rest = data[CHUNK_BYTES:]
        if rest:
            self._lines.appendleft(rest)
        return data[:CHUNK_BYTES]

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))

    async def run(self) -> None:
        """Write queued lines at intervals."""
        while True:
            self.drain()
            await anyio.sleep(DRAIN_INTERVAL_S)

    def close(self) -> None:
        """Write the remaining lines, as far as the reader accepts them."""
        for _ in range(FINAL_DRAINS):
            self.drain()
            if not self._lines and not self._partial:
                return
