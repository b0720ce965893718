"""Admission by customers' rates, with fallbacks while the owner does not answer."""

from collections.abc import Awaitable, Callable
from enum import Enum

import anyio
from msgspec.structs import replace

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.excess import ExcessBudget, ToleratedExcess
from burdockwall.process.limits.fallback import (
    FallbackShares,
    InstanceCount,
    LimitSplit,
)
from burdockwall.process.limits.kinds import ALONE, Kind, RateRequest
from burdockwall.process.limits.retry_after import RetryAfterTimes
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.types import CustomerId

# Longest wait of a request for the refill of this instance's fallback share.
FALLBACK_WAIT_S = 0.5
# The same for a request of a program under way. It is short enough that the owner is
# asked again soon after it answers.
FALLBACK_WAIT_IN_FLIGHT_S = 1.0
# Time after which a request of a program under way asks a silent owner again.
OWNER_RETRY_S = 0.1


class Admission(Enum):
    """What a request was admitted by."""

    UNLIMITED = "no rate"
    OWNER = "owner"
    FALLBACK = "part of this instance"
    EXCESS = "tolerated excess"


AskOwner = Callable[[CustomerId, RateRequest], Awaitable[None]]


class RateGate:
    """Admits requests by the owner's grants.

    While the owner is unreachable it uses this instance's fallback share or, where a
    rate is too small to have one, the tolerated excess. Requests of programs under way
    then wait until the owner answers again, and starts of programs don't wait.
    """

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
        """Install limits; customers without a limit are always admitted."""
        self.limits = limits

    async def admit(
        self, customer: CustomerId, request: RateRequest = ALONE
    ) -> Admission:
        """Wait until one request is admitted, or raise RequestRefused."""
        latest_at = self.clock() + request.wait_s
        while True:
            left_s = latest_at - self.clock()
            if request.kind is not Kind.ALONE:
                request = replace(request, wait_s=max(0.0, left_s))
            try:
                return await self._admit_once(customer, request)
            except RequestRefused as error:
                waits = request.kind is Kind.IN_FLIGHT and left_s > OWNER_RETRY_S
                if error.code is not Code.LIMIT_UNREACHABLE or not waits:
                    raise
            await anyio.sleep(OWNER_RETRY_S)

    async def _admit_once(
        self, customer: CustomerId, request: RateRequest
    ) -> Admission:
        limit = self.limits.get(customer)
        if limit is None:
            return Admission.UNLIMITED
        instances = self.instances.read()
        has_fallback = self.split.get_total_share(limit, instances) > 0.0
        try:
            await self.ask_owner(customer, request)
            return Admission.OWNER
        except RequestRefused as error:
            if error.code is Code.PROGRAMS_EXCEED_RATE:
                raise
            if error.code is not Code.LIMIT_UNREACHABLE:
                raise self._build_refusal(customer, limit, instances, error) from error
            if has_fallback and await self._admit_by_fallback(
                customer, limit, instances, get_fallback_wait_s(request)
            ):
                return Admission.FALLBACK
            now = self.clock()
            if has_fallback or not self.excess_budget.take(
                customer, limit, instances, now, request.kind is Kind.START
            ):
                raise
            return Admission.EXCESS

    def _build_refusal(
        self,
        customer: CustomerId,
        limit: Limit,
        instances: int,
        error: RequestRefused,
    ) -> RequestRefused:
        now = self.clock()
        retry_s = self.retry_after_times.choose(customer, limit, instances, now)
        rate = limit.rate_per_s / UNITS_PER_REQUEST
        burst = limit.burst / UNITS_PER_REQUEST
        detail = f"{error.detail} They are {rate:g} a second and {burst:g}."
        return RequestRefused(error.code, detail, retry_s)

    async def _admit_by_fallback(
        self, customer: CustomerId, limit: Limit, instances: int, max_wait_s: float
    ) -> bool:
        now = self.clock()
        wait_s = self.fallback_shares.reserve(
            customer, limit, instances, now, max_wait_s
        )
        if wait_s is None:
            return False
        await anyio.sleep(wait_s)
        return True


def get_fallback_wait_s(request: RateRequest) -> float:
    """Return how long a request may wait for this instance's fallback share."""
    match request.kind:
        case Kind.IN_FLIGHT:
            return FALLBACK_WAIT_IN_FLIGHT_S
        case Kind.ALONE:
            return FALLBACK_WAIT_S
        case Kind.START:
            return 0.0
