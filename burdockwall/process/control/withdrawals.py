"""Store withdrawn keys permanently, in eight bytes each."""

import bisect
from array import array
from collections.abc import Iterable

from burdockwall.types import KeyDigest

PREFIX_BYTES = 8
PREFIX_HEX_DIGITS = 2 * PREFIX_BYTES


class WithdrawnKeys:
    """The first 64 bits of each withdrawn key's digest, sorted."""

    def __init__(self, items: Iterable[int] = ()) -> None:
        self._items = array("Q", sorted(set(items)))

    def __contains__(self, digest: KeyDigest) -> bool:
        item = int(digest[:PREFIX_HEX_DIGITS], 16)
        position = bisect.bisect_left(self._items, item)
        return position < len(self._items) and self._items[position] == item

    def add(self, digest: KeyDigest) -> None:
        """Add a digest."""
        if digest not in self:
            bisect.insort(self._items, int(digest[:PREFIX_HEX_DIGITS], 16))

    def merge(self, other: "WithdrawnKeys") -> "WithdrawnKeys":
        """Return the union of both sets."""
        return WithdrawnKeys([*self._items, *other._items])

    def encode(self) -> bytes:
        """Encode the set, eight bytes per key."""
        return b"".join(item.to_bytes(PREFIX_BYTES, "big") for item in self._items)


def decode_withdrawn(data: bytes) -> WithdrawnKeys:
    """Decode a set from WithdrawnKeys.encode()."""
    starts = range(0, len(data), PREFIX_BYTES)
    parts = (data[start : start + PREFIX_BYTES] for start in starts)
    return WithdrawnKeys(int.from_bytes(part, "big") for part in parts)


def is_digest(text: str) -> bool:
    """Return whether a text has the form of a key's digest."""
    return len(text) == 64 and all(letter in "0123456789abcdef" for letter in text)
