"""One or several schedulers driven to see which endpoints they choose."""

import random

from burdockwall.process.scheduling.jobs import (
    Asset,
    Finish,
    Job,
    Outcome,
    Reject,
    Result,
    Start,
    Submit,
    Target,
    TargetsInstalled,
)
from burdockwall.process.scheduling.policy import Policy, Window
from burdockwall.process.scheduling.reports import CacheKey
from burdockwall.process.scheduling.ring import Ring
from burdockwall.process.scheduling.scheduler import Scheduler
from burdockwall.types import (
    CallId,
    CustomerId,
    EndpointId,
    FailureDomain,
    ModelName,
    PoolName,
    ProgramId,
    RouteKind,
)
from features.subjects.scheduling import NEAR, POOL, SchedulingSubject

MODEL = ModelName("m")


def create_router(endpoints: int, **changes) -> SchedulingSubject:
    return SchedulingSubject(endpoints, 64, **changes)


class RoutingSubject:
    """Several schedulers that use the same endpoints."""

    def __init__(self, routers: int, endpoints: int, **changes) -> None:
        self.routers = [
            create_router(endpoints, instances=routers, **changes)
            for _ in range(routers)
        ]
        for number, router in enumerate(self.routers):
            router.scheduler.router.generator = random.Random(number)
        self.choices: list[set[str]] = []

    def ask_all(self, histories: int) -> None:
        for number in range(histories):
            chosen = set()
            for router in self.routers:
                call = router.submit(f"p-{number}", key=f"history-{number}")
                chosen.add(router.running[call])
                router.finish(call, latency_s=1.0, output_tokens=10)
            self.choices.append(chosen)

    def flood(self, endpoint: str, calls: int) -> None:
        for router in self.routers:
            for number in range(router.count):
                name = f"e{number}"
                busy = 0 if name == endpoint else router.policy.endpoint_calls
                router.report_load(name, busy)
            for number in range(calls):
                router.submit(f"p-{number}", key=f"{id(router)}-{number}")

    def count_on(self, endpoint: str) -> int:
        return sum(
            list(router.running.values()).count(EndpointId(endpoint))
            for router in self.routers
        )


class AssetSubject:
    """A scheduler for calls that need a version of a model, or a plain service."""

    def __init__(self, targets: tuple[Target, ...]) -> None:
        policy = Policy(endpoint_calls=64, window=Window.SPLIT, instances=1)
        self.scheduler = Scheduler(policy, NEAR, random.Random(3))
        self.scheduler.handle(TargetsInstalled(targets), 0.0)
        self.used: set[str] = set()
        self.rejected = 0
        self.calls = 0

    def call(self, asset: Asset | None = None, kind=RouteKind.MODEL) -> None:
        self.calls += 1
        job = Job(
            CallId(self.calls),
            POOL,
            CustomerId("c"),
            ProgramId(f"p-{self.calls}"),
            CacheKey(f"k-{self.calls}" if kind is RouteKind.MODEL else ""),
            kind=kind,
            asset=asset or Asset(),
        )
        for action in self.scheduler.handle(Submit(job), 0.0):
            match action:
                case Start(call=call, placement=placement):
                    self.used.add(placement.endpoint)
                    outcome = Outcome(Result.SUCCEEDED, 0.02, 0, 1)
                    self.scheduler.handle(Finish(call, outcome), 0.0)
                case Reject():
                    self.rejected += 1


def create_versions(count: int, holder: str, version: str) -> AssetSubject:
    return AssetSubject(
        tuple(
            Target(
                EndpointId(f"e{number}"),
                POOL,
                NEAR,
                (Asset(MODEL, "", version if f"e{number}" == holder else "1"),),
            )
            for number in range(count)
        )
    )


def create_domains(count: int, domains: int) -> AssetSubject:
    return AssetSubject(
        tuple(
            Target(
                EndpointId(f"e{number}"),
                PoolName(POOL),
                FailureDomain("abc"[number % domains]),
            )
            for number in range(count)
        )
    )


def compare_homes(endpoints: int, histories: int) -> tuple[set[str], set[str]]:
    """Return the histories whose home moved, and those of the lost endpoint."""
    names = [EndpointId(f"e{number}") for number in range(endpoints)]
    before, after = Ring(names), Ring(names[1:])
    keys = [f"history-{number}" for number in range(histories)]
    homes = {key: before.list_homes(key, 1)[0] for key in keys}
    moved = {key for key in keys if after.list_homes(key, 1)[0] != homes[key]}
    return moved, {key for key in keys if homes[key] == names[0]}


def place_beside_ejected(limited: bool) -> list[Reject | None]:
    """Submit a call that may go only to an ejected endpoint, and return its outcome."""
    scheduler = Scheduler(Policy(), NEAR, random.Random(1))
    names = [EndpointId("e1"), EndpointId("e2")]
    targets = tuple(Target(name, POOL, NEAR) for name in names)
    scheduler.handle(TargetsInstalled(targets), 0.0)
    ejector = scheduler.router.pools[POOL].ejector
    for _ in range(scheduler.policy.failures_to_eject):
        ejector.record_outcome(names[0], Outcome(Result.FAILED), 0.0)
    assert not ejector.admits(names[0], 0.1)
    job = Job(
        CallId(1),
        POOL,
        CustomerId("c"),
        ProgramId("p"),
        CacheKey("k"),
        excluded=frozenset(names[1:]),
        limited=limited,
    )
    return list(scheduler.handle(Submit(job), 0.1)) or [None]
