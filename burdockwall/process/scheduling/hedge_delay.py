"""Learn how long to wait for an answer that may be asked for elsewhere.

It answers the load of many short repeatable requests of which some answers are lost:
a lost one shows by taking much longer than the answers before it.
"""

from collections import deque
from dataclasses import dataclass, field

from burdockwall.types import RouteName

SAMPLES_LIMIT = 48
MIN_SAMPLES = 12
# An answer that takes this many times the longest of the latest ones is lost.
DELAY_FACTOR = 1.5
MIN_DELAY_S = 0.15


@dataclass(slots=True)
class HedgeDelay:
    """Keep the latest answer times of each route."""

    _times: dict[RouteName, deque[float]] = field(default_factory=dict)

    def record(self, route: RouteName, seconds: float) -> None:
        """Note how long an answer took, also one that was given up on."""
        times = self._times.setdefault(route, deque(maxlen=SAMPLES_LIMIT))
        times.append(seconds)

    def compute_delay_s(self, route: RouteName) -> float | None:
        """Return how long to wait for an answer; None while that is not known."""
        times = self._times.get(route)
        if times is None or len(times) < MIN_SAMPLES:
            return None
        return max(MIN_DELAY_S, DELAY_FACTOR * max(times))

    def forget(self, configured: set[RouteName]) -> None:
        """Forget the routes that a configuration no longer has."""
        self._times = {
            name: times for name, times in self._times.items() if name in configured
        }
