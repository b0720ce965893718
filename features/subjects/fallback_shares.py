"""Play loads against the parts of a rate that instances admit by themselves."""

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
    """Count the most that any window holds; times are in order."""
    return max(
        bisect.bisect_left(times, start + window_s) - index
        for index, start in enumerate(times)
    )


class CutOffInstances:
    """Cut some instances off from an owner that goes on serving the others.

    Callers begin to press at `press_at`, when burst and parts are whole.
    """

    def __init__(
        self,
        limit: Limit,
        instances: int,
        cut: int,
        for_s: float,
        overload_at: float = 10.0,
    ) -> None:
        self.limit = limit
        self.instances = instances
        self.cut = cut
        self.for_s = for_s
        self.cut_at = 10.0
        self.overload_at = overload_at

    def simulate(self) -> list[float]:
        """Return when requests are admitted if all that may be is admitted."""
        parts = [FallbackShares(SPLIT) for _ in range(self.cut)]
        for part in parts:
            # Once used, a part fills up to what it may hold.
            part.reserve(CUSTOMER, self.limit, self.instances, 0.0, 0.0)
        owner = SPLIT.reduce(self.limit, self.instances, 0)
        level, admitted = float(owner.burst), []
        for step in range(int((self.cut_at + self.for_s + 5.0) / STEP_S)):
            now = step * STEP_S
            alone = self.cut_at + OWNER_WAIT_S <= now < self.cut_at + self.for_s
            overloads = now >= self.overload_at
            if alone and overloads:
                for part in parts:
                    admitted += self._spend(part, now)
            noticed = self.cut_at + FALLBACK_SILENCE_S <= now < self.cut_at + self.for_s
            owner = SPLIT.reduce(self.limit, self.instances, self.cut if noticed else 0)
            if alone and self.cut == self.instances:
                continue
            level = min(owner.burst, level + owner.rate_per_s * STEP_S)
            while overloads and level >= UNITS_PER_REQUEST:
                level -= UNITS_PER_REQUEST
                admitted.append(now)
        return admitted

    def _spend(self, part: FallbackShares, now: float) -> list[float]:
        admitted = []
        while part.reserve(CUSTOMER, self.limit, self.instances, now, 0.0) is not None:
            admitted.append(now)
        return admitted


class SilentOwner:
    """Let requests come at random after the owner has fallen silent."""

    def __init__(self, limit: Limit, instances: int, rate: int) -> None:
        self.limit = limit
        self.instances = instances
        self.rate = rate

    def measure(self, seeds: Iterable[int], limit_s: float) -> float:
        """Return the share of requests that are admitted in time, over all seeds."""
        waits = [wait for seed in seeds for wait in self._simulate(seed)]
        return sum(wait is not None and wait <= limit_s for wait in waits) / len(waits)

    def _simulate(self, seed: int) -> list[float | None]:
        chance = random.Random(seed)
        parts = [FallbackShares(SPLIT) for _ in range(self.instances)]
        graces = [ExcessBudget(EXCESS) for _ in range(self.instances)]
        waits: list[float | None] = []
        now = 0.0
        while now < SILENCE_S:
            now += chance.expovariate(self.rate)
            place = chance.randrange(self.instances)
            waits.append(self._admit(parts[place], graces[place], now))
        return waits

    def _admit(
        self, parts: FallbackShares, grace: ExcessBudget, now: float
    ) -> float | None:
        # Until the owner counts as unreachable, each request waits for it.
        waited = OWNER_WAIT_S if now < 2 * OWNER_WAIT_S else 0.0
        asked = (CUSTOMER, self.limit, self.instances, now + waited)
        if not SPLIT.get_fallback_share(self.limit, self.instances):
            return waited if grace.take(*asked) else None
        wait_s = parts.reserve(*asked, FALLBACK_WAIT_S)
        return None if wait_s is None else waited + wait_s
