"""Recognise equal requests, whatever their ids are."""

import hashlib
from collections.abc import AsyncIterator

from burdockwall.types import CustomerId, Fingerprint

FINGERPRINT_BYTES = 16


class FingerprintBuilder:
    """The digest that requests of one caller with the same content share."""

    def __init__(self, customer: CustomerId, method: str, target: str) -> None:
        self._digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (customer, method, target):
            encoded = part.encode("latin-1", "replace")
            self._digest.update(len(encoded).to_bytes(4, "big") + encoded)

    def update(self, body: bytes) -> None:
        """Add bytes of the body."""
        self._digest.update(body)

    async def follow(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Add the chunks of a body as they are passed on."""
        async for chunk in chunks:
            self._digest.update(chunk)
            yield chunk

    def build(self) -> Fingerprint:
        """Return the fingerprint of what has been added so far."""
        return Fingerprint(self._digest.digest())


def compute_fingerprint(
    customer: CustomerId, method: str, target: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a whole request."""
    builder = FingerprintBuilder(customer, method, target)
    builder.update(body)
    return builder.build()
