"""Admit requests within their customers' rates, whether or not the owner answers."""

from collections.abc import Awaitable, Callable
from enum import Enum

import anyio

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.excess import GraceBudget, ToleratedExcess
from burdockwall.process.limits.returning import ReturnTimes
from burdockwall.process.limits.standing import (
    InstanceCount,
    LimitSplit,
    StandingParts,
)
from burdockwall.types import CustomerId

# How long a request waits at most for what comes in of this instance's own part.
PART_WAIT_S = 0.5


class Admission(Enum):
    """Name by what a request was admitted."""

    UNLIMITED = "no rate"
    OWNER = "owner"
    PART = "part of this instance"
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
        self.grace = GraceBudget(excess)
        self.split = LimitSplit(excess)
        self.parts = StandingParts(self.split)
        self.instances = instances
        self.clock = clock
        self.returns = ReturnTimes()
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
        parted = self.split.get_part_share(limit, instances) > 0.0
        try:
            await self.ask_owner(customer)
            return Admission.OWNER
        except RequestRefused as error:
            if error.code is not Code.LIMIT_UNREACHABLE:
                raise self._say_when(customer, limit, instances, error) from error
            if parted and await self._admit_part(customer, limit, instances):
                return Admission.PART
            now = self.clock()
            if parted or not self.grace.take(customer, limit, instances, now):
                raise
            return Admission.EXCESS

    def _say_when(
        self,
        customer: CustomerId,
        limit: Limit,
        instances: int,
        error: RequestRefused,
    ) -> RequestRefused:
        now = self.clock()
        retry_s = self.returns.choose(customer, limit, instances, now)
        return RequestRefused(error.code, error.detail, retry_s)

    async def _admit_part(
        self, customer: CustomerId, limit: Limit, instances: int
    ) -> bool:
        now = self.clock()
        wait_s = self.parts.reserve(customer, limit, instances, now, PART_WAIT_S)
        if wait_s is None:
            return False
        await anyio.sleep(wait_s)
        return True
