"""Parser of the figures in which an endpoint reports its load."""

import re

from burdockwall.process.scheduling.balance import ReportedLoad

COUNT_PATTERN = re.compile(rb"\d{1,6}")
# Without a decimal point the time is a whole percentage of the usual one.
PACE_PATTERN = re.compile(rb"\d{1,5}(\.\d{1,6})?")
PERCENT = 100.0


def parse_figures(value: bytes) -> ReportedLoad | None:
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
