"""Seeded runs of the choices of many instances, without a network."""

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field

from burdockwall.process.scheduling.balance import Balancer, ReportedLoad
from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.request_size import DeclaredSize, measure_size
from burdockwall.process.scheduling.request_work import RequestWork
from burdockwall.process.scheduling.work_balance import WorkBalancer
from burdockwall.types import CustomerId, FailureDomain, RouteName
from features.subjects.placement_load import create_endpoint

DOMAINS = "abc"
NETWORK_S = 0.0007
MOST_COST = 30.0


@dataclass(slots=True)
class Server:
    """An endpoint with slots and a queue in the order of arrival."""

    slots: int
    pace: float = 1.0
    running: int = 0
    queue: deque = field(default_factory=deque)
    work_s: float = 0.0
    sent: int = 0


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
    seen: ReportedLoad | None = None

    @property
    def wait_s(self) -> float:
        return self.started_at - self.arrived_at


class PlacementRun:
    """Instances that choose among servers: by work, counts, idle slots or leases.

    Reports are those of when a request started to run, and arrive with its end. With
    `perfect`, one dispatcher knows all work left at each moment.
    """

    def __init__(
        self, seed: int, mode: str, instances: int = 50, load: float = 0.8, **changes
    ) -> None:
        self.generator = random.Random(seed)
        self.mode, self.instances = mode, instances
        self.count, self.slots = changes.pop("servers", 20), 7
        self.rate = changes.pop("rate", 500.0)
        self.liar = changes.pop("liar", None)
        self.spread = changes.pop("spread", MOST_COST)
        self.mean_s = load * self.count * self.slots / self.rate
        self.servers = [Server(self.slots) for _ in range(self.count)]
        self.listed = [
            create_endpoint(f"e{n}", DOMAINS[n % 3], self.slots)
            for n in range(self.count)
        ]
        self.numbers = {item.name: n for n, item in enumerate(self.listed)}
        self.balancers = [self._create_balancer(n) for n in range(instances)]
        self.idle: list[list[int]] = [[] for _ in range(instances)]
        self.calls: list[Call] = []
        self.slow_from: tuple[float, int, float] | None = None

    def _create_balancer(self, number: int) -> Balancer:
        domain = FailureDomain(DOMAINS[number % 3])
        generator = random.Random(self.generator.random())
        if self.mode != "counts":
            return WorkBalancer(domain, generator, lambda address: True, Policy())
        return Balancer(domain, generator, lambda address: True)

    def create_call(self, now: float) -> Call:
        """Create a request; its tokens tell its cost up to a factor of e ** 0.3."""
        factor = math.exp(self.generator.random() * math.log(self.spread))
        mean = (self.spread - 1) / math.log(self.spread) if self.spread > 1 else 1.0
        noise = math.exp(self.generator.gauss(0, 0.3) - 0.045)
        cost_s = self.mean_s / mean * factor * noise
        customer = CustomerId(f"c{self.generator.randrange(20)}")
        tokens = round(100 * factor)
        body = 4 * tokens
        if customer == self.liar:
            tokens = 100
        declared = DeclaredSize(tokens, 0)
        size = measure_size(RouteName("r"), customer, None, declared, body)
        instance = self.generator.randrange(self.instances)
        return Call(cost_s, RequestWork(size), instance, now)

    def run(self, duration_s: float) -> None:
        """Run for a time, then until all requests have ended."""
        ticket = itertools.count()
        events: list[tuple] = [(0.0, next(ticket), "arrive", None)]
        while events:
            now, _, kind, call = heapq.heappop(events)
            if kind == "arrive":
                if self.slow_from and now >= self.slow_from[0]:
                    self.servers[self.slow_from[1]].pace = self.slow_from[2]
                call = self.create_call(now)
                self.calls.append(call)
                self._send(call, now)
                next_at = now + self.generator.expovariate(self.rate)
                if next_at < duration_s:
                    heapq.heappush(events, (next_at, next(ticket), "arrive", None))
            else:
                self._end(call, now)
            server = self.servers[call.server]
            while server.queue and server.running < server.slots:
                started = server.queue.popleft()
                server.running += 1
                started.started_at = now
                started.seen = self._report(server)
                started.ended_at = now + started.cost_s * server.pace
                heapq.heappush(events, (started.ended_at, next(ticket), "end", started))

    def _report(self, server: Server) -> ReportedLoad:
        waiting = len(server.queue)
        return ReportedLoad(server.running, waiting, server.slots, server.pace)

    def _send(self, call: Call, now: float) -> None:
        call.server = self._choose(call, now)
        server = self.servers[call.server]
        server.queue.append(call)
        server.work_s += call.cost_s
        server.sent += 1
        name = self.listed[call.server].name
        self.balancers[call.instance].record_work_start(name, call.work, now)

    def _choose(self, call: Call, now: float) -> int:
        numbers = range(self.count)
        match self.mode:
            case "perfect":
                return min(numbers, key=lambda n: (self._measure_wait_s(n), n))
            case "leases":
                return min(numbers, key=self._count_requests)
            case "idle" if self.idle[call.instance]:
                return self.idle[call.instance].pop()
            case "idle":
                return self.generator.randrange(self.count)
        balancer = self.balancers[call.instance]
        chosen = balancer.choose(self.listed, "", now, frozenset(), call.work)
        return self.numbers[chosen.name]

    def _count_requests(self, number: int) -> int:
        server = self.servers[number]
        return server.running + len(server.queue)

    def _measure_wait_s(self, number: int) -> float:
        server = self.servers[number]
        if server.running + len(server.queue) < server.slots:
            return -1.0 / (1 + self._count_requests(number))
        return server.work_s * server.pace

    def _end(self, call: Call, now: float) -> None:
        server = self.servers[call.server]
        server.running -= 1
        server.work_s -= call.cost_s
        balancer = self.balancers[call.instance]
        name = self.listed[call.server].name
        balancer.record_report(name, call.seen, now)
        call.work.completed = True
        balancer.record_work_end(name, call.work, now)
        if call.seen.waiting == 0:
            self.idle[call.instance].append(call.server)

    def measure_wait_s(self, since: float) -> float:
        """Return the mean wait of the requests that arrived since a time."""
        waits = [call.wait_s for call in self.calls if call.arrived_at >= since]
        return sum(waits) / len(waits)
