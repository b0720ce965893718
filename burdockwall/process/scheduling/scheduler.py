"""The scheduler of an instance: decides when and at which endpoint each call runs."""

import random
from collections import OrderedDict
from typing import Any

import msgspec
from msgspec.structs import replace

from burdockwall.machine import Tick
from burdockwall.process.scheduling.attained_service import AttainedService
from burdockwall.process.scheduling.jobs import (
    Action,
    Cancel,
    EndProgram,
    Finish,
    InstancesCounted,
    Job,
    ObserveCache,
    ObserveLoad,
    Outcome,
    Placement,
    Reject,
    ReleaseCache,
    Result,
    Start,
    Submit,
    TargetsInstalled,
)
from burdockwall.process.scheduling.policy import Policy, Routing
from burdockwall.process.scheduling.queue import JobQueue, QueuedJob
from burdockwall.process.scheduling.reports import CacheEvent, CacheKey
from burdockwall.process.scheduling.router import Choice, Router
from burdockwall.types import (
    CallId,
    EndpointId,
    FailureDomain,
    ProgramId,
    RouteKind,
)

REQUEUE_BATCH = 4
LEVELS_PER_CLASS = 16


class RunningJob(msgspec.Struct):
    """A started call; `charged_s` is the estimated cost that was charged for it."""

    job: Job
    placement: Placement
    charged_s: float


class Scheduler:
    """Queues jobs per endpoint and starts them within each endpoint's window.

    A window is the number of calls that this instance may run at an endpoint.
    """

    def __init__(
        self, policy: Policy, own_domain: FailureDomain, generator: random.Random
    ) -> None:
        self.policy = policy
        self.router = Router(policy, own_domain, generator)
        self.attained_service = AttainedService(policy)
        self.running: dict[CallId, RunningJob] = {}
        self.waiting: dict[CallId, QueuedJob] = {}
        self._queues: dict[EndpointId, JobQueue] = {}
        self._paused_prefixes: OrderedDict[CacheKey, tuple[EndpointId, float]] = (
            OrderedDict()
        )
        self._last_number = 0

    def handle(self, event: Any, now: float) -> list[Action]:
        """Handle an event; return calls to start or reject, and caches to release."""
        match event:
            case Submit(job=job):
                return self._submit(job, now)
            case Finish(call=call, outcome=outcome):
                return self._finish(call, outcome, now)
            case Cancel(call=call):
                self._cancel(call)
            case EndProgram(program=program, keys=keys):
                return self._end_program(program, keys, now)
            case ObserveLoad(endpoint=endpoint, report=report):
                load = self.router.loads.get(endpoint)
                if load is not None and endpoint in self._queues:
                    load.record_report(report)
                    return self._start_queued(endpoint, now)
            case ObserveCache(endpoint=endpoint, events=events):
                self._observe_cache(endpoint, events, now)
            case TargetsInstalled():
                return self._install(event, now)
            case InstancesCounted(count=count):
                self._set_instance_count(count)
            case Tick():
                return self._tick(now)
        return []

    def _install(self, event: TargetsInstalled, now: float) -> list[Action]:
        self.router.install(event.targets)
        displaced: list[QueuedJob] = []
        for endpoint in [
            name for name in self._queues if name not in self.router.targets
        ]:
            displaced.extend(self._queues.pop(endpoint).drain())
            if endpoint in self.router.loads:
                self.router.loads[endpoint].queued = 0
        for endpoint in self.router.targets:
            if endpoint not in self._queues:
                queue = JobQueue(endpoint, self.policy, self.attained_service)
                self._queues[endpoint] = queue
        return self._place_all(displaced, now)

    def _set_instance_count(self, count: int) -> None:
        if count == self.policy.instances:
            return
        self.policy = replace(self.policy, instances=count)
        self.router.policy = self.policy
        for load in self.router.loads.values():
            load.set_policy(self.policy)

    def _submit(self, job: Job, now: float) -> list[Action]:
        self._last_number += 1
        first_seen_at = self.attained_service.record_program(job.program, now)
        entry = QueuedJob(job, self._last_number, now, first_seen_at)
        self.waiting[job.call] = entry
        return self._place(entry, now)

    def _place(self, entry: QueuedJob, now: float) -> list[Action]:
        choice = self.router.choose(entry.job, now)
        if choice is None:
            del self.waiting[entry.job.call]
            return [Reject(entry.job.call)]
        self._enqueue(entry, choice, now)
        return self._start_queued(choice.endpoint, now)

    def _enqueue(self, entry: QueuedJob, choice: Choice, now: float) -> None:
        entry.endpoint = choice.endpoint
        entry.queued_at = now
        entry.reason = choice.reason
        entry.cached_tokens = choice.cached_tokens
        entry.cache_source = choice.cache_source
        entry.moved_tokens = choice.moved_tokens
        self._queues[choice.endpoint].push(entry)
        self.router.loads[choice.endpoint].queued += 1

    def _place_all(self, entries: list[QueuedJob], now: float) -> list[Action]:
        actions: list[Action] = []
        for entry in entries:
            actions.extend(self._place(entry, now))
        return actions

    def _start_queued(self, endpoint: EndpointId, now: float) -> list[Action]:
        """Start queued jobs while the endpoint's window and health allow it."""
        actions: list[Action] = []
        queue = self._queues[endpoint]
        load = self.router.loads[endpoint]
        ejector = self.router.pools[self.router.targets[endpoint].pool].ejector
        while queue.size and load.has_room() and ejector.admits(endpoint, now):
            entry = queue.pop(now)
            if entry is None:
                break
            load.queued -= 1
            load.running += 1
            ejector.record_start(endpoint)
            actions.append(self._start(entry, endpoint, now))
        return actions

    def _start(self, entry: QueuedJob, endpoint: EndpointId, now: float) -> Start:
        job = entry.job
        del self.waiting[job.call]
        cost = self._estimate_service(job, entry.cached_tokens, 0)
        self.attained_service.charge(job.program, job.customer, job.weight, cost)
        self._paused_prefixes.pop(job.key, None)
        placement = Placement(
            endpoint,
            entry.reason,
            self._compute_level(job),
            entry.cached_tokens,
            entry.cache_source,
            entry.moved_tokens,
            now - entry.submitted_at,
        )
        self.running[job.call] = RunningJob(job, placement, cost)
        return Start(job.call, placement)

    def _compute_level(self, job: Job) -> int:
        if not self.policy.pass_priorities:
            return 0
        level = self.attained_service.get_level(job.program)
        return job.priority.rank * LEVELS_PER_CLASS + level

    def _estimate_service(self, job: Job, cached: int, output: int) -> float:
        if job.kind is RouteKind.SERVICE:
            return self.policy.output_token_s
        computed = max(0, job.prompt_tokens - cached)
        prefill = computed * self.policy.prefill_token_s
        return prefill + output * self.policy.output_token_s

    def _finish(self, call: CallId, outcome: Outcome, now: float) -> list[Action]:
        running = self.running.pop(call, None)
        if running is None:
            return []
        job, endpoint = running.job, running.placement.endpoint
        self._correct_charge(running, outcome)
        pool = self.router.pools.get(job.pool)
        if pool is not None:
            pool.ejector.record_outcome(endpoint, outcome, now)
        if job.kind is RouteKind.SERVICE and outcome.result is Result.SUCCEEDED:
            self.router.record_service_time(job.pool, outcome.latency_s)
        actions: list[Action] = []
        if job.key and job.kind is RouteKind.MODEL:
            actions.extend(self._record_prefix(job, endpoint, outcome, now))
        load = self.router.loads.get(endpoint)
        if load is not None:
            load.running -= 1
            if endpoint in self._queues:
                actions.extend(self._start_queued(endpoint, now))
        return actions

    def _correct_charge(self, running: RunningJob, outcome: Outcome) -> None:
        job = running.job
        cached = outcome.cached_tokens
        if cached is None:
            cached = running.placement.expected_cached_tokens
        cost = self._estimate_service(job, cached, outcome.output_tokens)
        difference = cost - running.charged_s
        self.attained_service.charge(job.program, job.customer, job.weight, difference)

    def _record_prefix(
        self, job: Job, endpoint: EndpointId, outcome: Outcome, now: float
    ) -> list[Action]:
        if outcome.result is Result.FAILED:
            self.router.prefixes.remove(job.key, endpoint)
            return []
        tokens = job.prompt_tokens + outcome.output_tokens
        self.router.prefixes.record(job.key, endpoint, tokens, now)
        if not self.policy.release_cache:
            return []
        self._paused_prefixes.pop(job.key, None)
        self._paused_prefixes[job.key] = (endpoint, now + self.policy.pause_hold_s)
        return self._release_stale(job.key, endpoint, now)

    def _release_stale(
        self, key: CacheKey, endpoint: EndpointId, now: float
    ) -> list[Action]:
        """Release the outdated, shorter copies of a prefix at other endpoints."""
        actions: list[Action] = []
        for other, _ in self.router.prefixes.list_copies(key, now):
            if other != endpoint:
                self.router.prefixes.remove(key, other)
                actions.append(ReleaseCache(other, key))
        return actions

    def _cancel(self, call: CallId) -> None:
        entry = self.waiting.pop(call, None)
        if entry is not None:
            self._dequeue(entry)

    def _dequeue(self, entry: QueuedJob) -> None:
        endpoint = entry.endpoint
        if endpoint is not None:
            self._queues[endpoint].remove(entry)
            self.router.loads[endpoint].queued -= 1

    def _end_program(
        self, program: ProgramId, keys: tuple[CacheKey, ...], now: float
    ) -> list[Action]:
        self.attained_service.remove_program(program)
        actions: list[Action] = []
        for key in keys:
            if self.policy.release_cache:
                actions.extend(self._release(key, now))
            self.router.prefixes.remove(key)
        return actions

    def _release(self, key: CacheKey, now: float) -> list[Action]:
        self._paused_prefixes.pop(key, None)
        copies = self.router.prefixes.list_copies(key, now)
        self.router.prefixes.remove(key)
        return [ReleaseCache(endpoint, key) for endpoint, _ in copies]

    def _observe_cache(
        self, endpoint: EndpointId, events: tuple[CacheEvent, ...], now: float
    ) -> None:
        if self.policy.routing is Routing.AFFINITY and endpoint in self.router.targets:
            self.router.prefixes.apply_events(endpoint, events, now)

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for endpoint, queue in self._queues.items():
            if queue.size:
                actions.extend(self._start_queued(endpoint, now))
                actions.extend(self._requeue(queue, now))
        actions.extend(self._release_paused(now))
        return actions

    def _requeue(self, queue: JobQueue, now: float) -> list[Action]:
        """Choose an endpoint again for jobs queued at one for `requeue_s` or longer."""
        actions: list[Action] = []
        for entry in queue.list_oldest(REQUEUE_BATCH):
            if not entry.is_queued_at(queue.endpoint):
                continue
            if now - entry.queued_at < self.policy.requeue_s:
                continue
            entry.queued_at = now
            actions.extend(self._move(entry, now))
        return actions

    def _move(self, entry: QueuedJob, now: float) -> list[Action]:
        # The job's own place in the queue must not count against its endpoint.
        load = self.router.loads[entry.endpoint]  # type: ignore[index]
        load.queued -= 1
        choice = self.router.choose(entry.job, now)
        load.queued += 1
        if choice is None or choice.endpoint == entry.endpoint:
            return []
        self._dequeue(entry)
        self._enqueue(entry, choice, now)
        return self._start_queued(choice.endpoint, now)

    def _release_paused(self, now: float) -> list[Action]:
        """Release prefixes whose program has been idle for `pause_hold_s`."""
        actions: list[Action] = []
        while self._paused_prefixes:
            key, (endpoint, release_at) = next(iter(self._paused_prefixes.items()))
            if release_at > now:
                break
            del self._paused_prefixes[key]
            self.router.prefixes.remove(key, endpoint)
            actions.append(ReleaseCache(endpoint, key))
        return actions
