"""A scheduler and a simulated site, driven in virtual time."""

import random
from dataclasses import replace

import msgspec

from burdockwall.fakes.scheduling_site import SchedulingSite
from burdockwall.fakes.workloads import ASSOCIATION, Ending, generate_workload
from burdockwall.machine import Tick
from burdockwall.process.scheduling.jobs import (
    Cancel,
    Finish,
    Job,
    ObserveCache,
    ObserveLoad,
    Outcome,
    Reject,
    Result,
    Start,
    Submit,
    Target,
    TargetsInstalled,
)
from burdockwall.process.scheduling.policy import Policy, Window
from burdockwall.process.scheduling.reports import (
    CacheChange,
    CacheEvent,
    CacheKey,
    LoadReport,
)
from burdockwall.process.scheduling.scheduler import Scheduler
from burdockwall.types import (
    CallId,
    CustomerId,
    EndpointId,
    FailureDomain,
    PoolName,
    PriorityClass,
    ProgramId,
)

POOL = PoolName("llm")
NEAR = FailureDomain("a")
LIMIT_S = 900.0
SHORT = replace(
    ASSOCIATION,
    kinds=tuple(replace(kind, mean_turns=2.0) for kind in ASSOCIATION.kinds),
)


class SchedulingSubject:
    """One scheduler that the steps send events to."""

    def __init__(
        self, endpoints: int = 1, places: int = 1, create=Scheduler, **changes
    ) -> None:
        policy = Policy(endpoint_calls=places, window=Window.SPLIT, instances=1)
        self.policy = msgspec.structs.replace(policy, **changes)
        self.now = 0.0
        self.count = endpoints
        self.scheduler = create(self.policy, NEAR, random.Random(7))
        self.last_call = 0
        self.started: list[CallId] = []
        self.running: dict[CallId, EndpointId] = {}
        self.rejected: list[CallId] = []
        self.names: dict[CallId, str] = {}
        self.sent: dict[EndpointId, int] = {}
        self.faulty: dict[EndpointId, str] = {}
        self.install(endpoints)

    def install(self, endpoints: int) -> None:
        targets = tuple(
            Target(EndpointId(f"e{number}"), POOL, NEAR) for number in range(endpoints)
        )
        self.apply(TargetsInstalled(targets))

    def apply(self, event) -> None:
        for action in self.scheduler.handle(event, self.now):
            match action:
                case Start(call=call, placement=placement):
                    assert call not in self.started, f"call {call} started twice"
                    self.started.append(call)
                    self.running[call] = placement.endpoint
                    count = self.sent.get(placement.endpoint, 0)
                    self.sent[placement.endpoint] = count + 1
                case Reject(call=call):
                    self.rejected.append(call)

    def submit(
        self,
        name: str,
        priority=PriorityClass.NORMAL,
        customer="c",
        tokens=1000,
        key=None,
    ) -> CallId:
        self.last_call += 1
        call = CallId(self.last_call)
        self.names[call] = name
        job = Job(
            call,
            POOL,
            CustomerId(customer),
            ProgramId(name),
            CacheKey(key or name),
            priority,
            prompt_tokens=tokens,
        )
        self.apply(Submit(job))
        return call

    def cancel(self, call: CallId) -> None:
        self.apply(Cancel(call))

    def finish(self, call: CallId, result=Result.SUCCEEDED, **details) -> None:
        del self.running[call]
        self.apply(Finish(call, Outcome(result, **details)))

    def finish_first(self, **details) -> None:
        self.finish(next(iter(self.running)), **details)

    def list_started(self) -> list[str]:
        return [self.names[call] for call in self.started]

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.apply(Tick())

    # Endpoints that fail or are slow.

    def run_calls(self, count: int, pause_s: float = 0.1) -> None:
        """Submit calls one by one and end each as its endpoint would."""
        for _ in range(count):
            call = self.submit(f"call-{self.last_call}", key=f"key-{self.last_call}")
            self.tick(pause_s)
            if call not in self.running:
                continue
            self.end_as_endpoint(call)

    def end_as_endpoint(self, call: CallId) -> None:
        fault = self.faulty.get(self.running[call])
        if fault == "fails":
            self.finish(call, Result.FAILED, latency_s=0.1)
        else:
            latency_s = 20.0 if fault == "slow" else 1.0
            self.finish(call, latency_s=latency_s, output_tokens=50)

    def count_ejected(self) -> int:
        return self.scheduler.router.pools[POOL].ejector.ejected_count

    # Reports.

    def report_load(self, endpoint: str, running: int, waiting: int = 0, number=0):
        self.last_report = getattr(self, "last_report", 0) + 1
        sequence = number or self.last_report
        report = LoadReport(sequence, running, waiting, self.policy.endpoint_calls)
        self.apply(ObserveLoad(EndpointId(endpoint), report))

    def report_cache(
        self, endpoint: str, *events: tuple[int, CacheChange, str]
    ) -> None:
        typed = tuple(
            CacheEvent(sequence, change, CacheKey(key), 5000)
            for sequence, change, key in events
        )
        self.apply(ObserveCache(EndpointId(endpoint), typed))

    def list_copies(self, key: str) -> list[str]:
        prefixes = self.scheduler.router.prefixes
        return [name for name, _ in prefixes.list_copies(CacheKey(key), self.now)]


class SchedulingRuns:
    """Seeded runs of sites with faults, each followed by a check of the invariants."""

    def __init__(self, create_scheduler=Scheduler) -> None:
        self.create = create_scheduler
        self.faults: list[str] = []
        self.finished = 0

    def run(self, first: int, count: int) -> None:
        for seed in range(first, first + count):
            try:
                self.run_seed(seed)
            except AssertionError as error:
                self.faults.append(f"seed {seed}: {error}")

    def run_seed(self, seed: int) -> None:
        rng = random.Random(f"faults {seed}")
        policy = Policy(endpoint_calls=2, ageing_s=5.0)
        site = SchedulingSite(SHORT, policy, seed, create_scheduler=self.create)
        programs = generate_workload(SHORT, seed, 1.5, 10.0)
        self.plan_faults(site, rng)
        for number in range(400):
            site.network.schedule(number * 0.1, lambda: self.check_windows(site))
        site.schedule_programs(programs)
        while site.now < LIMIT_S and not self.is_done(site, programs):
            site.network.run_until(site.now + 10.0)
        self.check_end(site, programs)

    def is_done(self, site: SchedulingSite, programs) -> bool:
        results = site.results
        return site.count_calls() == 0 and all(
            spec.program in results
            and (spec.ending is Ending.ABANDONED or results[spec.program].finished)
            for spec in programs
        )

    def plan_faults(self, site: SchedulingSite, rng: random.Random) -> None:
        engines = list(site.engines.values())
        failing, slow = rng.sample(engines, 2)
        start = rng.uniform(0, 10)

        def set_failing(value: bool) -> None:
            failing.failing = value

        def slow_down() -> None:
            slow.advance(site.now)
            slow.speed = 0.2

        schedule = site.network.schedule
        schedule(start, lambda: set_failing(True))
        schedule(start + rng.uniform(2, 15), lambda: set_failing(False))
        schedule(rng.uniform(0, 10), slow_down)
        lost = rng.randrange(SHORT.entry_count)
        schedule(rng.uniform(0, 10), lambda: site.stop_instance(lost))

    def check_windows(self, site: SchedulingSite) -> None:
        for index, scheduler in enumerate(site.schedulers):
            if index in site.stopped_instances:
                continue
            for endpoint, load in scheduler.router.loads.items():
                counted = sum(
                    running.placement.endpoint == endpoint
                    for running in scheduler.running.values()
                )
                assert load.running == counted, f"{endpoint} counts {load.running}"
                assert counted <= load.capacity, f"{endpoint} exceeds its window"
                assert load.queued >= 0, f"{endpoint} queues {load.queued}"

    def check_end(self, site: SchedulingSite, programs) -> None:
        twice = [call for call, count in site.start_counts.items() if count > 1]
        assert not twice, f"calls {twice} started twice"
        for index, scheduler in enumerate(site.schedulers):
            if index not in site.stopped_instances:
                assert not scheduler.waiting, "calls still wait"
                assert not scheduler.running, "calls still run"
        for spec in programs:
            if spec.ending is Ending.FINISHED:
                assert site.results[spec.program].finished, f"{spec.program} is lost"
                self.finished += 1
