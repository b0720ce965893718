"""Simulated loads on the fallback shares of instances."""

import bisect
import random
from collections.abc import Iterable

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.excess import ExcessBudget, ToleratedExcess
from burdockwall.process.limits.fallback import (
    FALLBACK_SILENCE_S,
    OWNER_WAIT_S,
    FallbackShares,
    LimitSplit,
)
from burdockwall.process.limits.gate import FALLBACK_WAIT_S
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.types import CustomerId

CUSTOMER = CustomerId("c")
STEP_S = 0.01
SILENCE_S = 1.7
EXCESS = ToleratedExcess(5.0, 0.1, 20.0)
SPLIT = LimitSplit(EXCESS)


def create_limit(rate: int, burst: int) -> Limit:
    """Create a limit of whole requests."""
    return Limit(rate * UNITS_PER_REQUEST, burst * UNITS_PER_REQUEST)


def find_fullest_window(times: list[float], window_s: float) -> int:
    """Return the largest number of times in any window; `times` is sorted."""
    return max(
        bisect.bisect_left(times, start + window_s) - index
        for index, start in enumerate(times)
    )


class CutOffInstances:
    """Instances that are cut off from an owner, which still serves the others.

    Callers overload the customer's rate from `overload_at` on, with all buckets full.
    """

    def __init__(
        self,
        limit: Limit,
        instances: int,
        cut: int,
        duration_s: float,
        overload_at: float = 10.0,
    ) -> None:
        self.limit = limit
        self.instances = instances
        self.cut = cut
        self.duration_s = duration_s
        self.cut_at = 10.0
        self.overload_at = overload_at

    def simulate(self) -> list[float]:
        """Return the times at which requests are admitted, as many as possible."""
        shares = [FallbackShares(SPLIT) for _ in range(self.cut)]
        for share in shares:
            # After its first use a share refills up to its burst.
            share.reserve(CUSTOMER, self.limit, self.instances, 0.0, 0.0)
        owner = SPLIT.reduce(self.limit, self.instances, 0)
        level, admitted = float(owner.burst), []
        for step in range(int((self.cut_at + self.duration_s + 5.0) / STEP_S)):
            now = step * STEP_S
            cut_off = self.cut_at + OWNER_WAIT_S <= now < self.cut_at + self.duration_s
            overloaded = now >= self.overload_at
            if cut_off and overloaded:
                for share in shares:
                    admitted += self._spend(share, now)
            reduced = (
                self.cut_at + FALLBACK_SILENCE_S <= now < self.cut_at + self.duration_s
            )
            owner = SPLIT.reduce(self.limit, self.instances, self.cut if reduced else 0)
            if cut_off and self.cut == self.instances:
                continue
            level = min(owner.burst, level + owner.rate_per_s * STEP_S)
            while overloaded and level >= UNITS_PER_REQUEST:
                level -= UNITS_PER_REQUEST
                admitted.append(now)
        return admitted

    def _spend(self, share: FallbackShares, now: float) -> list[float]:
        admitted = []
        while share.reserve(CUSTOMER, self.limit, self.instances, now, 0.0) is not None:
            admitted.append(now)
        return admitted


class SilentOwner:
    """Requests that arrive at random after the owner has become silent."""

    def __init__(self, limit: Limit, instances: int, rate: int) -> None:
        self.limit = limit
        self.instances = instances
        self.rate = rate

    def measure(self, seeds: Iterable[int], limit_s: float) -> float:
        """Return the share of requests admitted within `limit_s`, over all seeds."""
        waits = [wait for seed in seeds for wait in self._simulate(seed)]
        return sum(wait is not None and wait <= limit_s for wait in waits) / len(waits)

    def _simulate(self, seed: int) -> list[float | None]:
        generator = random.Random(seed)
        shares = [FallbackShares(SPLIT) for _ in range(self.instances)]
        budgets = [ExcessBudget(EXCESS) for _ in range(self.instances)]
        waits: list[float | None] = []
        now = 0.0
        while now < SILENCE_S:
            now += generator.expovariate(self.rate)
            index = generator.randrange(self.instances)
            waits.append(self._admit(shares[index], budgets[index], now))
        return waits

    def _admit(
        self, share: FallbackShares, budget: ExcessBudget, now: float
    ) -> float | None:
        # Until the owner counts as unreachable, each request waits for it.
        owner_wait_s = OWNER_WAIT_S if now < 2 * OWNER_WAIT_S else 0.0
        arguments = (CUSTOMER, self.limit, self.instances, now + owner_wait_s)
        if not SPLIT.get_total_share(self.limit, self.instances):
            return owner_wait_s if budget.take(*arguments) else None
        wait_s = share.reserve(*arguments, FALLBACK_WAIT_S)
        return None if wait_s is None else owner_wait_s + wait_s
