"""Runs of limits through faults that are drawn from a seed."""

import random
from functools import partial

from burdockwall.fakes.network import NetworkConditions
from burdockwall.process.limits.events import Limit
from burdockwall.types import CustomerId
from features.subjects.limits import UNITS_PER_REQUEST, LimitNetwork
from features.subjects.seeds import SeedRuns

RUN_S = 8.0
FAULTS_FROM_S = 0.5
FAULTS_UNTIL_S = 7.0


def draw_limit(generator: random.Random) -> Limit:
    rate = generator.choice((3.0, 10.0, 40.0, 100.0))
    burst = generator.choice((1, 2, 5, 20, 60))
    return Limit(rate * UNITS_PER_REQUEST, burst * UNITS_PER_REQUEST)


def draw_conditions(generator: random.Random) -> NetworkConditions:
    slow = generator.choice((0.003, 0.003, 0.05, 0.4))
    return NetworkConditions(
        delay_min_s=0.001,
        delay_max_s=slow,
        loss_probability=generator.choice((0.0, 0.0, 0.05, 0.3)),
        duplicate_probability=generator.choice((0.0, 0.05, 0.3)),
    )


class FaultRun:
    """Requests from many instances and faults, all drawn from a seed."""

    def __init__(self, seed: int, network_class: type[LimitNetwork]) -> None:
        self.random = random.Random(f"faults-{seed}")
        customers = self.draw_customers()
        self.limits = network_class(
            seed,
            instances=self.random.randint(2, 6),
            customers=customers,
            conditions=self.draw_conditions(),
            clocks=True,
            idle_s=self.random.choice((0.2, 0.9)),
            horizon_s=self.random.choice((0.25, 1.0)),
            margin=self.random.choice((0.01, 0.01, 0.2)),
        )
        self.network = self.limits.network
        self.plan(customers)

    def draw_customers(self) -> dict[CustomerId, Limit]:
        return {
            CustomerId(f"customer-{n}"): draw_limit(self.random)
            for n in range(self.random.randint(1, 3))
        }

    def draw_conditions(self) -> NetworkConditions:
        return draw_conditions(self.random)

    def plan(self, customers: dict[CustomerId, Limit]) -> None:
        """Schedule requests at half, one or four times the rate, and faults."""
        for customer, limit in customers.items():
            load = (
                self.random.choice((0.5, 1.0, 4.0))
                * limit.rate_per_s
                / UNITS_PER_REQUEST
            )
            self._schedule_bursts(customer, load)
        for _ in range(self.random.randint(1, 8)):
            at = self.random.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S)
            self.network.schedule(at, self._break)

    def _schedule_bursts(self, customer: CustomerId, load: float) -> None:
        size = self.random.choice((1, 1, 5))
        at = self.random.expovariate(load / size)
        if self.network.now + at > RUN_S:
            return
        self.network.schedule(at, partial(self._send_burst, customer, size, load))

    def _send_burst(self, customer: CustomerId, size: int, load: float) -> None:
        for _ in range(size):
            name = self.random.choice(self.limits.names)
            units = self.random.choice(
                (
                    UNITS_PER_REQUEST,
                    UNITS_PER_REQUEST,
                    UNITS_PER_REQUEST // 2,
                    3 * UNITS_PER_REQUEST,
                )
            )
            self.limits.request(name, customer, units)
        self._schedule_bursts(customer, load)

    def _break(self) -> None:
        limits, network = self.limits, self.network
        name = self.random.choice(limits.names)
        length_s = self.random.uniform(0.05, 3.0)
        kind = self.random.choice(
            (
                "crash",
                "crash",
                "isolate",
                "control",
                "network",
                "link",
                "limit",
                "conditions",
            )
        )
        if kind == "crash" and limits.is_up(name):
            limits.crash(name)
            network.schedule(length_s, partial(limits.start, name))
        elif kind == "isolate":
            network.isolate(name)
            limits.unreachable.add(name)
            network.schedule(length_s, self._heal)
        elif kind == "network":
            network.isolate(name)
            network.schedule(length_s, self._heal)
        elif kind == "control":
            limits.unreachable.add(name)
            network.schedule(length_s, self._heal)
        elif kind == "link":
            network.cut(name, self.random.choice(limits.names))
            network.schedule(length_s, self._heal)
        elif kind == "limit":
            self.change_limit()
        elif kind == "conditions":
            network.conditions = draw_conditions(self.random)

    def change_limit(self) -> None:
        """Change the limit of a drawn customer to a drawn one."""
        customer = self.random.choice(list(self.limits.limits))
        self.limits.change_limit(customer, draw_limit(self.random))

    def _heal(self) -> None:
        self.network.heal()
        self.limits.unreachable.clear()

    def run(self) -> None:
        self.network.run_until(RUN_S + 1.0)


class RestartRun(FaultRun):
    """Restarts of instances before bursts that spend all granted units."""

    def draw_customers(self) -> dict[CustomerId, Limit]:
        return {
            CustomerId("customer-0"): Limit(
                100.0 * UNITS_PER_REQUEST, 20 * UNITS_PER_REQUEST
            )
        }

    def plan(self, customers: dict[CustomerId, Limit]) -> None:
        for customer in customers:
            for number in range(int(RUN_S)):
                at = 1.5 + number
                self.network.schedule(at, partial(self._trickle, customer, at + 0.4))
                at += self.random.uniform(0.3, 0.5)
                self.network.schedule(at, self._restart_all_but_one)
                at += self.random.uniform(0.1, 0.4)
                self.network.schedule(at, partial(self._flood, customer))

    def _trickle(self, customer: CustomerId, until: float) -> None:
        for name in self.limits.names:
            self.limits.request(name, customer)
        if self.network.now < until:
            self.network.schedule(0.05, partial(self._trickle, customer, until))

    def _restart_all_but_one(self) -> None:
        for name in self.limits.names[1:]:
            self.limits.crash(name)
            self.limits.start(name)

    def _flood(self, customer: CustomerId) -> None:
        for _ in range(40):
            for name in self.limits.names:
                self.limits.request(name, customer)


class FaultSubject(SeedRuns):
    """Runs many seeds, and collects violations and the number of admitted requests."""

    def __init__(
        self,
        run_class: type[FaultRun] = FaultRun,
        network_class: type[LimitNetwork] = LimitNetwork,
    ) -> None:
        super().__init__(run_class, network_class)
        self.admitted = 0

    def find_violations(self, run: FaultRun) -> list[str]:
        self.admitted += sum(run.limits.admitted.values())
        if run.limits.worst >= 0:
            return []
        return [f"{-run.limits.worst / UNITS_PER_REQUEST:.3f} requests in excess"]
