"""Retry budgets in proportion to recent requests, and backoff with full jitter."""

import math
import random
from collections.abc import Callable

import anyio
import msgspec

from burdockwall.settings import Settings
from burdockwall.types import CustomerId, PoolName

RETENTION_WINDOWS = 8.0


class RetryPolicy(msgspec.Struct, frozen=True):
    """The parameters of retries; times are in seconds.

    `share` is the number of retries allowed per recent request, and `reserve` the
    number allowed per window without any requests.
    """

    share: float
    reserve: float
    window_s: float
    backoff_base_s: float
    backoff_limit_s: float


class _RecentCounts(msgspec.Struct):
    """Counts of requests and retries that decay exponentially over the window."""

    requests: float
    retries: float
    updated_at: float


class RetryBudget:
    """Counts recent requests and retries per pool and customer."""

    def __init__(self, policy: RetryPolicy) -> None:
        self.policy = policy
        self.refused = 0
        self._recent: dict[tuple[PoolName, CustomerId], _RecentCounts] = {}
        self._cleaned_at = 0.0

    def record_request(self, pool: PoolName, customer: CustomerId, now: float) -> None:
        """Count a first attempt."""
        self._get_recent(pool, customer, now).requests += 1.0

    def take_retry(self, pool: PoolName, customer: CustomerId, now: float) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        recent = self._get_recent(pool, customer, now)
        allowed = self.policy.share * recent.requests + self.policy.reserve
        if recent.retries + 1.0 > allowed:
            self.refused += 1
            return False
        recent.retries += 1.0
        return True

    def _get_recent(
        self, pool: PoolName, customer: CustomerId, now: float
    ) -> _RecentCounts:
        self._drop_idle(now)
        recent = self._recent.get((pool, customer))
        if recent is None:
            recent = self._recent[(pool, customer)] = _RecentCounts(0.0, 0.0, now)
        decay = math.exp(-max(0.0, now - recent.updated_at) / self.policy.window_s)
        recent.requests *= decay
        recent.retries *= decay
        recent.updated_at = max(recent.updated_at, now)
        return recent

    def _drop_idle(self, now: float) -> None:
        keep_s = RETENTION_WINDOWS * self.policy.window_s
        if now - self._cleaned_at < keep_s:
            return
        self._cleaned_at = now
        self._recent = {
            key: recent
            for key, recent in self._recent.items()
            if now - recent.updated_at < keep_s
        }


def create_retry_policy(settings: Settings) -> RetryPolicy:
    """Create the retry policy from the settings."""
    return RetryPolicy(
        settings.retry_share,
        settings.retry_reserve,
        settings.retry_window_s,
        settings.retry_backoff_base_s,
        settings.retry_backoff_limit_s,
    )


def compute_backoff_s(
    attempt: int,
    policy: RetryPolicy,
    generator: random.Random,
    retry_after_s: float | None = None,
) -> float:
    """Compute the wait before retry number `attempt`, from 1, with full jitter.

    The wait is never shorter than an endpoint's Retry-After: the jitter is added to it.
    """
    limit = min(policy.backoff_limit_s, policy.backoff_base_s * 2.0 ** (attempt - 1))
    return (retry_after_s or 0.0) + generator.uniform(0.0, limit)


class RetryGate:
    """Allows a retry if the budget permits it, and waits for its backoff."""

    def __init__(
        self,
        policy: RetryPolicy,
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        self.policy = policy
        self.clock = clock
        self.generator = generator
        self.budget = RetryBudget(policy)

    def record_request(self, pool: PoolName, customer: CustomerId) -> None:
        """Count a first attempt."""
        self.budget.record_request(pool, customer, self.clock())

    async def wait(
        self,
        pool: PoolName,
        customer: CustomerId,
        attempt: int,
        retry_after_s: float | None = None,
    ) -> bool:
        """Wait until retry number `attempt` is due, or return False if not allowed."""
        if not self.budget.take_retry(pool, customer, self.clock()):
            return False
        await anyio.sleep(
            compute_backoff_s(attempt, self.policy, self.generator, retry_after_s)
        )
        return True
