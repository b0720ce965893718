"""Fallback shares: what an instance admits of each rate while the owner is silent.

Callers keep sending requests while the owner of the rates is replaced or unreachable.
Each instance then admits a fixed share of every rate, which it computes without asking
anyone. An owner that receives nothing from an instance reduces its own limits by the
share of that instance. What both admit until the owner does so stays within the
tolerated excess.
"""

from collections import deque
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.excess import ToleratedExcess
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.types import CustomerId

# Burst of an instance's fallback share, in requests.
FALLBACK_BURST_REQUESTS = 1.5
# A larger share would not help callers at their usual rates.
FALLBACK_SHARE_LIMIT = 0.8
# Minimum time after which an owner that does not answer counts as unreachable.
OWNER_WAIT_S = 0.15
# The owner reduces its limits by an instance's share after this long without a message.
FALLBACK_SILENCE_S = 1.3
# A departed instance counts for this long, since it may still admit requests.
COUNT_RETENTION_S = 20.0


class LimitSplit(msgspec.Struct, frozen=True):
    """Splits limits between their owner and the instances it has lost contact with."""

    excess: ToleratedExcess

    def get_total_share(self, limit: Limit, instances: int) -> float:
        """Return the fallback share of a rate of all instances together.

        It is small enough that what cut-off instances admit before the owner reduces
        its limits stays within the tolerated excess, even if all but one are cut off at
        the same time. It is 0 before the number of instances is known and for rates too
        small to split.
        """
        if instances <= 0 or limit.rate_per_s <= 0:
            return 0.0
        bursts = instances * FALLBACK_BURST_REQUESTS * UNITS_PER_REQUEST
        tolerated = self.excess.count_units(limit) - bursts
        overlap = limit.rate_per_s * (FALLBACK_SILENCE_S - OWNER_WAIT_S)
        share = min(FALLBACK_SHARE_LIMIT, tolerated / overlap)
        small = share * limit.rate_per_s / instances < UNITS_PER_REQUEST
        return 0.0 if small else share

    def reduce(self, limit: Limit, instances: int, silent: int) -> Limit:
        """Return the limit that the owner grants while some instances are silent."""
        share = self.get_total_share(limit, instances)
        if silent <= 0 or not share:
            return limit
        remaining = 1.0 - share * min(silent, instances) / instances
        return replace(
            limit,
            rate_per_s=limit.rate_per_s * remaining,
            burst=int(limit.burst * remaining),
        )


class InstanceCount(msgspec.Struct):
    """The highest number of instances within the last `COUNT_RETENTION_S`."""

    count: Callable[[], int]
    clock: Callable[[], float]
    _samples: deque[tuple[float, int]] = msgspec.field(default_factory=deque)

    def read(self) -> int:
        """Return how many instances may admit requests, or 0 if none is known."""
        now, current = self.clock(), self.count()
        while self._samples and self._samples[-1][1] <= current:
            self._samples.pop()
        self._samples.append((now, current))
        while self._samples[0][0] < now - COUNT_RETENTION_S:
            self._samples.popleft()
        return self._samples[0][1]


class _FallbackBucket(msgspec.Struct):
    """The units of a share; below zero, requests wait for the refill."""

    level: float
    refilled_at: float


class FallbackShares:
    """Spends this instance's fallback share of each customer's rate."""

    def __init__(self, split: LimitSplit) -> None:
        self.split = split
        self._buckets: dict[CustomerId, _FallbackBucket] = {}

    def reserve(
        self,
        customer: CustomerId,
        limit: Limit,
        instances: int,
        now: float,
        max_wait_s: float,
    ) -> float | None:
        """Reserve one request's units and return the seconds until they are due.

        Return None, and reserve nothing, if that is longer than `max_wait_s`.
        """
        share = self.split.get_total_share(limit, instances)
        if not share:
            return None
        rate = share * limit.rate_per_s / instances
        bucket = self._refill(customer, rate, now)
        wait_s = max(0.0, (UNITS_PER_REQUEST - bucket.level) / rate)
        if wait_s > max_wait_s:
            return None
        bucket.level -= UNITS_PER_REQUEST
        return wait_s

    def _refill(self, customer: CustomerId, rate: float, now: float) -> _FallbackBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            # What was spent before a restart is unknown, so the bucket starts with the
            # units of one request.
            bucket = self._buckets[customer] = _FallbackBucket(UNITS_PER_REQUEST, now)
        incoming = max(0.0, now - bucket.refilled_at) * rate
        capacity = FALLBACK_BURST_REQUESTS * UNITS_PER_REQUEST
        bucket.level = min(capacity, bucket.level + incoming)
        bucket.refilled_at = now
        return bucket
