"""Retry-After times for callers above their customer's rate, spread at that rate.

When a customer exceeds its rate for some seconds and all refused callers retry at the
same time, most are refused again, and each caller retries only a few times. So each
refused caller gets a time of its own.
"""

import msgspec

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.types import CustomerId

# Bounds of the times.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 1.2


class RetryAfterTimes(msgspec.Struct):
    """Spaces the retries of each customer's refused callers at the customer's rate."""

    _latest: dict[CustomerId, float] = msgspec.field(default_factory=dict)

    def choose(
        self, customer: CustomerId, limit: Limit, instances: int, now: float
    ) -> float:
        """Return the number of seconds after which a refused caller should retry."""
        interval_s = max(1, instances) * UNITS_PER_REQUEST / limit.rate_per_s
        latest = self._latest.get(customer, float("-inf"))
        retry_at = max(now + RETRY_AFTER_MIN_S, latest + interval_s)
        retry_at = min(retry_at, now + RETRY_AFTER_MAX_S)
        self._latest[customer] = retry_at
        return retry_at - now
