"""The admission queue under test on a virtual clock."""

import random
from collections import Counter

from burdockwall.process.admission.queue import (
    AdmissionQueue,
    Admitted,
    Shed,
    WaitingJob,
)
from burdockwall.types import CallId, CustomerId, PoolName, PriorityClass

POOL = PoolName("llm")
CAPACITY_PER_S = 40.0
OTHERS = ("b", "c", "d", "e")
RUN_S = 30.0


class AdmissionSubject:
    def __init__(self, limit: int) -> None:
        self.queue = AdmissionQueue(limit, 0.1)
        self.now = 0.0
        self.waiting: dict[int, WaitingJob] = {}
        self.refused: list[Shed] = []
        self.displaced: list[tuple[WaitingJob, list[WaitingJob]]] = []
        self.last = 0

    def offer(self, customer: str, priority: str, deadline_s: float | None = None):
        self.last += 1
        job = WaitingJob(
            CallId(self.last),
            POOL,
            CustomerId(customer),
            PriorityClass(priority),
            deadline=None if deadline_s is None else self.now + deadline_s,
        )
        verdict = self.queue.offer(job, self.now)
        if isinstance(verdict, Shed):
            self.refused.append(verdict)
            return verdict
        assert isinstance(verdict, Admitted)
        if verdict.displaced is not None:
            self.refused.append(verdict.displaced)
            displaced = self.waiting.pop(verdict.displaced.call)
            self.displaced.append((displaced, list(self.waiting.values())))
        self.waiting[job.call] = job
        return verdict

    def start_jobs(self, rate: float, seconds: float) -> None:
        for _ in range(int(rate * seconds)):
            self.now += 1 / rate
            call = next(iter(self.waiting))
            del self.waiting[call]
            self.queue.leave(call, True, self.now)

    def count(self, priority: str) -> int:
        return sum(
            job.priority is PriorityClass(priority) for job in self.waiting.values()
        )


class FloodRun:
    """A run that serves customers in turns at a fixed rate, optionally under a flood.

    As in the product, a bucket with the customer's rate and a burst of one second's
    rate limits the requests before they reach the queue.
    """

    def __init__(self, seed: int, flood: bool) -> None:
        generator = random.Random(f"admission-{seed}")
        share = 0.8 * CAPACITY_PER_S / (len(OTHERS) + 1)
        load = 0.8 * share
        arrivals: list[tuple[float, str]] = []
        for customer in OTHERS:
            arrivals += self._draw(generator, customer, load)
        arrivals += self._draw(generator, "a", 4 * share if flood else load)
        self.share = share
        self.levels = dict.fromkeys((*OTHERS, "a"), share)
        self.filled_at = dict.fromkeys((*OTHERS, "a"), 0.0)
        self.subject = AdmissionSubject(100)
        self.latencies: list[float] = []
        self.lost = 0
        self.turns: Counter[str] = Counter()
        self._serve(sorted(arrivals))

    def _draw(self, generator, customer: str, rate: float):
        at = 0.0
        while at < RUN_S:
            at += generator.expovariate(rate)
            yield at, customer

    def _serve(self, arrivals: list[tuple[float, str]]) -> None:
        subject = self.subject
        free_at = 0.0
        arrived_at: dict[int, float] = {}
        for at, customer in arrivals:
            while free_at <= at and subject.waiting:
                free_at = max(free_at, subject.now) + 1 / CAPACITY_PER_S
                subject.now = max(subject.now, free_at - 1 / CAPACITY_PER_S)
                self._start_next(arrived_at)
            subject.now = max(subject.now, at)
            if not self._limit(customer, at):
                self.lost += customer in OTHERS
                continue
            refused_before = len(subject.refused)
            subject.offer(customer, "normal")
            arrived_at[subject.last] = at
            if len(subject.refused) > refused_before:
                refused_call = subject.refused[-1].call
                refused_customer = customer
                if refused_call != subject.last:
                    refused_customer = subject.displaced[-1][0].customer
                self.lost += refused_customer in OTHERS

    def _limit(self, customer: str, at: float) -> bool:
        refill = (at - self.filled_at[customer]) * self.share
        self.levels[customer] = min(self.share, self.levels[customer] + refill)
        self.filled_at[customer] = at
        if self.levels[customer] < 1:
            return False
        self.levels[customer] -= 1
        return True

    def _start_next(self, arrived_at: dict[int, float]) -> None:
        subject = self.subject
        customers = {job.customer for job in subject.waiting.values()}
        chosen = min(customers, key=lambda name: (self.turns[name], name))
        least = self.turns[chosen]
        for name in OTHERS + ("a",):
            # An idle customer does not accumulate turns.
            self.turns[name] = max(self.turns[name], least)
        self.turns[chosen] += 1
        call = next(
            call for call, job in subject.waiting.items() if job.customer == chosen
        )
        del subject.waiting[call]
        subject.queue.leave(call, True, subject.now)
        if chosen in OTHERS:
            self.latencies.append(subject.now - arrived_at[call])

    def compute_p95(self) -> float:
        return sorted(self.latencies)[int(0.95 * len(self.latencies))]
