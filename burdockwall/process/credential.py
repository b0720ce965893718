"""Read the token that an operator's request carries."""

import hmac

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.state import NO_CREDENTIAL
from burdockwall.settings import Settings
from burdockwall.types import KeyDigest
from burdockwall.version.keys import compute_digest

BEARER = "Bearer "


def read_credential(exchange: Exchange) -> KeyDigest:
    """Return the digest of the operator's token, if one was sent."""
    header = exchange.get_header(b"authorization") or ""
    if not header.startswith(BEARER):
        return NO_CREDENTIAL
    return compute_digest(header.removeprefix(BEARER))


def check_local_operator(settings: Settings, exchange: Exchange) -> None:
    """Refuse who does not hold the token of the instance's first operator.

    An instance whose settings name no operator admits everybody who reaches the port.
    """
    expected = settings.first_operator_digest
    if expected and not hmac.compare_digest(read_credential(exchange), expected):
        detail = "the token is not that of [operators] name"
        raise OperatorError(Code.OPERATOR_REFUSED, detail)
