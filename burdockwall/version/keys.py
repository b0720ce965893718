"""Creation of keys and their digests; only the digest of a key is ever stored."""

import hashlib
import secrets

from burdockwall.types import KeyDigest

KEY_BYTES = 24
KEY_PREFIX = "bw_"


def create_key() -> str:
    """Create a new random key, which is shown only once."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def compute_digest(key: str) -> KeyDigest:
    """Compute the digest under which a key is stored."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())
