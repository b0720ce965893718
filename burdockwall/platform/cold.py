"""Conversion of the time that an endpoint stays cold."""

import math

MS_PER_S = 1000.0


def convert_cold_ms(value: bytes | None) -> float | None:
    """Convert milliseconds to seconds; None if there are none, NaN if unreadable."""
    text = (value or b"").strip()
    if not text or text == b"null":
        return None
    try:
        return float(text) / MS_PER_S
    except ValueError:
        return math.nan
