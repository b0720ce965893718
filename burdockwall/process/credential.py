"""Operators' credentials: the bearer token of a request."""

import hmac

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.state import NO_CREDENTIAL
from burdockwall.settings import Settings
from burdockwall.types import KeyDigest
from burdockwall.version.keys import compute_digest

BEARER = "Bearer "


def read_credential(exchange: Exchange) -> KeyDigest:
    """Return the digest of the operator's token, or NO_CREDENTIAL without one."""
    header = exchange.get_header(b"authorization") or ""
    if not header.startswith(BEARER):
        return NO_CREDENTIAL
    return compute_digest(header.removeprefix(BEARER))


def check_local_operator(settings: Settings, exchange: Exchange) -> None:
    """Raise OperatorError unless the request has the first operator's token.

    An instance whose settings name no operator admits everyone who reaches the port.
    """
    expected = settings.first_operator_digest
    if expected and not hmac.compare_digest(read_credential(exchange), expected):
        detail = "the token is not that of [operators] name"
        raise OperatorError(Code.OPERATOR_REFUSED, detail)
