"""Limit the memory that a process uses for request bodies."""

from burdockwall.errors import Code, RequestRefused

RETRY_AFTER_S = 1.0


class ByteBudget:
    """Counts the bytes of the request bodies in memory, up to a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size_bytes: int) -> None:
        """Reserve bytes, or raise RequestRefused if the limit would be exceeded."""
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            detail = f"request bodies hold {self.reserved_bytes} bytes"
            raise RequestRefused(Code.OVERLOADED, detail, RETRY_AFTER_S)
        self.reserved_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= size_bytes
