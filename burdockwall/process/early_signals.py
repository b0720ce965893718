"""Keep the signals that come while a process still starts or already ends.

Only modules that are loaded at once are imported here, so that this begins first.
"""

import signal
from types import FrameType

FOLLOWED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_kept: list[signal.Signals] = []


def keep_signals() -> None:
    """Keep the signals that a process follows, until it can."""
    for number in FOLLOWED:
        signal.signal(number, _keep)


def _keep(number: int, frame: FrameType | None) -> None:
    _kept.append(signal.Signals(number))


def take_kept() -> list[signal.Signals]:
    """Take the signals that were kept, the first ones first."""
    taken = _kept.copy()
    del _kept[: len(taken)]
    return taken
