"""Recognise equal requests, whatever their ids are."""

import hashlib

from burdockwall.types import CustomerId, Fingerprint

FINGERPRINT_BYTES = 16


def compute_fingerprint(
    customer: CustomerId, method: str, target: str, body: bytes
) -> Fingerprint:
    """Return the digest that requests of one caller with the same content share."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (customer, method, target):
        encoded = part.encode("latin-1", "replace")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    digest.update(body)
    return Fingerprint(digest.digest())
