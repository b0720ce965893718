"""Seeded runs of the choices of endpoints by many instances, without a network.

Endpoints run their slots' requests in the order of arrival. A report is that of when a
request began to run, and arrives with the end of its answer, so it is old on arrival.
"""

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.balance import Balancer, ReportedLoad
from burdockwall.process.scheduling.cost_estimate import CostEstimate, CostEstimator
from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.request_size import (
    DeclaredSize,
    RequestSize,
    measure_size,
)
from burdockwall.process.scheduling.request_work import RequestWork
from burdockwall.process.scheduling.work_balance import WorkBalancer
from burdockwall.types import (
    Address,
    CustomerId,
    EndpointId,
    FailureDomain,
    RouteName,
    ServiceName,
)

DOMAINS = "abc"
ENDPOINTS = 20
SLOTS = 7
REQUESTS_PER_S = 500.0
CUSTOMERS = 20
# The most expensive request costs this many times as much as the cheapest.
COST_SPREAD = 30.0
# Time to connect to an endpoint of the own and of another failure domain.
NEAR_S, FAR_S = 0.0002, 0.0012
# What a request's tokens don't tell of its cost, as a deviation of the logarithm.
UNTOLD_DEVIATION = 0.3
CHEAPEST_TOKENS = 100
BYTES_PER_TOKEN = 4
# Requests that cost less than this share of the mean are short.
SHORT_SHARE = 0.3


class Choice(Enum):
    """How endpoints are chosen.

    KNOWN is by work with costs known in advance. IDLE uses the slots that own requests
    freed, else a random endpoint. LEASES asks an owner that counts all requests, and
    PERFECT one that knows all work left, both without delay.
    """

    WORK = "work"
    KNOWN = "known"
    COUNTS = "counts"
    IDLE = "idle"
    LEASES = "leases"
    PERFECT = "perfect"


@dataclass(slots=True)
class Call:
    """A request with its true cost, and what became of it."""

    cost_s: float
    work: RequestWork
    instance: int
    arrived_at: float
    server: int = 0
    started_at: float = 0.0
    ended_at: float = 0.0
    report: ReportedLoad = ReportedLoad(0, 0)


@dataclass(slots=True)
class _Server:
    pace: float = 1.0
    running: int = 0
    queue: deque[Call] = field(default_factory=deque)
    work_s: float = 0.0

    def count_requests(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + len(self.queue)

    def report(self) -> ReportedLoad:
        """Report the load of this moment."""
        return ReportedLoad(self.running, len(self.queue), SLOTS, self.pace)


class _KnownCosts(CostEstimator):
    """Stands for the estimator where costs are known in advance."""

    cost_s = 0.0

    def estimate(
        self, size: RequestSize, now: float, cached_tokens: float = 0.0
    ) -> CostEstimate:
        return CostEstimate(self.cost_s, 0.0)


def create_endpoint(number: int, slots: int = SLOTS) -> ListedEndpoint:
    """Create an endpoint in one of three failure domains."""
    return ListedEndpoint(
        EndpointId(f"e{number}"),
        ServiceName("s"),
        Address(f"e{number}:80"),
        FailureDomain(DOMAINS[number % len(DOMAINS)]),
        slots,
    )


class PlacementRun:
    """One run; `false_customer` always declares the size of the cheapest request."""

    def __init__(
        self,
        seed: int,
        choice: Choice,
        instances: int,
        load: float,
        false_customer: int | None = None,
        endpoints: int = ENDPOINTS,
    ) -> None:
        self.generator = random.Random(seed)
        self.choice, self.instances = choice, instances
        self.false_customer = false_customer
        self.mean_s = load * endpoints * SLOTS / REQUESTS_PER_S
        self.servers = [_Server() for _ in range(endpoints)]
        self.listed = [create_endpoint(number) for number in range(endpoints)]
        self.balancers = [self._create_balancer(n) for n in range(instances)]
        self.freed: list[list[int]] = [[] for _ in range(instances)]
        self.calls: list[Call] = []
        self.paces: list[tuple[float, int, float]] = []
        self._events: list[tuple[float, int, Call | None]] = []
        self._numbers = itertools.count()

    def _create_balancer(self, number: int) -> Balancer:
        domain = FailureDomain(DOMAINS[number % len(DOMAINS)])
        generator = random.Random(self.generator.random())
        if self.choice is Choice.COUNTS:
            return Balancer(domain, generator, lambda address: True)
        balancer = WorkBalancer(domain, generator, lambda address: True, Policy())
        for endpoint in self.listed:
            is_near = endpoint.failure_domain == domain
            balancer.round_trips.record(endpoint.address, NEAR_S if is_near else FAR_S)
        if self.choice is Choice.KNOWN:
            balancer.costs = _KnownCosts(Policy())
        return balancer

    def change_pace(self, at: float, server: int, pace: float) -> None:
        """Let work at a server take another multiple of its time from then on."""
        self.paces.append((at, server, pace))

    def _create_call(self, now: float) -> Call:
        """Create a request whose tokens tell its cost up to a random factor."""
        draw = self.generator
        factor = math.exp(draw.random() * math.log(COST_SPREAD))
        mean = (COST_SPREAD - 1) / math.log(COST_SPREAD)
        untold = draw.gauss(0, UNTOLD_DEVIATION) - UNTOLD_DEVIATION**2 / 2
        cost_s = self.mean_s / mean * factor * math.exp(untold)
        customer = draw.randrange(CUSTOMERS)
        tokens = round(CHEAPEST_TOKENS * factor)
        is_false = customer == self.false_customer
        size = measure_size(
            RouteName("r"),
            CustomerId(f"c{customer}"),
            None,
            DeclaredSize(CHEAPEST_TOKENS if is_false else tokens, 0),
            BYTES_PER_TOKEN * tokens,
        )
        return Call(cost_s, RequestWork(size), draw.randrange(self.instances), now)

    def run(self, duration_s: float) -> None:
        """Let requests arrive for a time, and run until all have ended."""
        self._schedule(0.0, None)
        while self._events:
            now, _, ended = heapq.heappop(self._events)
            if ended is not None:
                self._end(ended, now)
                self._start_waiting(self.servers[ended.server], now)
                continue
            self._apply_paces(now)
            call = self._create_call(now)
            self.calls.append(call)
            self._send(call, now)
            next_at = now + self.generator.expovariate(REQUESTS_PER_S)
            if next_at < duration_s:
                self._schedule(next_at, None)

    def _schedule(self, at: float, ended: Call | None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), ended))

    def _apply_paces(self, now: float) -> None:
        for at, server, pace in self.paces:
            if now >= at:
                self.servers[server].pace = pace

    def _send(self, call: Call, now: float) -> None:
        call.server = self._choose(call, now)
        server = self.servers[call.server]
        server.queue.append(call)
        server.work_s += call.cost_s
        name = self.listed[call.server].name
        self.balancers[call.instance].record_work_start(name, call.work, now)
        self._start_waiting(server, now)

    def _start_waiting(self, server: _Server, now: float) -> None:
        while server.queue and server.running < SLOTS:
            call = server.queue.popleft()
            server.running += 1
            call.started_at = now
            call.report = server.report()
            call.ended_at = now + call.cost_s * server.pace
            self._schedule(call.ended_at, call)

    def _choose(self, call: Call, now: float) -> int:
        numbers = range(len(self.servers))
        match self.choice:
            case Choice.PERFECT:
                return min(numbers, key=self._rank_by_work)
            case Choice.LEASES:
                return min(numbers, key=lambda n: self.servers[n].count_requests())
            case Choice.IDLE:
                freed = self.freed[call.instance]
                return freed.pop() if freed else self.generator.randrange(len(numbers))
        balancer = self.balancers[call.instance]
        if isinstance(balancer, WorkBalancer):
            costs = balancer.costs
            if isinstance(costs, _KnownCosts):
                costs.cost_s = call.cost_s
        chosen = balancer.choose(self.listed, "", now, frozenset(), call.work)
        assert chosen is not None
        return self.listed.index(chosen)

    def _rank_by_work(self, number: int) -> tuple[bool, float]:
        server = self.servers[number]
        is_full = server.count_requests() >= SLOTS
        return is_full, server.work_s * server.pace

    def _end(self, call: Call, now: float) -> None:
        server = self.servers[call.server]
        server.running -= 1
        server.work_s -= call.cost_s
        balancer = self.balancers[call.instance]
        name = self.listed[call.server].name
        balancer.record_report(name, call.report, now)
        call.work.completed = True
        balancer.record_work_end(name, call.work, now)
        if call.report.waiting == 0:
            self.freed[call.instance].append(call.server)

    # Results; requests that arrived before `since` are left out.

    def measure_wait_s(self, since: float) -> float:
        """Return the mean wait at endpoints."""
        calls = [call for call in self.calls if call.arrived_at >= since]
        return sum(call.started_at - call.arrived_at for call in calls) / len(calls)

    def measure_short_s(self, since: float) -> float:
        """Return the 95th percentile of the time of short requests."""
        limit_s = SHORT_SHARE * self.mean_s
        times = sorted(
            call.ended_at - call.arrived_at
            for call in self.calls
            if call.arrived_at >= since and call.cost_s < limit_s
        )
        return times[int(len(times) * 0.95)]

    def measure_customer_s(self, customer: int, since: float) -> float:
        """Return the mean time of a customer's requests."""
        name = CustomerId(f"c{customer}")
        times = [
            call.ended_at - call.arrived_at
            for call in self.calls
            if call.arrived_at >= since and call.work.size.customer == name
        ]
        return sum(times) / len(times)

    def measure_busiest(self, since: float) -> float:
        """Return the requests of the busiest server as a multiple of the mean."""
        counts = [
            self.count_sent(number, since, math.inf)
            for number in range(len(self.servers))
        ]
        return max(counts) * len(counts) / sum(counts)

    def count_sent(self, server: int, since: float, until: float) -> int:
        """Return how many requests a server was sent in a time."""
        return sum(
            call.server == server and since <= call.arrived_at < until
            for call in self.calls
        )
