"""Limits whose rate and burst are counted over a window."""

import bisect
from collections import defaultdict

from burdockwall.process.limits.allowance import WindowAllowance
from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.excess import ToleratedExcess
from burdockwall.process.limits.fallback import LimitSplit
from burdockwall.types import CustomerId
from features.subjects.limits import UNITS_PER_REQUEST, LimitNetwork
from features.subjects.limits_cases import CUSTOMER, CaseSubject
from features.subjects.limits_faults import FaultRun, draw_conditions, draw_limit

WINDOW_S = 5.0
INSTANCES = 64
EXCESS = ToleratedExcess(WINDOW_S, 0.1, 20.0)
ALLOWANCE = WindowAllowance(EXCESS, LimitSplit(EXCESS))


def enlarge(limit: Limit) -> Limit:
    """Enlarge a limit for a fleet in which no instance may admit by itself."""
    return ALLOWANCE.enlarge(limit, INSTANCES)


class WindowSubject(CaseSubject):
    """Limits of one customer, counted over a window."""

    def __init__(self, instances: int, rate: float, burst: int) -> None:
        super().__init__(instances, rate, burst)
        self.rate = rate
        limit = Limit(rate * UNITS_PER_REQUEST, burst * UNITS_PER_REQUEST)
        self.limits.change_limit(CUSTOMER, enlarge(limit))

    def load_groups(self, times: int, group: int, seconds: float) -> None:
        """Send groups of requests, each spread over the instances but the owner."""
        interval_s = group / (times * self.rate)
        for step in range(int(seconds / interval_s)):
            for index in range(group):
                number = 2 + (step + index) % (len(self.limits.names) - 1)
                self.ask_at(step * interval_s, number)

    def crash_owner(self, after_s: float, down_s: float) -> None:
        """Crash the owner of the time after which this happens, and start it again."""

        def crash() -> None:
            owner = self.find_owner()
            self.limits.crash(owner)
            self.network.schedule(down_s, lambda: self.limits.start(owner))

        self.network.schedule(after_s, crash)

    def find_fullest_window(self) -> int:
        """Return the most requests admitted in any window."""
        times = sorted(
            at for at, _, action in self.limits.verdicts if is_admitted(action)
        )
        return count_fullest(times)


def is_admitted(action: object) -> bool:
    """Return whether a verdict admits a request."""
    return type(action).__name__ == "Admitted"


def count_fullest(times: list[float]) -> int:
    """Return the most of the sorted times that lie in one window."""
    ends = [bisect.bisect_left(times, start + WINDOW_S) for start in times]
    return max((end - index for index, end in enumerate(ends)), default=0)


class WindowFaultRun(FaultRun):
    """Drawn faults of limits with enlarged bursts."""

    def draw_customers(self) -> dict[CustomerId, Limit]:
        limits = super().draw_customers()
        return {customer: enlarge(limit) for customer, limit in limits.items()}

    def change_limit(self) -> None:
        customer = self.random.choice(list(self.limits.limits))
        self.limits.change_limit(customer, enlarge(draw_limit(self.random)))


class CappedNetwork(LimitNetwork):
    """Keeps the admissions of each customer, in units."""

    def __init__(self, *arguments, **options) -> None:
        self.spends: dict[CustomerId, list[tuple[float, int]]] = defaultdict(list)
        super().__init__(*arguments, **options)

    def perform(self, instance, action, now):
        if is_admitted(action):
            self.spends[action.customer].append((now, action.units))
        super().perform(instance, action, now)

    @property
    def worst(self) -> float:
        """Return the least room left in any window of any customer, in units."""
        rooms = [
            limit.window.units - count_most_units(self.spends[customer])
            for customer, limit in self.limits.items()
            if limit.window is not None
        ]
        return min([0, *rooms])


def count_most_units(spends: list[tuple[float, int]]) -> int:
    """Return the most units spent in one window."""
    most = total = first = 0
    for at, units in spends:
        total += units
        while spends[first][0] <= at - WINDOW_S:
            total -= spends[first][1]
            first += 1
        most = max(most, total)
    return most


class MessageFaultRun(WindowFaultRun):
    """Faults that change neither the owner nor the limit."""

    def _break(self) -> None:
        self.network.conditions = draw_conditions(self.random)
        first, second = self.random.sample(self.limits.names, 2)
        if self.random.random() < 0.5:
            self.network.cut(first, second)
            self.network.schedule(self.random.uniform(0.05, 1.0), self._heal)
