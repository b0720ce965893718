"""Create keys and compute their digests; nothing else ever holds a key."""

import hashlib
import secrets

from burdockwall.types import KeyDigest

KEY_BYTES = 24
KEY_PREFIX = "bw_"


def create_key() -> str:
    """Create a new random key, to be shown once."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def compute_digest(key: str) -> KeyDigest:
    """Compute the digest under which a key is stored."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())
