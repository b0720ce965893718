"""The body of the answer to a failed call."""

import msgspec

from burdockwall.errors import BurdockwallError


class _Failure(msgspec.Struct):
    code: int
    error: str


def encode_failure(error: BurdockwallError) -> bytes:
    """Encode the number of the error's code and its detail as the body of an answer."""
    return msgspec.json.encode(_Failure(error.code.value.number, error.detail))
