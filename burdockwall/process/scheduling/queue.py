"""The queue of jobs that wait for one endpoint."""

import heapq
from collections import deque
from itertools import islice

import msgspec

from burdockwall.process.scheduling.attained_service import AttainedService
from burdockwall.process.scheduling.jobs import Job
from burdockwall.process.scheduling.policy import Policy, QueueOrder
from burdockwall.types import CustomerId, EndpointId, PriorityClass

Rank = tuple[float, float, int]


class QueuedJob(msgspec.Struct):
    """A waiting job; `endpoint` is the one whose queue it is in, if any."""

    job: Job
    number: int
    submitted_at: float
    program_first_seen_at: float
    endpoint: EndpointId | None = None
    queued_at: float = 0.0
    reason: str = ""
    cached_tokens: int = 0
    cache_source: EndpointId | None = None
    moved_tokens: int = 0
    failures: int = 0

    def is_queued_at(self, endpoint: EndpointId) -> bool:
        """Return whether the job waits in the queue of an endpoint."""
        return self.endpoint == endpoint


class _ClassQueue(msgspec.Struct):
    """The jobs of one priority class.

    `customers` is a heap by virtual time, `jobs` holds a heap by rank per customer and
    `arrivals` all jobs in order of arrival. A removed job stays in them until it is
    first, and is dropped then.
    """

    customers: list[tuple[float, CustomerId]] = msgspec.field(default_factory=list)
    jobs: dict[CustomerId, list[tuple[Rank, int, QueuedJob]]] = msgspec.field(
        default_factory=dict
    )
    arrivals: deque[QueuedJob] = msgspec.field(default_factory=deque)


class JobQueue:
    """Orders jobs by priority class, then fairly by customer, then by program.

    Within a class the customer with the lowest virtual time is next, and of its
    programs the one with the least attained service. One pop in `ageing_every`
    returns the oldest job of any class if it has waited longer than `ageing_s`, so
    that no class starves.
    """

    def __init__(
        self, endpoint: EndpointId, policy: Policy, attained_service: AttainedService
    ) -> None:
        self.endpoint = endpoint
        self.policy = policy
        self.attained_service = attained_service
        self.size = 0
        self._pops = 0
        self._pushes = 0
        self._classes = {priority: _ClassQueue() for priority in PriorityClass}
        self._arrivals: deque[QueuedJob] = deque()

    def push(self, entry: QueuedJob) -> None:
        """Add a job, whose endpoint the caller has set to that of this queue."""
        self.size += 1
        if self.policy.order is QueueOrder.FCFS:
            self._arrivals.append(entry)
            return
        queue = self._classes[entry.job.priority]
        queue.arrivals.append(entry)
        customer = entry.job.customer
        jobs = queue.jobs.get(customer)
        if jobs is None:
            jobs = queue.jobs[customer] = []
            virtual_time = self.attained_service.activate_customer(customer)
            heapq.heappush(queue.customers, (virtual_time, customer))
        self._pushes += 1
        heapq.heappush(jobs, (self._rank(entry), self._pushes, entry))

    def remove(self, entry: QueuedJob) -> None:
        """Remove a job; its heap entries are dropped when they become first."""
        entry.endpoint = None
        self.size -= 1
        if self.size == 0:
            self._clear()

    def pop(self, now: float) -> QueuedJob | None:
        """Remove and return the next job, or return None if there is none."""
        if self.size == 0:
            return None
        entry = self._choose(now)
        if entry is not None:
            self.remove(entry)
        return entry

    def list_oldest(self, count: int) -> list[QueuedJob]:
        """List the jobs that have waited longest in each class."""
        oldest: list[QueuedJob] = []
        queues = [queue.arrivals for queue in self._classes.values()]
        for arrivals in (self._arrivals, *queues):
            self._drop_departed(arrivals)
            for entry in islice(arrivals, count):
                if entry.is_queued_at(self.endpoint):
                    oldest.append(entry)
        return oldest

    def drain(self) -> list[QueuedJob]:
        """Remove all jobs and return them in the order of arrival."""
        queues = [queue.arrivals for queue in self._classes.values()]
        entries = {
            entry.number: entry
            for arrivals in (self._arrivals, *queues)
            for entry in arrivals
            if entry.is_queued_at(self.endpoint)
        }
        for entry in entries.values():
            entry.endpoint = None
        self.size = 0
        self._clear()
        return [entries[number] for number in sorted(entries)]

    def _clear(self) -> None:
        self._arrivals.clear()
        for priority in PriorityClass:
            queue = self._classes[priority]
            if queue.arrivals:
                self._classes[priority] = _ClassQueue()

    def _rank(self, entry: QueuedJob) -> Rank:
        if self.policy.order is QueueOrder.ATTAINED_SERVICE:
            level = self.attained_service.get_level(entry.job.program)
            return (level, entry.program_first_seen_at, entry.number)
        return (0, entry.program_first_seen_at, entry.number)

    def _drop_departed(self, arrivals: deque[QueuedJob]) -> None:
        while arrivals and not arrivals[0].is_queued_at(self.endpoint):
            arrivals.popleft()

    def _choose(self, now: float) -> QueuedJob | None:
        if self.policy.order is QueueOrder.FCFS:
            self._drop_departed(self._arrivals)
            return self._arrivals[0] if self._arrivals else None
        self._pops += 1
        if self._pops % self.policy.ageing_every == 0:
            overdue = self._find_overdue(now)
            if overdue is not None:
                return overdue
        for queue in self._classes.values():
            entry = self._find_next(queue)
            if entry is not None:
                return entry
        return None

    def _find_overdue(self, now: float) -> QueuedJob | None:
        oldest: QueuedJob | None = None
        for queue in self._classes.values():
            self._drop_departed(queue.arrivals)
            if queue.arrivals:
                entry = queue.arrivals[0]
                if oldest is None or entry.submitted_at < oldest.submitted_at:
                    oldest = entry
        if oldest is None or now - oldest.submitted_at < self.policy.ageing_s:
            return None
        return oldest

    def _find_next(self, queue: _ClassQueue) -> QueuedJob | None:
        while queue.customers:
            virtual_time, customer = queue.customers[0]
            jobs = queue.jobs[customer]
            while jobs and not jobs[0][2].is_queued_at(self.endpoint):
                heapq.heappop(jobs)
            if not jobs:
                heapq.heappop(queue.customers)
                del queue.jobs[customer]
                continue
            current = self.attained_service.get_virtual_time(customer)
            if current > virtual_time:
                # The customer has been served at another endpoint since it was queued.
                heapq.heapreplace(queue.customers, (current, customer))
                continue
            self.attained_service.advance_virtual_time(customer)
            return jobs[0][2]
        return None
