"""Tell callers beyond their rate when to come back, one after another.

It answers the load of a customer that asks for more than its rate for some seconds: if
all came back at once most would be refused again, and each may come only a few times.
"""

from dataclasses import dataclass, field

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.types import CustomerId

# Callers come back no sooner, and are not kept away for longer.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 1.2


@dataclass(slots=True)
class RetryAfterTimes:
    """Give each refused caller of a customer a time of its own, as the rate allows."""

    _latest: dict[CustomerId, float] = field(default_factory=dict)

    def choose(
        self, customer: CustomerId, limit: Limit, instances: int, now: float
    ) -> float:
        """Return after how many seconds a refused caller should come back."""
        interval_s = max(1, instances) * UNITS_PER_REQUEST / limit.rate_per_s
        latest = self._latest.get(customer, float("-inf"))
        retry_at = max(now + RETRY_AFTER_MIN_S, latest + interval_s)
        retry_at = min(retry_at, now + RETRY_AFTER_MAX_S)
        self._latest[customer] = retry_at
        return retry_at - now
