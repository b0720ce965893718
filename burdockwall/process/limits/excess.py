"""The tolerated excess above a limit, and its use while the owner is unreachable."""

import msgspec

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.settings import Settings
from burdockwall.types import CustomerId


class ToleratedExcess(msgspec.Struct, frozen=True):
    """The excess above rate and burst that operators allow in any window of time.

    It is a `share` of what rate and burst allow in the window, plus `requests`.
    """

    window_s: float = 5.0
    share: float = 0.0
    requests: float = 0.0

    def count_units(self, limit: Limit) -> float:
        """Return the tolerated excess above a limit, in units per window."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return self.share * allowed + self.requests * UNITS_PER_REQUEST


def create_excess(settings: Settings) -> ToleratedExcess:
    """Create the tolerated excess from the settings."""
    return ToleratedExcess(
        settings.limit_excess_window_s,
        settings.limit_excess_share,
        settings.limit_excess_requests,
    )


class _WindowSpend(msgspec.Struct):
    window_start: float
    requests: int = 0


class ExcessBudget(msgspec.Struct):
    """Admits a few requests while the owner of the rates does not answer.

    All instances together stay within the tolerated excess. Each gets an equal part of
    half of it, since any window overlaps at most two windows of this budget.
    """

    excess: ToleratedExcess
    _spent: dict[CustomerId, _WindowSpend] = msgspec.field(default_factory=dict)

    def take(
        self,
        customer: CustomerId,
        limit: Limit,
        instances: int,
        now: float,
        starts_program: bool = False,
    ) -> bool:
        """Admit one request, or return False if the budget is spent.

        Starts of programs leave half of it to programs under way.
        """
        spent = self._spent.get(customer)
        if spent is None or now - spent.window_start >= self.excess.window_s:
            spent = _WindowSpend(now)
            self._spent[customer] = spent
        allowed = count_instance_requests(self.excess, limit, instances)
        if starts_program:
            allowed /= 2
        if spent.requests + 1 > allowed:
            return False
        spent.requests += 1
        return True


def count_instance_requests(
    excess: ToleratedExcess, limit: Limit, instances: int
) -> float:
    """Return how many requests one instance may admit in a window without the owner."""
    return excess.count_units(limit) / UNITS_PER_REQUEST / 2 / max(1, instances)
