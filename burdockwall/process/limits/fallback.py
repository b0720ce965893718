"""Let an instance that its customers' owner does not answer admit a part of each rate.

It answers the load that goes on while the owner of the rates is being replaced, or
can't be reached: the part is known beforehand, so that nobody is asked for it. An owner
that does not hear of an instance leaves that instance's part to it. What is admitted
twice until it notices stays within the excess that operators bear.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.excess import ToleratedExcess
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.types import CustomerId

# What an instance may admit at once of its part, in requests.
FALLBACK_BURST_REQUESTS = 1.5
# A larger part would be of no use to callers at their usual rates.
FALLBACK_SHARE_LIMIT = 0.8
# Least time until an owner that does not answer counts as unreachable.
OWNER_WAIT_S = 0.15
# An owner leaves the part to an instance that it has not heard of for this long.
FALLBACK_SILENCE_S = 1.3
# An instance that is gone may still admit requests, so it counts for this long.
COUNT_RETENTION_S = 20.0


@dataclass(frozen=True, slots=True)
class LimitSplit:
    """Split limits between their owner and the instances that it does not hear of."""

    excess: ToleratedExcess

    def get_fallback_share(self, limit: Limit, instances: int) -> float:
        """Return the share of a rate that all instances together hold.

        What cut-off instances admit until the owner leaves their parts to them is
        within the tolerated excess, even if all but one are cut off at a time. Where
        the instances are not known yet, and where the rate is small, there is no part.
        """
        if instances <= 0 or limit.rate_per_s <= 0:
            return 0.0
        at_once = instances * FALLBACK_BURST_REQUESTS * UNITS_PER_REQUEST
        borne = self.excess.count_units(limit) - at_once
        unnoticed = limit.rate_per_s * (FALLBACK_SILENCE_S - OWNER_WAIT_S)
        share = min(FALLBACK_SHARE_LIMIT, borne / unnoticed)
        small = share * limit.rate_per_s / instances < UNITS_PER_REQUEST
        return 0.0 if small else share

    def reduce(self, limit: Limit, instances: int, silent: int) -> Limit:
        """Return what is left of a limit for the instances that its owner hears of."""
        share = self.get_fallback_share(limit, instances)
        if silent <= 0 or not share:
            return limit
        left = 1.0 - share * min(silent, instances) / instances
        return Limit(limit.rate_per_s * left, int(limit.burst * left))


@dataclass(slots=True)
class InstanceCount:
    """Remember the highest count of instances of the last while."""

    count: Callable[[], int]
    clock: Callable[[], float]
    _samples: deque[tuple[float, int]] = field(default_factory=deque)

    def read(self) -> int:
        """Return how many instances may admit requests; 0 where none is known."""
        now, current = self.clock(), self.count()
        while self._samples and self._samples[-1][1] <= current:
            self._samples.pop()
        self._samples.append((now, current))
        while self._samples[0][0] < now - COUNT_RETENTION_S:
            self._samples.popleft()
        return self._samples[0][1]


@dataclass(slots=True)
class _FallbackBucket:
    """Hold what may be spent; below zero, requests wait for what comes in."""

    level: float
    at: float


class FallbackShares:
    """Spend this instance's part of each customer's rate."""

    def __init__(self, split: LimitSplit) -> None:
        self.split = split
        self._buckets: dict[CustomerId, _FallbackBucket] = {}

    def reserve(
        self,
        customer: CustomerId,
        limit: Limit,
        instances: int,
        now: float,
        limit_s: float,
    ) -> float | None:
        """Admit one request after the returned seconds, or None beyond the longest."""
        share = self.split.get_fallback_share(limit, instances)
        if not share:
            return None
        rate = share * limit.rate_per_s / instances
        bucket = self._refill(customer, rate, now)
        wait_s = max(0.0, (UNITS_PER_REQUEST - bucket.level) / rate)
        if wait_s > limit_s:
            return None
        bucket.level -= UNITS_PER_REQUEST
        return wait_s

    def _refill(self, customer: CustomerId, rate: float, now: float) -> _FallbackBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            # What was spent before a restart is unknown, so little is held at first.
            bucket = self._buckets[customer] = _FallbackBucket(UNITS_PER_REQUEST, now)
        incoming = max(0.0, now - bucket.at) * rate
        capacity = FALLBACK_BURST_REQUESTS * UNITS_PER_REQUEST
        bucket.level = min(capacity, bucket.level + incoming)
        bucket.at = now
        return bucket
