"""Drive schedulers of several instances against modelled engines and programs."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockwall.fakes.engine_model import (
    Answered,
    EngineModel,
    EngineRequest,
    EngineSpec,
    ModelCall,
)
from burdockwall.fakes.network import FakeNetwork
from burdockwall.fakes.service_model import ServiceModel
from burdockwall.fakes.workloads import (
    Deployment,
    Ending,
    ProgramKind,
    ProgramSpec,
    TurnSpec,
)
from burdockwall.machine import Tick
from burdockwall.process.scheduling.jobs import (
    Cancel,
    EndProgram,
    Event,
    Finish,
    Job,
    ObserveCache,
    ObserveLoad,
    Outcome,
    Placement,
    ReleaseCache,
    Result,
    Start,
    Submit,
    Target,
    TargetsInstalled,
)
from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.reports import CacheEvent, CacheKey
from burdockwall.process.scheduling.scheduler import Scheduler
from burdockwall.types import (
    CallId,
    CustomerId,
    EndpointId,
    FailureDomain,
    PoolName,
    ProgramId,
    RouteKind,
)

LLM = PoolName("llm")
SERVICES = PoolName("services")
TICK_S = 0.1
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 0.25
EVENT_INTERVAL_S = 1.0
EVENT_DELAY_LOW_S = 0.2
EVENT_DELAY_HIGH_S = 3.0
EVENT_LOSS = 0.05
EVENT_DOUBLING = 0.05
SILENT_PROGRAM_S = 30.0
RETRY_PAUSE_S = 0.5
INSTANCE_LOSS_NOTICED_S = 2.0


@dataclass(slots=True)
class ProgramResult:
    """Hold what became of one program; `waited_s` leaves out its tool pauses."""

    program: ProgramId
    customer: CustomerId
    kind: ProgramKind
    started_s: float
    latency_s: float = 0.0
    waited_s: float = 0.0
    finished: bool = False


@dataclass(slots=True)
class _Life:
    """Hold a program, or a sub-agent of one, while it runs."""

    spec: ProgramSpec
    entry: int
    started_s: float
    done: Callable[[], None]
    turn: int = 0
    history: int = 0
    paused_s: float = 0.0
    call: CallId | None = None
    over: bool = False
    children: list["_Life"] = field(default_factory=list)
    children_left: int = 0


@dataclass(slots=True)
class _Call:
    """Hold one call from its submission at an instance to its end."""

    call: CallId
    job: Job
    entry: int
    life: _Life
    turn: TurnSpec
    submitted_at: float
    started_at: float | None = None
    placement: Placement | None = None


class SchedulingSite:
    """Run a workload through the instances of one deployment."""

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        seed: int,
        spec: EngineSpec | None = None,
        create_scheduler: Callable[..., Scheduler] = Scheduler,
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.network = FakeNetwork(seed)
        self.random = random.Random(f"site {seed}")
        self.engines: dict[EndpointId, EngineModel] = {}
        self.services: dict[EndpointId, ServiceModel] = {}
        self.results: dict[ProgramId, ProgramResult] = {}
        self.started_calls: dict[CallId, int] = {}
        self.submitted_calls = 0
        self.cancelled_calls = 0
        self.failed_calls = 0
        self.largest_batch = 0
        self._calls: dict[CallId, _Call] = {}
        self._by_model: dict[ModelCall, CallId] = {}
        self._wakes: dict[EndpointId, int] = {}
        self._last_call = 0
        self._targets = self._create_endpoints(spec or EngineSpec())
        self._create = create_scheduler
        self.schedulers = [
            self._create_scheduler(index) for index in range(deployment.entries)
        ]
        self.lost: set[int] = set()
        self._start_clocks()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.network.now

    def _create_endpoints(self, spec: EngineSpec) -> tuple[Target, ...]:
        targets = []
        for number in range(self.deployment.engines):
            name = EndpointId(f"engine-{number + 1}")
            self.engines[name] = EngineModel(spec)
            targets.append(self._create_target(name, LLM, number, True))
        for number in range(self.deployment.servers):
            name = EndpointId(f"server-{number + 1}")
            self.services[name] = ServiceModel()
            targets.append(self._create_target(name, SERVICES, number, False))
        return tuple(targets)

    def _create_target(
        self, name: EndpointId, pool: PoolName, number: int, moves: bool
    ) -> Target:
        domain = self._get_domain(number)
        return Target(name, pool, domain, moves_cache=moves)

    def _get_domain(self, number: int) -> FailureDomain:
        return FailureDomain("abc"[number % self.deployment.failure_domains])

    def _create_scheduler(self, index: int) -> Scheduler:
        generator = random.Random(f"{index} {self.random.random()}")
        scheduler = self._create(self.policy, self._get_domain(index), generator)
        scheduler.handle(TargetsInstalled(self._targets), self.now)
        return scheduler

    def _start_clocks(self) -> None:
        for index in range(len(self.schedulers)):
            phase = self.random.uniform(0, TICK_S)
            self.network.schedule(phase, lambda index=index: self._tick(index))  # type: ignore[misc]
        for name in (*self.engines, *self.services):
            phase = self.random.uniform(0, REPORT_INTERVAL_S)
            self.network.schedule(phase, lambda name=name: self._report(name))  # type: ignore[misc]
        for name in self.engines:
            phase = self.random.uniform(0, EVENT_INTERVAL_S)
            self.network.schedule(phase, lambda name=name: self._tell_cache(name))  # type: ignore[misc]

    def _tick(self, index: int) -> None:
        if index not in self.lost:
            self._apply(index, Tick())
        self.network.schedule(TICK_S, lambda: self._tick(index))

    def _report(self, name: EndpointId) -> None:
        model = self.engines.get(name) or self.services[name]
        self._advance(name)
        report = model.report()
        self.largest_batch = max(self.largest_batch, report.running)
        for index in range(len(self.schedulers)):
            self.network.schedule(
                REPORT_DELAY_S,
                lambda index=index: self._apply(index, ObserveLoad(name, report)),  # type: ignore[misc]
            )
        self.network.schedule(REPORT_INTERVAL_S, lambda: self._report(name))

    def _tell_cache(self, name: EndpointId) -> None:
        engine = self.engines[name]
        events = tuple(engine.events)
        engine.events.clear()
        for index in range(len(self.schedulers)):
            kept = self._spoil(events)
            delay = self.random.uniform(EVENT_DELAY_LOW_S, EVENT_DELAY_HIGH_S)
            if kept:
                self.network.schedule(
                    delay,
                    lambda index=index, kept=kept: self._apply(  # type: ignore[misc]
                        index, ObserveCache(name, kept)
                    ),
                )
        self.network.schedule(EVENT_INTERVAL_S, lambda: self._tell_cache(name))

    def _spoil(self, events: tuple[CacheEvent, ...]) -> tuple[CacheEvent, ...]:
        kept: list[CacheEvent] = []
        for event in events:
            if self.random.random() < EVENT_LOSS:
                continue
            kept.append(event)
            if self.random.random() < EVENT_DOUBLING:
                kept.append(event)
        return tuple(kept)

    def _apply(self, index: int, event: Event | Tick) -> None:
        if index in self.lost:
            return
        for action in self.schedulers[index].handle(event, self.now):
            match action:
                case Start(call=call, placement=placement):
                    self._start(index, call, placement)
                case ReleaseCache(endpoint=endpoint, key=key):
                    self._release(endpoint, key)

    def _release(self, endpoint: EndpointId, key: CacheKey) -> None:
        engine = self.engines[endpoint]

        def run() -> None:
            self._advance(endpoint)
            engine.release(key)

        self.network.schedule(self.deployment.one_way_s, run)

    def _start(self, index: int, call: CallId, placement: Placement) -> None:
        known = self._calls[call]
        known.started_at = self.now
        known.placement = placement
        self.started_calls[call] = self.started_calls.get(call, 0) + 1
        self.network.schedule(
            self.deployment.one_way_s, lambda: self._arrive(call, placement)
        )

    def _arrive(self, call: CallId, placement: Placement) -> None:
        known = self._calls.get(call)
        if known is None:
            return
        name = placement.endpoint
        model = self.engines.get(name) or self.services[name]
        if model.failing:
            self._end(call, Outcome(Result.FAILED, self.now - self._started(known)))
            return
        self._advance(name)
        self._by_model[ModelCall(call)] = call
        match model:
            case EngineModel():
                model.submit(self._describe(known, placement), self.now)
            case ServiceModel():
                model.submit(ModelCall(call), known.turn.service_s, self.now)
        self._schedule_wake(name)

    def _started(self, known: _Call) -> float:
        return self.now if known.started_at is None else known.started_at

    def _describe(self, known: _Call, placement: Placement) -> EngineRequest:
        kind = known.life.spec.kind
        moved = 0
        if placement.cache_source is not None:
            source = self.engines[placement.cache_source]
            moved = placement.moved_tokens if source.holds(known.job.key) else 0
            moved += placement.expected_cached_tokens if moved else 0
        return EngineRequest(
            ModelCall(known.call),
            known.job.key,
            CacheKey(f"shared {kind.route}"),
            kind.shared_tokens,
            known.job.prompt_tokens,
            known.turn.output_tokens,
            placement.level,
            moved_tokens=moved,
        )

    def _schedule_wake(self, name: EndpointId) -> None:
        model = self.engines.get(name) or self.services[name]
        at = model.compute_next()
        self._wakes[name] = self._wakes.get(name, 0) + 1
        number = self._wakes[name]
        if at is not None:
            delay = max(0.0, at - self.now)
            self.network.schedule(delay, lambda: self._wake(name, number))

    def _wake(self, name: EndpointId, number: int) -> None:
        if self._wakes[name] == number:
            self._advance(name)
            self._schedule_wake(name)

    def _advance(self, name: EndpointId) -> None:
        model = self.engines.get(name) or self.services[name]
        for answered in model.advance(self.now):
            self._answer(answered)

    def _answer(self, answered: Answered) -> None:
        call = self._by_model.pop(answered.call, None)
        if call is None or call not in self._calls:
            return
        known = self._calls[call]
        outcome = Outcome(
            Result.SUCCEEDED,
            self.now - self._started(known),
            answered.cached_tokens,
            answered.output_tokens,
        )
        self.network.schedule(
            self.deployment.one_way_s, lambda: self._end(call, outcome)
        )

    def _end(self, call: CallId, outcome: Outcome) -> None:
        known = self._calls.pop(call, None)
        if known is None:
            return
        self._apply(known.entry, Finish(call, outcome))
        if known.life.over:
            return
        if outcome.result is Result.FAILED:
            self.failed_calls += 1
            self._retry(known)
        elif known.job.kind is RouteKind.SERVICE:
            self._pause(known.life, known.turn)
        else:
            self._finish_turn(known, outcome)

    def _retry(self, known: _Call) -> None:
        def run() -> None:
            if not known.life.over:
                self._submit(known.life, known.turn, known.job.kind)

        self.network.schedule(RETRY_PAUSE_S, run)

    # The callers.

    def run(self, programs: list[ProgramSpec], until_s: float) -> None:
        """Run programs to an end time."""
        self.begin(programs)
        self.network.run_until(until_s)
        self.finish_accounts()

    def count_calls(self) -> int:
        """Count the calls that wait or run."""
        return len(self._calls)

    def finish_accounts(self) -> None:
        """Count what is left in the engines' caches as wasted."""
        for engine in self.engines.values():
            engine.advance(self.now)
            engine.finish_accounts()

    def begin(self, programs: list[ProgramSpec]) -> None:
        """Plan the start of every program."""
        for spec in programs:
            self.network.schedule(spec.start_s, lambda spec=spec: self._begin(spec))  # type: ignore[misc]

    def _begin(self, spec: ProgramSpec) -> None:
        result = ProgramResult(spec.program, spec.customer, spec.kind, self.now)
        self.results[spec.program] = result

        def finish() -> None:
            result.finished = True
            result.latency_s = self.now - result.started_s
            result.waited_s = result.latency_s - life.paused_s

        life = _Life(spec, spec.entry, self.now, finish)
        self._begin_turn(life)

    def _begin_turn(self, life: _Life) -> None:
        if life.over:
            return
        spec = life.spec
        turn = spec.turns[life.turn]
        if life.turn == 0:
            life.history = spec.kind.shared_tokens
        life.history += turn.new_tokens
        if turn.changes_instance:
            life.entry = self.random.randrange(self.deployment.entries)
        if spec.ending is Ending.LEFT and life.turn == spec.leave_turn:
            self.network.schedule(spec.leave_after_s, lambda: self._leave(life))
        delay = self.deployment.caller_one_way_s
        self.network.schedule(delay, lambda: self._submit(life, turn, RouteKind.MODEL))

    def _submit(self, life: _Life, turn: TurnSpec, kind: RouteKind) -> None:
        if life.over:
            return
        if life.entry in self.lost:
            life.entry = (life.entry + 1) % self.deployment.entries
            self._submit(life, turn, kind)
            return
        self._last_call += 1
        self.submitted_calls += 1
        call = CallId(self._last_call)
        job = self._create_job(call, life, kind)
        self._calls[call] = _Call(call, job, life.entry, life, turn, self.now)
        life.call = call
        self._apply(life.entry, Submit(job))

    def _create_job(self, call: CallId, life: _Life, kind: RouteKind) -> Job:
        spec = life.spec
        if kind is RouteKind.SERVICE:
            return Job(
                call,
                SERVICES,
                spec.customer,
                spec.root,
                CacheKey(""),
                spec.kind.priority,
                kind=kind,
            )
        return Job(
            call,
            LLM,
            spec.customer,
            spec.root,
            CacheKey(spec.program),
            spec.kind.priority,
            prompt_tokens=life.history,
        )

    def _finish_turn(self, known: _Call, outcome: Outcome) -> None:
        life, turn = known.life, known.turn
        life.history += outcome.output_tokens
        life.call = None
        if turn.service_s:
            self._submit(life, turn, RouteKind.SERVICE)
        else:
            self._pause(life, turn)

    def _pause(self, life: _Life, turn: TurnSpec) -> None:
        life.call = None
        if turn.sub_agents:
            life.children_left = len(turn.sub_agents)
            for spec in turn.sub_agents:
                self._spawn(life, spec, turn)
            return
        self._rest(life, turn)

    def _spawn(self, parent: _Life, spec: ProgramSpec, turn: TurnSpec) -> None:
        def finish() -> None:
            parent.children_left -= 1
            if parent.children_left == 0 and not parent.over:
                self._rest(parent, turn)

        child = _Life(spec, parent.entry, self.now, finish)
        parent.children.append(child)
        self._begin_turn(child)

    def _rest(self, life: _Life, turn: TurnSpec) -> None:
        if life.turn + 1 == len(life.spec.turns):
            life.over = True
            life.done()
            self._say_goodbye(life)
            return
        life.turn += 1
        life.paused_s += turn.pause_s
        self.network.schedule(turn.pause_s, lambda: self._begin_turn(life))

    def _leave(self, life: _Life) -> None:
        if life.over:
            return
        self._stop(life)
        pause = 0.0 if life.spec.says_goodbye else SILENT_PROGRAM_S
        self.network.schedule(pause, lambda: self._say_goodbye(life))

    def _stop(self, life: _Life) -> None:
        """End a program and its sub-agents, with their calls under way."""
        life.over = True
        for child in life.children:
            if not child.over:
                self._stop(child)
        if life.call is not None and life.call in self._calls:
            self._cancel(life.call)

    def _cancel(self, call: CallId) -> None:
        known = self._calls.pop(call)
        self.cancelled_calls += 1
        if known.placement is None:
            self._apply(known.entry, Cancel(call))
            return
        name = known.placement.endpoint
        self._apply(known.entry, Finish(call, Outcome(Result.CANCELLED)))

        def run() -> None:
            self._by_model.pop(ModelCall(call), None)
            engine = self.engines.get(name)
            if engine is not None:
                self._advance(name)
                engine.cancel(ModelCall(call))
                self._schedule_wake(name)

        self.network.schedule(self.deployment.one_way_s, run)

    def _say_goodbye(self, life: _Life) -> None:
        keys = [CacheKey(life.spec.program)]
        keys += [CacheKey(child.spec.program) for child in life.children]
        program = life.spec.program
        self._apply(life.entry, EndProgram(program, tuple(keys)))

    # Faults.

    def lose_instance(self, index: int) -> None:
        """Stop an instance for good; its callers go to another one."""
        self.lost.add(index)
        cut = [known for known in self._calls.values() if known.entry == index]
        for known in cut:
            del self._calls[known.call]
            self._abort(known)
            self.network.schedule(
                INSTANCE_LOSS_NOTICED_S,
                lambda known=known: self._retry(known),  # type: ignore[misc]
            )

    def _abort(self, known: _Call) -> None:
        if known.placement is None:
            return
        engine = self.engines.get(known.placement.endpoint)
        if engine is not None:
            self._advance(known.placement.endpoint)
            engine.cancel(ModelCall(known.call))
            self._schedule_wake(known.placement.endpoint)
