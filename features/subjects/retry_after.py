"""Simulated programs of a customer that exceeds its rate for some time."""

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockwall.process.limits.retry_after import RetryAfterTimes
from burdockwall.types import CustomerId
from features.subjects.fallback_shares import create_limit

CUSTOMER = CustomerId("c")
INSTANCES = 9
RATE_PER_S = 18
CALM_SHARE = 0.7
OVERLOAD_AT_S, END_S = 5.0, 20.0
# A request is admitted if its units are available within this time.
MAX_WAIT_S = 0.36
RUN_S = 0.35
SHARED_RETRY_S = (0.36, 0.54)
ATTEMPTS, SUBMISSIONS = 2, 3
RESUBMIT_S = (0.1, 0.4)


@dataclass(order=True, slots=True)
class PendingRequest:
    """The next request of a program."""

    due_at: float
    number: int
    done: int = field(compare=False, default=0)
    attempt: int = field(compare=False, default=1)
    submission: int = field(compare=False, default=1)


class OverloadingCustomer:
    """A customer whose programs exceed its rate by `times` for `duration_s`."""

    def __init__(self, requests: int, times: float, duration_s: float) -> None:
        self.requests = requests
        self.times = times
        self.duration_s = duration_s

    def measure(self, seeds: Iterable[int], spread: bool) -> float:
        """Return the share of programs that are lost, over all seeds."""
        lost = begun = 0
        for seed in seeds:
            simulation = _Simulation(self, random.Random(seed), spread)
            simulation.run()
            lost += simulation.lost
            begun += simulation.begun
        return lost / begun


class _Simulation:
    def __init__(
        self, customer: OverloadingCustomer, generator: random.Random, spread: bool
    ) -> None:
        self.customer = customer
        self.generator = generator
        self.spread = spread
        self.limit = create_limit(RATE_PER_S, RATE_PER_S)
        self.retry_after_times = [RetryAfterTimes() for _ in range(INSTANCES)]
        self.level, self.refilled_at = 0.3 * RATE_PER_S, 0.0
        self.lost = self.begun = 0
        self._due: list[PendingRequest] = []

    def run(self) -> None:
        now = 0.0
        while now < END_S:
            overloaded = 0.0 <= now - OVERLOAD_AT_S < self.customer.duration_s
            share = self.customer.times if overloaded else CALM_SHARE
            now += self.generator.expovariate(
                share * RATE_PER_S / self.customer.requests
            )
            heapq.heappush(self._due, PendingRequest(now, self.begun))
            self.begun += 1
        while self._due:
            self._run_request(heapq.heappop(self._due))

    def _run_request(self, request: PendingRequest) -> None:
        wait_s = self._admit(request.due_at)
        if wait_s is None:
            self._refuse(request)
            return
        request.done += 1
        request.attempt = request.submission = 1
        if request.done < self.customer.requests:
            request.due_at += wait_s + RUN_S
            heapq.heappush(self._due, request)

    def _admit(self, now: float) -> float | None:
        self.level = min(RATE_PER_S, self.level + (now - self.refilled_at) * RATE_PER_S)
        self.refilled_at = now
        wait_s = max(0.0, (1.0 - self.level) / RATE_PER_S)
        if wait_s > MAX_WAIT_S:
            return None
        self.level -= 1.0
        return wait_s

    def _refuse(self, request: PendingRequest) -> None:
        times = self.retry_after_times[self.generator.randrange(INSTANCES)]
        retry_s = self.generator.uniform(*SHARED_RETRY_S)
        if self.spread:
            retry_s = times.choose(CUSTOMER, self.limit, INSTANCES, request.due_at)
        if request.attempt < ATTEMPTS:
            request.attempt += 1
            request.due_at += retry_s
        elif request.submission < SUBMISSIONS:
            request.submission += 1
            request.attempt = 1
            request.due_at += self.generator.uniform(*RESUBMIT_S)
        else:
            self.lost += 1
            return
        heapq.heappush(self._due, request)
