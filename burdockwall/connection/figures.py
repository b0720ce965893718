"""Read the figures that headers of callers and endpoints hold.

Each is bounded, so that it can be added up, encoded for peers and stored.
"""

import re

from burdockwall.errors import Code, RequestRefused

# Up to a million million: tokens, or milliseconds of 31 years.
COUNT_PATTERN = re.compile(r"[0-9]{1,12}")
DECIMAL_PATTERN = re.compile(r"-?([0-9]{1,12}(\.[0-9]{0,20})?|\.[0-9]{1,20})")
SHOWN_CHARACTERS = 80


def read_count(text: str) -> int | None:
    """Return a whole number of 0 or more, or None if a text is none."""
    return int(text) if COUNT_PATTERN.fullmatch(text) else None


def read_decimal(text: str) -> float | None:
    """Return a decimal number, or None if a text is none."""
    return float(text) if DECIMAL_PATTERN.fullmatch(text) else None


def require_count(name: bytes, text: str) -> int:
    """Return a caller's whole number, or raise RequestRefused."""
    value = read_count(text)
    if value is None:
        raise build_refusal(name, text)
    return value


def require_decimal(name: bytes, text: str) -> float:
    """Return a caller's decimal number, or raise RequestRefused."""
    value = read_decimal(text)
    if value is None:
        raise build_refusal(name, text)
    return value


def build_refusal(name: bytes, text: str) -> RequestRefused:
    """Build the refusal of a caller's header, with the value cut short."""
    shown = text[:SHOWN_CHARACTERS]
    detail = f"header {name.decode()!r} is {shown!r}, not a number in range"
    return RequestRefused(Code.BAD_REQUEST, detail)
