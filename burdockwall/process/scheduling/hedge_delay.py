"""Derive from recent answers how long to wait before trying another endpoint.

Made for many short repeatable requests of which some answers are lost: an answer that
takes much longer than all recent ones is taken for lost.
"""

from collections import deque

import msgspec

from burdockwall.types import RouteName

SAMPLES_LIMIT = 48
MIN_SAMPLES = 12
# An answer is taken for lost after this multiple of the longest recent answer time.
DELAY_FACTOR = 1.5
MIN_DELAY_S = 0.15


class HedgeDelay(msgspec.Struct):
    """The recent answer times of each route, and the delays that follow from them."""

    _times: dict[RouteName, deque[float]] = msgspec.field(default_factory=dict)

    def record(self, route: RouteName, seconds: float) -> None:
        """Record how long an answer took, or how long a timed-out one was awaited."""
        times = self._times.setdefault(route, deque(maxlen=SAMPLES_LIMIT))
        times.append(seconds)

    def compute_delay_s(self, route: RouteName) -> float | None:
        """Return how long to wait for an answer; None while there are few samples."""
        times = self._times.get(route)
        if times is None or len(times) < MIN_SAMPLES:
            return None
        return max(MIN_DELAY_S, DELAY_FACTOR * max(times))

    def drop_unconfigured(self, configured: set[RouteName]) -> None:
        """Drop the samples of routes that are no longer configured."""
        self._times = {
            name: times for name, times in self._times.items() if name in configured
        }
