"""Reader of the header in which a server reports its load."""

import re

from burdockwall.connection.exchange import Headers
from burdockwall.platform.names import SERVER_LOAD
from burdockwall.process.scheduling.balance import ReportedLoad

COUNT_PATTERN = re.compile(rb"\d{1,6}")
# Without a decimal point the time is a whole percentage of the usual one.
PACE_PATTERN = re.compile(rb"\d{1,5}(\.\d{1,6})?")
PERCENT = 100.0
# A report that is shown in the log is cut to this length.
SHOWN_CHARACTERS = 80


def read_load(headers: Headers) -> tuple[ReportedLoad | None, str | None]:
    """Return the reported load, or the text that can't be read; both may be None."""
    values = [value for name, value in headers if name == SERVER_LOAD]
    if not values:
        return None, None
    load = _parse_load(values[0]) if len(values) == 1 else None
    if load is not None:
        return load, None
    return None, b"; ".join(values)[:SHOWN_CHARACTERS].decode("latin-1")


def _parse_load(value: bytes) -> ReportedLoad | None:
    """Parse "running,waiting,slots" with, in later versions, the present pace."""
    figures = [item.strip() for item in value.split(b",")]
    if len(figures) not in (3, 4):
        return None
    if not all(COUNT_PATTERN.fullmatch(item) for item in figures[:3]):
        return None
    running, waiting, slots = (int(item) for item in figures[:3])
    if slots == 0:
        return None
    if len(figures) == 3:
        return ReportedLoad(running, waiting, slots)
    if not PACE_PATTERN.fullmatch(figures[3]):
        return None
    pace = float(figures[3]) / PERCENT
    # A pace of 0 would make the endpoint look infinitely fast.
    return ReportedLoad(running, waiting, slots, pace) if pace > 0 else None
