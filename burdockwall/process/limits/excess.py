"""Say what operators bear above a rate, and spend it while an owner is away."""

from dataclasses import dataclass, field

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.units import UNITS_PER_REQUEST
from burdockwall.settings import Settings
from burdockwall.types import CustomerId


@dataclass(frozen=True, slots=True)
class ToleratedExcess:
    """Say what the operators bear above rate and burst, over any window of time.

    `share` is of what rate and burst allow in the window, `requests` on top of it.
    """

    window_s: float = 5.0
    share: float = 0.0
    requests: float = 0.0

    def count_units(self, limit: Limit) -> float:
        """Return how much of a limit is borne on top of it, in units."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return self.share * allowed + self.requests * UNITS_PER_REQUEST


def create_excess(settings: Settings) -> ToleratedExcess:
    """Create the excess that the settings describe."""
    return ToleratedExcess(
        settings.limit_excess_window_s,
        settings.limit_excess_share,
        settings.limit_excess_requests,
    )


@dataclass(slots=True)
class _WindowSpend:
    window_start: float
    requests: int = 0


@dataclass(slots=True)
class ExcessBudget:
    """Admit a few requests while the owner of the rates does not answer.

    All instances together stay within the tolerated excess: each takes an equal part
    of half of it, so that two windows in a row stay within it too.
    """

    excess: ToleratedExcess
    _spent: dict[CustomerId, _WindowSpend] = field(default_factory=dict)

    def take(
        self, customer: CustomerId, limit: Limit, instances: int, now: float
    ) -> bool:
        """Admit one request, or tell that there is no grace left."""
        spent = self._spent.get(customer)
        if spent is None or now - spent.window_start >= self.excess.window_s:
            spent = _WindowSpend(now)
            self._spent[customer] = spent
        if spent.requests + 1 > self._count_instance_requests(limit, instances):
            return False
        spent.requests += 1
        return True

    def _count_instance_requests(self, limit: Limit, instances: int) -> float:
        excess = self.excess.count_units(limit) / UNITS_PER_REQUEST
        return excess / 2 / max(1, instances)
