"""Hold what one instance knows of one customer: its grants and its waiting requests."""

from collections import deque
from dataclasses import dataclass, field

from burdockwall.process.limits.events import Reason
from burdockwall.types import CallId, CustomerId, Incarnation, InstanceId


@dataclass(slots=True)
class ReceivedGrant:
    """Hold units that may be spent before a time of this instance's clock."""

    owner: InstanceId
    epoch: Incarnation
    number: int
    units: int
    expires_at: float
    spent_at: float
    report_spend: bool


@dataclass(slots=True)
class WaitingRequest:
    """Hold a request that lacks units.

    `asked` numbers the demand that told of it; `extends` lets it wait longer for an
    owner that is about to start.
    """

    call: CallId
    units: int
    expires_at: float
    demand: int = 0
    waits_for_start: bool = True


@dataclass(slots=True)
class Estimate:
    """Estimate the units spent in a horizon from the last two of them."""

    horizon_s: float
    started_at: float
    previous: int = 0
    current: int = 0

    def record(self, units: int, now: float) -> None:
        """Count units that a request asked for."""
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
    """Spend a customer's grants on its requests in the order of their arrival.

    `told` is the need that the owner knows of, `told_at` when it was told.
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
        """Count the units that may be spent now."""
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
        """Drop the grants that may no longer be spent."""
        if self.grants and self.grants[0].expires_at <= now:
            self.grants = [item for item in self.grants if item.expires_at > now]

    def add(self, grant: ReceivedGrant) -> None:
        """Hold a grant; those that lapse first are spent first."""
        self.grants.append(grant)
        self.grants.sort(key=lambda item: item.expires_at)

    def spend(self, units: int, now: float) -> bool:
        """Spend units if that many are held, and tell whether they were."""
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
        """Take out the grants that lapse before a time, and all spent ones."""
        taken = [
            grant
            for grant in self.grants
            if grant.units == 0 or grant.expires_at < expiring_before
        ]
        if taken:
            self.grants = [grant for grant in self.grants if grant not in taken]
        return taken
