"""The grants and waiting requests of one customer on one instance."""

from collections import deque
from dataclasses import dataclass, field

from burdockwall.process.limits.events import Reason
from burdockwall.types import CallId, CustomerId, Incarnation, InstanceId


@dataclass(slots=True)
class ReceivedGrant:
    """Granted units, which may be spent until `expires_at` of this instance's clock."""

    owner: InstanceId
    epoch: Incarnation
    number: int
    units: int
    expires_at: float
    spent_at: float
    report_spend: bool


@dataclass(slots=True)
class WaitingRequest:
    """A request that waits for units.

    `demand` is the sequence number of the first demand that included the request, or
    0. `waits_for_start` lets it wait longer for an owner that is about to start.
    """

    call: CallId
    units: int
    expires_at: float
    demand: int = 0
    waits_for_start: bool = True


@dataclass(slots=True)
class Estimate:
    """Estimates the demand of the next horizon from the last two horizons."""

    horizon_s: float
    started_at: float
    previous: int = 0
    current: int = 0

    def record(self, units: int, now: float) -> None:
        """Count the units of a request."""
        self._roll(now)
        self.current += units

    def expect(self, now: float) -> int:
        """Return the units expected in the next horizon."""
        self._roll(now)
        return max(self.previous, self.current)

    def _roll(self, now: float) -> None:
        passed = now - self.started_at
        if passed < self.horizon_s:
            return
        self.previous = self.current if passed < 2 * self.horizon_s else 0
        self.current = 0
        self.started_at = now


@dataclass(slots=True)
class CustomerGrants:
    """Spends a customer's grants on its requests in order of arrival.

    `reported_need` is the need that the owner has recorded, from the latest demand or
    verdict and less the units granted since. `reported_at` is the time of the latest
    demand.
    """

    customer: CustomerId
    estimate: Estimate
    owner: InstanceId | None = None
    grants: list[ReceivedGrant] = field(default_factory=list)
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    used_at: float = 0.0
    reported_need: int = 0
    reported_at: float = float("-inf")
    wants_prefetch: bool = False
    prefetch_at: float = float("-inf")
    blocked_until: float = float("-inf")
    reason: Reason = Reason.RATE

    def count_units(self) -> int:
        """Count the units that can be spent now."""
        return sum(grant.units for grant in self.grants)

    def count_need(self) -> int:
        """Count the units that the waiting requests lack."""
        if not self.waiting:
            return 0
        waiting = sum(request.units for request in self.waiting)
        return max(0, waiting - self.count_units())

    def count_head(self) -> int:
        """Count the units that the first waiting request lacks."""
        return max(1, self.waiting[0].units - self.count_units())

    def expire(self, now: float) -> None:
        """Drop the expired grants."""
        if self.grants and self.grants[0].expires_at <= now:
            self.grants = [item for item in self.grants if item.expires_at > now]

    def add(self, grant: ReceivedGrant) -> None:
        """Add a grant; grants that expire first are spent first."""
        self.grants.append(grant)
        self.grants.sort(key=lambda item: item.expires_at)

    def spend(self, units: int, now: float) -> bool:
        """Spend units if enough are available, and return whether they were spent."""
        if self.count_units() < units:
            return False
        for grant in self.grants:
            part = min(units, grant.units)
            if part:
                grant.spent_at = now
            grant.units -= part
            units -= part
            if units == 0:
                break
        return True

    def remove_grants(
        self, expiring_before: float = float("inf")
    ) -> list[ReceivedGrant]:
        """Remove and return the spent grants, and those that expire before a time.

        By default all grants are removed.
        """
        removed = [
            grant
            for grant in self.grants
            if grant.units == 0 or grant.expires_at < expiring_before
        ]
        if removed:
            self.grants = [grant for grant in self.grants if grant not in removed]
        return removed
