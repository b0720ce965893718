"""Admit requests within their customers' rates, whether or not the owner answers."""

from collections.abc import Awaitable, Callable
from enum import Enum

import anyio

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.excess import ExcessBudget, ToleratedExcess
from burdockwall.process.limits.fallback import (
    FallbackShares,
    InstanceCount,
    LimitSplit,
)
from burdockwall.process.limits.retry_after import RetryAfterTimes
from burdockwall.types import CustomerId

# How long a request waits at most for what comes in of this instance's own part.
FALLBACK_WAIT_S = 0.5


class Admission(Enum):
    """Name by what a request was admitted."""

    UNLIMITED = "no rate"
    OWNER = "owner"
    FALLBACK = "part of this instance"
    EXCESS = "tolerated excess"


AskOwner = Callable[[CustomerId], Awaitable[None]]


class RateGate:
    """Ask the owner, else try this instance's own part or the tolerated excess."""

    def __init__(
        self,
        ask_owner: AskOwner,
        excess: ToleratedExcess,
        instances: InstanceCount,
        clock: Callable[[], float],
    ) -> None:
        self.ask_owner = ask_owner
        self.excess_budget = ExcessBudget(excess)
        self.split = LimitSplit(excess)
        self.fallback_shares = FallbackShares(self.split)
        self.instances = instances
        self.clock = clock
        self.retry_after_times = RetryAfterTimes()
        self.limits: dict[CustomerId, Limit] = {}

    def install(self, limits: dict[CustomerId, Limit]) -> None:
        """Put limits in force; a customer without one is admitted."""
        self.limits = limits

    async def admit(self, customer: CustomerId) -> Admission:
        """Wait for one request's place, or raise RequestRefused."""
        limit = self.limits.get(customer)
        if limit is None:
            return Admission.UNLIMITED
        instances = self.instances.read()
        has_fallback = self.split.get_fallback_share(limit, instances) > 0.0
        try:
            await self.ask_owner(customer)
            return Admission.OWNER
        except RequestRefused as error:
            if error.code is not Code.LIMIT_UNREACHABLE:
                raise self._set_retry_after(
                    customer, limit, instances, error
                ) from error
            if has_fallback and await self._admit_by_fallback(
                customer, limit, instances
            ):
                return Admission.FALLBACK
            now = self.clock()
            if has_fallback or not self.excess_budget.take(
                customer, limit, instances, now
            ):
                raise
            return Admission.EXCESS

    def _set_retry_after(
        self,
        customer: CustomerId,
        limit: Limit,
        instances: int,
        error: RequestRefused,
    ) -> RequestRefused:
        now = self.clock()
        retry_s = self.retry_after_times.choose(customer, limit, instances, now)
        return RequestRefused(error.code, error.detail, retry_s)

    async def _admit_by_fallback(
        self, customer: CustomerId, limit: Limit, instances: int
    ) -> bool:
        now = self.clock()
        wait_s = self.fallback_shares.reserve(
            customer, limit, instances, now, FALLBACK_WAIT_S
        )
        if wait_s is None:
            return False
        await anyio.sleep(wait_s)
        return True
