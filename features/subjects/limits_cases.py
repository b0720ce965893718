"""Single cases of limits, without random faults."""

from collections import Counter

from burdockwall.fakes.network import NetworkConditions
from burdockwall.process.limits.events import Admitted, Limit, Reason, Refused
from burdockwall.types import CustomerId
from burdockwall.version.shards import find_customer_shard
from features.subjects.limits import UNITS_PER_REQUEST, LimitNetwork

CUSTOMER = CustomerId("association")


class CaseNetwork(LimitNetwork):
    """Records each verdict with its time and instance."""

    def __init__(self, *arguments, **options) -> None:
        self.verdicts: list[tuple] = []
        self.called_at: dict[int, float] = {}
        super().__init__(*arguments, **options)

    def perform(self, instance, action, now):
        if isinstance(action, Admitted | Refused):
            self.verdicts.append((now, instance, action))
            self.called_at[action.call] = self.requested[action.call][0]
        super().perform(instance, action, now)


class CaseSubject:
    def __init__(self, instances: int, rate: float, burst: int) -> None:
        limits = {CUSTOMER: Limit(rate * UNITS_PER_REQUEST, burst * UNITS_PER_REQUEST)}
        self.limits = CaseNetwork(1, instances, limits, NetworkConditions(0.001, 0.002))
        self.network = self.limits.network
        self.since = 0.0
        self.load = (0, 0.0)

    def find_owner(self):
        return self.limits.views[find_customer_shard(CUSTOMER)].primary

    def name(self, number: int):
        """Return the name of an instance by number; the owner is number 1."""
        owner = self.find_owner()
        others = [name for name in self.limits.names if name != owner]
        return [owner, *others][number - 1]

    def idle(self, seconds: float) -> None:
        self.network.run_until(self.network.now + seconds)

    def ask_at(self, delay_s: float, number: int, cost: int = 1) -> None:
        name = self.name(number)
        ask = self.limits.request
        self.network.schedule(
            delay_s, lambda: ask(name, CUSTOMER, cost * UNITS_PER_REQUEST)
        )

    def load_instance(self, number: int, rate: float, seconds: float, cost=1) -> None:
        self.load = (number, rate)
        for step in range(int(rate * seconds)):
            self.ask_at(step / rate, number, cost)

    def list_verdicts(self, number: int, kind: type) -> list:
        name = self.name(number)
        return [
            (at, action)
            for at, instance, action in self.limits.verdicts
            if instance == name and isinstance(action, kind) and at >= self.since
        ]

    def count_reasons(self, number: int) -> Counter[Reason]:
        refused = self.list_verdicts(number, Refused)
        return Counter(action.reason for _, action in refused)
