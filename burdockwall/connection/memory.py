"""Bound the bytes of request bodies that a process holds at once."""

from burdockwall.errors import Code, RequestRefused

RETRY_AFTER_S = 1.0


class ByteBudget:
    """Count the bytes held and refuse more than a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def reserve(self, size_bytes: int) -> None:
        """Count bytes as held, or raise RequestRefused."""
        if self.held_bytes + size_bytes > self.limit_bytes:
            detail = f"request bodies hold {self.held_bytes} bytes"
            raise RequestRefused(Code.OVERLOADED, detail, RETRY_AFTER_S)
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Count bytes as no longer held."""
        self.held_bytes -= size_bytes
