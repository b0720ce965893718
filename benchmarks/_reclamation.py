"""Measure how long abandoned programs occupy engine caches."""

import random
from dataclasses import dataclass, field

from benchmarks.result import Result, create_result
from burdockwall.process.programs import calls, operations
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.operations import ProgramTreeKey
from burdockwall.process.programs.program_tree import Limits, ProgramEnded
from burdockwall.process.programs.state import ShardState
from burdockwall.process.programs.sweep import (
    CheckIds,
    DropCache,
    EngineListed,
    IdsChecked,
    ListEngine,
    Sweep,
    SweepTick,
)
from burdockwall.types import (
    CustomerId,
    EndpointId,
    InstanceId,
    ProgramId,
    ProgramTag,
    RequestId,
)

SEED = 1
PROGRAMS = 500
ARRIVALS_S = 600.0
ABANDONED_SHARE = 0.7
# Share of the orders that never reach the engine, since the instance that sent them
# crashed or the connection failed.
LOST_ORDER_SHARE = 0.05
EVICTION_AFTER_S = 600.0
SWEEP_INTERVAL_S = 10.0
STEP_S = 0.5
END_S = 2000.0
ENGINE = EndpointId("engine")
SELF = InstanceId("self")


@dataclass(frozen=True, slots=True)
class Variant:
    """A choice of the mechanisms that release caches."""

    name: str
    cancels_calls: bool
    sweeps_engines: bool


@dataclass(slots=True)
class ReclamationRun:
    """Program records, the cache of one engine and its sweep, on virtual time.

    `cached` has the time at which the engine evicts each cache by itself.
    """

    variant: Variant
    generator: random.Random = field(default_factory=lambda: random.Random(SEED))
    state: ShardState = field(default_factory=lambda: ShardState(Limits()))
    sweep: Sweep = field(default_factory=lambda: Sweep(SELF, SWEEP_INTERVAL_S))
    cached: dict[ProgramTag, float] = field(default_factory=dict)
    abandoned_at: dict[ProgramTag, float] = field(default_factory=dict)
    wasted_s: float = 0.0
    sequence: int = 0

    def run(self) -> float:
        """Run all programs, and return the mean wasted seconds per abandoned one."""
        starts = [self.generator.uniform(0, ARRIVALS_S) for _ in range(PROGRAMS)]
        plans = sorted(enumerate(starts), key=lambda item: item[1])
        now = 0.0
        while now < END_S:
            now += STEP_S
            while plans and plans[0][1] <= now:
                self._start(plans.pop(0)[0], now)
            for tag in [tag for tag, due_at in self.cached.items() if due_at <= now]:
                self._drop(tag, now)
            self._end_due(now)
            if self.variant.sweeps_engines:
                self._sweep(now)
        abandoned = len(self.abandoned_at)
        return self.wasted_s / abandoned

    def _apply(self, operation: operations.AnyOperation, now: float) -> None:
        self.sequence += 1
        for effect in self.state.apply(operation, self.sequence, now):
            lost = self.generator.random() < LOST_ORDER_SHARE
            if (
                isinstance(effect, ProgramEnded)
                and self.variant.cancels_calls
                and not lost
            ):
                self._drop(effect.tag, now)

    def _start(self, index: int, now: float) -> None:
        program = ProgramId(f"p{index}")
        key = ProgramTreeKey(CustomerId("association"), program)
        request = RequestId(f"0.{index}")
        begin = operations.BeganCall(
            key, program, request, 1, b"", Spend(), SELF, Budget()
        )
        self._apply(begin, now)
        tag = ProgramTag(f"p-{request}")
        self.cached[tag] = now + EVICTION_AFTER_S
        if self.generator.random() < ABANDONED_SHARE:
            self.abandoned_at[tag] = now
            abandoned = operations.EndedCall(
                key, program, request, Spend(), ENGINE, caller_left=True
            )
            self._apply(abandoned, now)

    def _end_due(self, now: float) -> None:
        for operation in self.state.list_due(now):
            self._apply(operation, now)

    def _drop(self, tag: ProgramTag, now: float) -> None:
        if self.cached.pop(tag, None) is not None and tag in self.abandoned_at:
            self.wasted_s += now - self.abandoned_at[tag]

    def _sweep(self, now: float) -> None:
        actions = self.sweep.handle(SweepTick((ENGINE,), (SELF,)), now)
        while actions:
            match actions.pop():
                case ListEngine():
                    listed = EngineListed(ENGINE, 0, tuple(self.cached), ())
                    actions += self.sweep.handle(listed, now)
                case CheckIds(call=call):
                    answer = self.state.decide(call, now, False).answer
                    assert isinstance(answer, calls.EndedIds)
                    actions += self.sweep.handle(IdsChecked(ENGINE, answer), now)
                case DropCache(tag=tag):
                    self._drop(tag, now)


def measure_reclamation() -> list[Result]:
    """Compare no cancelling, cancelling without the sweep, and cancelling with it."""
    variants = (
        Variant("no cancelling", False, False),
        Variant("cancelling without the sweep", True, False),
        Variant("cancelling and sweep", True, True),
    )
    wasted = [ReclamationRun(variant).run() for variant in variants]
    return [
        create_result(
            f"cache seconds wasted by an abandoned program: {variant.name}",
            seconds,
            "s",
            SEED,
            wasted[0],
        )
        for variant, seconds in zip(variants, wasted, strict=True)
    ]
