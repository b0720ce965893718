"""The admission queue: which jobs may wait for an endpoint under overload."""

from collections import deque
from collections.abc import Iterator
from enum import Enum

import msgspec

from burdockwall.types import CallId, CustomerId, PoolName, PriorityClass

START_RATE_WINDOW_S = 5.0
START_RATE_MIN_S = 0.5
RETRY_DEFAULT_S = 1.0


class ShedReason(Enum):
    """The reason why a job may not wait."""

    QUEUE_FULL = "the queue is full"
    DISPLACED = "more urgent or less served work took its place"
    DEADLINE = "its deadline cannot be met"


class WaitingJob(msgspec.Struct, frozen=True):
    """A job that is offered to the queue; `deadline` is a time of the queue's clock."""

    call: CallId
    pool: PoolName
    customer: CustomerId
    priority: PriorityClass = PriorityClass.NORMAL
    weight: float = 1.0
    deadline: float | None = None


class Shed(msgspec.Struct, frozen=True):
    """A refused job, which has not run; its caller may retry after `retry_after_s`."""

    call: CallId
    reason: ShedReason
    retry_after_s: float


class Admitted(msgspec.Struct, frozen=True):
    """A job that may wait, and the job that it displaced, if any."""

    call: CallId
    displaced: Shed | None = None


class _StartRate(msgspec.Struct):
    """The rate at which jobs start while others wait."""

    busy_since: float = 0.0
    starts: deque[float] = msgspec.field(default_factory=deque)

    def record(self, now: float) -> None:
        self.starts.append(now)
        self._trim(now)

    def _trim(self, now: float) -> None:
        while self.starts and self.starts[0] < now - START_RATE_WINDOW_S:
            self.starts.popleft()

    def compute_rate(self, now: float) -> float:
        """Return the jobs started per second, 0 if none started within the window."""
        self._trim(now)
        busy_s = min(START_RATE_WINDOW_S, now - self.busy_since)
        return len(self.starts) / max(START_RATE_MIN_S, busy_s)


class _PoolQueue(msgspec.Struct):
    """The waiting jobs of one pool by priority class and customer, oldest first."""

    size: int = 0
    start_rate: _StartRate = msgspec.field(default_factory=_StartRate)
    classes: dict[PriorityClass, dict[CustomerId, list[WaitingJob]]] = msgspec.field(
        default_factory=lambda: {priority: {} for priority in PriorityClass}
    )

    def count_class(self, priority: PriorityClass) -> int:
        return sum(len(jobs) for jobs in self.classes[priority].values())

    def count_jobs(self, priority: PriorityClass, customer: CustomerId) -> int:
        return len(self.classes[priority].get(customer, ()))

    def count_ahead(self, job: WaitingJob) -> int:
        """Count the jobs that run before a new one.

        More urgent classes run first, and the customers of a class take turns.
        """
        ahead = 0
        for priority in PriorityClass:
            if priority.rank < job.priority.rank:
                ahead += self.count_class(priority)
        own = self.count_jobs(job.priority, job.customer)
        for customer, jobs in self.classes[job.priority].items():
            if customer != job.customer:
                ahead += min(len(jobs), own + 1)
        return ahead + own

    def find_heaviest(self, priority: PriorityClass) -> WaitingJob | None:
        """Return the newest job of the customer with the most jobs per weight."""
        heaviest: list[WaitingJob] | None = None
        highest_load = 0.0
        for jobs in self.classes[priority].values():
            load = len(jobs) / jobs[-1].weight
            if load > highest_load:
                heaviest, highest_load = jobs, load
        return heaviest[-1] if heaviest else None

    def add(self, job: WaitingJob, now: float) -> None:
        if self.size == 0:
            self.start_rate = _StartRate(now)
        self.size += 1
        self.classes[job.priority].setdefault(job.customer, []).append(job)

    def remove(self, job: WaitingJob) -> None:
        customers = self.classes[job.priority]
        jobs = customers[job.customer]
        jobs.remove(job)
        self.size -= 1
        if not jobs:
            del customers[job.customer]

    def list_jobs(self) -> Iterator[tuple[int, WaitingJob]]:
        """Yield each job with the minimum number of jobs that run before it."""
        urgent = 0
        for customers in self.classes.values():
            for jobs in customers.values():
                yield from ((urgent + place, job) for place, job in enumerate(jobs))
            urgent += sum(len(jobs) for jobs in customers.values())


class AdmissionQueue:
    """Bounds the number of jobs that wait for each pool.

    When the queue is full, it sheds jobs of the lowest class first, and within a class
    those of the customer with the most jobs per weight. A share of the places is
    reserved for each class, so that no class is starved.
    """

    def __init__(self, limit: int, reserve_share: float) -> None:
        self.limit = limit
        self.reserve = int(limit * reserve_share)
        self._pools: dict[PoolName, _PoolQueue] = {}
        self._jobs: dict[CallId, WaitingJob] = {}

    def offer(self, job: WaitingJob, now: float) -> Admitted | Shed:
        """Decide whether a job may wait, and whether it displaces another."""
        queue = self._pools.setdefault(job.pool, _PoolQueue())
        wait_s = self._estimate_wait(queue, queue.count_ahead(job), now)
        if job.deadline is not None and now + wait_s > job.deadline:
            return Shed(job.call, ShedReason.DEADLINE, max(RETRY_DEFAULT_S, wait_s))
        displaced = None
        if queue.size >= self.limit:
            victim = self._find_victim(queue, job)
            retry_s = self._estimate_wait(queue, queue.size, now) or RETRY_DEFAULT_S
            if victim is None:
                return Shed(job.call, ShedReason.QUEUE_FULL, retry_s)
            self._remove(victim)
            displaced = Shed(victim.call, ShedReason.DISPLACED, retry_s)
        queue.add(job, now)
        self._jobs[job.call] = job
        return Admitted(job.call, displaced)

    def leave(self, call: CallId, started: bool, now: float) -> None:
        """Remove a job that has started or been abandoned."""
        job = self._jobs.get(call)
        if job is None:
            return
        if started:
            self._pools[job.pool].start_rate.record(now)
        self._remove(job)

    def review(self, now: float) -> list[Shed]:
        """Shed the jobs whose deadline can no longer be met."""
        shed: list[Shed] = []
        for queue in self._pools.values():
            for ahead, job in list(queue.list_jobs()):
                if job.deadline is None:
                    continue
                wait_s = self._estimate_wait(queue, ahead, now)
                if now + wait_s >= job.deadline:
                    retry_s = max(RETRY_DEFAULT_S, wait_s)
                    shed.append(Shed(job.call, ShedReason.DEADLINE, retry_s))
                    self._remove(job)
        return shed

    def _estimate_wait(self, queue: _PoolQueue, ahead: int, now: float) -> float:
        rate = queue.start_rate.compute_rate(now)
        return ahead / rate if rate and queue.size else 0.0

    def _find_victim(self, queue: _PoolQueue, job: WaitingJob) -> WaitingJob | None:
        below_reserve = queue.count_class(job.priority) < self.reserve
        for priority in reversed(PriorityClass):
            if priority is job.priority:
                heaviest = queue.find_heaviest(priority)
                if heaviest is not None and _holds_more(queue, heaviest, job):
                    return heaviest
                continue
            lower = priority.rank > job.priority.rank
            spare = queue.count_class(priority) > self.reserve
            if spare and (lower or below_reserve):
                return queue.find_heaviest(priority)
        return None

    def _remove(self, job: WaitingJob) -> None:
        del self._jobs[job.call]
        self._pools[job.pool].remove(job)


def _holds_more(queue: _PoolQueue, heaviest: WaitingJob, job: WaitingJob) -> bool:
    heaviest_count = queue.count_jobs(job.priority, heaviest.customer)
    own_count = queue.count_jobs(job.priority, job.customer) + 1
    return heaviest_count / heaviest.weight > own_count / job.weight
