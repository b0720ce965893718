"""What connections of both HTTP versions know of a request."""

import asyncio
import time
from email.utils import formatdate
from typing import Any
from urllib.parse import unquote

from burdockwall.connection.exchange import Headers

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
DISCONNECT = {"type": "http.disconnect"}
# A body in chunks counts as longer than any that is worth to be read and dropped.
UNKNOWN_BYTES = 1_000_000_000


class _Date:
    """The date header, which changes each second."""

    def __init__(self) -> None:
        self.second = 0
        self.line = (b"date", b"")

    def get_line(self) -> tuple[bytes, bytes]:
        now = int(time.time())
        if now != self.second:
            self.second = now
            self.line = (b"date", formatdate(now, usegmt=True).encode())
        return self.line


_date = _Date()


def get_date_line() -> tuple[bytes, bytes]:
    """Return the date header of an answer that is sent now."""
    return _date.get_line()


def build_scope(method: bytes, target: bytes, headers: Headers) -> dict[str, Any]:
    """Build what an exchange knows of a request."""
    path, _, query = target.partition(b"?")
    return {
        "type": "http",
        "method": method.decode("ascii"),
        "path": unquote(path.decode("ascii")),
        "raw_path": path,
        "query_string": query,
        "headers": headers,
    }


class RequestBody:
    """How much of a request's body has been read."""

    def __init__(self, announced_bytes: int) -> None:
        self.announced_bytes = announced_bytes
        self.read_bytes = 0
        self.ended = False
        # Whether some of it was waited for.
        self.asked_for = False

    @property
    def left_bytes(self) -> int:
        """Return how many bytes are still to come."""
        return 0 if self.ended else self.announced_bytes - self.read_bytes


def find_length(headers: Headers) -> int:
    """Return the announced length of a body; one in chunks counts as long."""
    for name, value in headers:
        if name == CONTENT_LENGTH:
            return int(value)
        if name == TRANSFER_ENCODING:
            return UNKNOWN_BYTES
    return 0


def wake(waiting: "asyncio.Future[None] | None") -> None:
    """Let who waits for something go on."""
    if waiting is not None and not waiting.done():
        waiting.set_result(None)
