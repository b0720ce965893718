"""Recognise equal requests, whatever their ids are."""

import hashlib
from collections.abc import AsyncIterator

from burdockwall.types import SOURCE_BYTES, CustomerId, Fingerprint

CONTENT_BYTES = 16


class FingerprintBuilder:
    """The digests that requests of one caller with the same content share.

    The first is of caller, method and target, and the second is of the body too.
    """

    def __init__(self, customer: CustomerId, method: str, target: str) -> None:
        source = hashlib.blake2b(digest_size=SOURCE_BYTES)
        for part in (customer, method, target):
            encoded = part.encode("latin-1", "replace")
            source.update(len(encoded).to_bytes(4, "big") + encoded)
        self._source = source.digest()
        self._digest = hashlib.blake2b(self._source, digest_size=CONTENT_BYTES)

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
        return Fingerprint(self._source + self._digest.digest())


def compute_fingerprint(
    customer: CustomerId, method: str, target: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a whole request."""
    builder = FingerprintBuilder(customer, method, target)
    builder.update(body)
    return builder.build()
