"""Single choices of endpoints by work, and the estimates behind them."""

import random
import statistics
import time
import tracemalloc
from collections import Counter

from burdockwall.fakes.placement_runs import DOMAINS, SLOTS, create_endpoint
from burdockwall.process.scheduling.balance import ReportedLoad
from burdockwall.process.scheduling.cost_estimate import CostEstimator
from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.request_size import (
    DeclaredSize,
    RequestSize,
    measure_size,
)
from burdockwall.process.scheduling.request_work import RequestWork
from burdockwall.process.scheduling.work_balance import create_balancer
from burdockwall.settings import Settings
from burdockwall.types import (
    CustomerId,
    EndpointId,
    FailureDomain,
    ProgramId,
    RouteName,
)


def measure(tokens: int, customer="c", program="", route="r", **changes) -> RequestSize:
    return measure_size(
        RouteName(route),
        CustomerId(customer),
        ProgramId(program) if program else None,
        DeclaredSize(tokens, 0),
        changes.pop("body", 4 * tokens),
        **changes,
    )


class ChoiceSubject:
    """Balancers of several instances that choose among the same endpoints."""

    def __init__(self, instances: int, count: int, placement: str = "work") -> None:
        self.endpoints = [create_endpoint(number) for number in range(count)]
        self.balancers = [
            create_balancer(
                Settings(
                    failure_domain=FailureDomain(DOMAINS[number % len(DOMAINS)]),
                    schedule_placement=placement,
                ),
                random.Random(number),
                lambda address: True,
            )
            for number in range(instances)
        ]
        self.now = 0.0

    def report(self, name: str, running: int, waiting: int = 0) -> None:
        load = ReportedLoad(running, waiting, SLOTS)
        for balancer in self.balancers:
            balancer.record_report(EndpointId(name), load, self.now)

    def choose(self, size: RequestSize, instance: int = 0) -> str:
        affinity = size.program or ""
        chosen = self.balancers[instance].choose(
            self.endpoints, affinity, self.now, frozenset(), RequestWork(size)
        )
        return chosen.name

    def send(self, name: str, work: RequestWork) -> None:
        """Send a request of the first instance to an endpoint."""
        listed = [item for item in self.endpoints if item.name == name]
        self.balancers[0].choose(listed, "", self.now, frozenset(), work)
        self.balancers[0].record_work_start(EndpointId(name), work, self.now)

    def count_choices(self, each: int) -> Counter:
        return Counter(
            self.choose(measure(100), instance)
            for instance in range(len(self.balancers))
            for _ in range(each)
        )

    def measure_decision_s(self) -> float:
        """Return the median time of a program's decision."""
        times = []
        for number in range(200):
            size = measure(2000, program=f"p{number}", on_engine=True)
            started = time.perf_counter()
            self.choose(size)
            times.append(time.perf_counter() - started)
        return statistics.median(times)


class CostSubject:
    """An estimator that learns from many customers."""

    def __init__(self) -> None:
        self.costs = CostEstimator(Policy())
        self.generator = random.Random(4)
        self.now = 0.0

    def learn(self, count: int, false_share: float = 0.0) -> None:
        """Learn costs of 1 ms a token, and 3 s of a customer that declares 100."""
        for _ in range(count):
            self.now += 0.01
            if self.generator.random() < false_share:
                self.costs.record(measure(100, "false"), 3.0, 0.0, self.now)
            tokens = 100 * 2 ** self.generator.randrange(6)
            size = measure(tokens, f"c{self.generator.randrange(50)}")
            self.costs.record(size, tokens * 0.001, 0.0, self.now)

    def estimate_s(self, size: RequestSize) -> float:
        return self.costs.estimate(size, self.now).median_s

    def measure_mb(self) -> float:
        """Return the memory of 4,800 customers on 3 routes with 10,000 programs."""
        tracemalloc.start()
        costs = CostEstimator(Policy())
        for number in range(30_000):
            customer, program = f"c{number % 4800}", f"p{number % 10_000}"
            size = measure(1 + number % 5000, customer, program, f"r{number % 3}")
            costs.record(size, 0.1, 0.0, number / 100)
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return used / 1e6


def measure_start(seed: int, warmup: int) -> list[float]:
    """Return expected over actual cost of turns after some answers of fast engines.

    A token read takes a fortieth of what the policy assumes; the answers' lengths
    differ from what callers declare.
    """
    generator, costs, ratios = random.Random(seed), CostEstimator(Policy()), []
    for number in range(100):
        cached = generator.choice([0, 12_000])
        declared = DeclaredSize(12_000 + generator.randrange(200, 4_000), 400)
        size = measure_size(
            RouteName(f"r{number % 2}"),
            CustomerId(f"c{number % 8}"),
            ProgramId(f"p{generator.randrange(30)}"),
            declared,
            20_000,
            on_engine=True,
        )
        written = 400 * generator.uniform(0.4, 1.0)
        read_s = (size.prompt_tokens - cached) * Policy().prefill_token_s / 40
        cost_s = 0.012 + read_s + written * 0.0013
        if number >= warmup:
            ratios.append(costs.estimate(size, number / 10, cached).mean_s / cost_s)
        costs.record(size, cost_s, cached, number / 10)
    return ratios
