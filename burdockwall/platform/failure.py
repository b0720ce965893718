"""Describe a failed call in the body of its answer."""

import msgspec

from burdockwall.errors import BurdockwallError


class _Failure(msgspec.Struct):
    code: int
    error: str


def encode_failure(error: BurdockwallError) -> bytes:
    """Encode the code and its detail for whoever reads the answer."""
    return msgspec.json.encode(_Failure(error.code.value.number, error.detail))
