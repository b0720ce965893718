"""A deployment on virtual time: real schedulers, modelled endpoints and callers."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockwall.fakes.engine_model import (
    CompletedCall,
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
EVENT_DELAY_MIN_S = 0.2
EVENT_DELAY_MAX_S = 3.0
EVENT_LOSS_PROBABILITY = 0.05
EVENT_DUPLICATE_PROBABILITY = 0.05
# Time after which instances end a program whose caller abandoned it without notice.
UNANNOUNCED_END_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.5
INSTANCE_LOSS_DETECTION_S = 2.0


@dataclass(slots=True)
class ProgramResult:
    """Result of one program; `latency_without_pauses_s` leaves out its tool pauses."""

    program: ProgramId
    customer: CustomerId
    kind: ProgramKind
    started_s: float
    latency_s: float = 0.0
    latency_without_pauses_s: float = 0.0
    finished: bool = False


@dataclass(slots=True)
class _Agent:
    """State of a running program or of one of its sub-agents.

    `call` is the call in progress. `ended` is set after the last turn and when the
    caller abandons the program.
    """

    spec: ProgramSpec
    entry_index: int
    started_s: float
    on_finished: Callable[[], None]
    turn_index: int = 0
    history_tokens: int = 0
    paused_s: float = 0.0
    call: CallId | None = None
    ended: bool = False
    sub_agents: list["_Agent"] = field(default_factory=list)
    running_sub_agents: int = 0


@dataclass(slots=True)
class _CallRecord:
    """One call from its submission at an instance to its end."""

    call: CallId
    job: Job
    entry_index: int
    agent: _Agent
    turn: TurnSpec
    submitted_at: float
    started_at: float | None = None
    placement: Placement | None = None


class SchedulingSite:
    """A deployment whose instances schedule the calls of a generated workload.

    `start_counts` counts the starts of each call, so that a test finds calls that were
    started twice.
    """

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        seed: int,
        engine_spec: EngineSpec | None = None,
        create_scheduler: Callable[..., Scheduler] = Scheduler,
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.network = FakeNetwork(seed)
        self.random = random.Random(f"site {seed}")
        self.engines: dict[EndpointId, EngineModel] = {}
        self.services: dict[EndpointId, ServiceModel] = {}
        self.results: dict[ProgramId, ProgramResult] = {}
        self.start_counts: dict[CallId, int] = {}
        self.submitted_calls = 0
        self.cancelled_calls = 0
        self.failed_calls = 0
        self.largest_batch = 0
        self._calls: dict[CallId, _CallRecord] = {}
        self._calls_by_model_call: dict[ModelCall, CallId] = {}
        self._wake_numbers: dict[EndpointId, int] = {}
        self._last_call = 0
        self._targets = self._create_endpoints(engine_spec or EngineSpec())
        self._create = create_scheduler
        self.schedulers = [
            self._create_scheduler(index) for index in range(deployment.entry_count)
        ]
        self.stopped_instances: set[int] = set()
        self._schedule_periodic_work()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.network.now

    def _create_endpoints(self, spec: EngineSpec) -> tuple[Target, ...]:
        targets = []
        for number in range(self.deployment.engine_count):
            name = EndpointId(f"engine-{number + 1}")
            self.engines[name] = EngineModel(spec)
            targets.append(self._create_target(name, LLM, number, True))
        for number in range(self.deployment.server_count):
            name = EndpointId(f"server-{number + 1}")
            self.services[name] = ServiceModel()
            targets.append(self._create_target(name, SERVICES, number, False))
        return tuple(targets)

    def _create_target(
        self, name: EndpointId, pool: PoolName, number: int, moves_cache: bool
    ) -> Target:
        domain = self._get_domain(number)
        return Target(name, pool, domain, moves_cache=moves_cache)

    def _get_domain(self, number: int) -> FailureDomain:
        return FailureDomain("abc"[number % self.deployment.failure_domain_count])

    def _create_scheduler(self, index: int) -> Scheduler:
        generator = random.Random(f"{index} {self.random.random()}")
        scheduler = self._create(self.policy, self._get_domain(index), generator)
        scheduler.handle(TargetsInstalled(self._targets), self.now)
        return scheduler

    def _schedule_periodic_work(self) -> None:
        for index in range(len(self.schedulers)):
            phase = self.random.uniform(0, TICK_S)
            self.network.schedule(phase, lambda index=index: self._tick(index))  # type: ignore[misc]
        for name in (*self.engines, *self.services):
            phase = self.random.uniform(0, REPORT_INTERVAL_S)
            self.network.schedule(phase, lambda name=name: self._report_load(name))  # type: ignore[misc]
        for name in self.engines:
            phase = self.random.uniform(0, EVENT_INTERVAL_S)
            self.network.schedule(phase, lambda name=name: self._report_cache(name))  # type: ignore[misc]

    def _tick(self, index: int) -> None:
        if index not in self.stopped_instances:
            self._apply(index, Tick())
        self.network.schedule(TICK_S, lambda: self._tick(index))

    def _report_load(self, name: EndpointId) -> None:
        model = self.engines.get(name) or self.services[name]
        self._advance(name)
        report = model.create_report()
        self.largest_batch = max(self.largest_batch, report.running)
        for index in range(len(self.schedulers)):
            self.network.schedule(
                REPORT_DELAY_S,
                lambda index=index: self._apply(index, ObserveLoad(name, report)),  # type: ignore[misc]
            )
        self.network.schedule(REPORT_INTERVAL_S, lambda: self._report_load(name))

    def _report_cache(self, name: EndpointId) -> None:
        engine = self.engines[name]
        events = tuple(engine.events)
        engine.events.clear()
        for index in range(len(self.schedulers)):
            delivered = self._lose_and_duplicate(events)
            delay = self.random.uniform(EVENT_DELAY_MIN_S, EVENT_DELAY_MAX_S)
            if delivered:
                self.network.schedule(
                    delay,
                    lambda index=index, delivered=delivered: self._apply(  # type: ignore[misc]
                        index, ObserveCache(name, delivered)
                    ),
                )
        self.network.schedule(EVENT_INTERVAL_S, lambda: self._report_cache(name))

    def _lose_and_duplicate(
        self, events: tuple[CacheEvent, ...]
    ) -> tuple[CacheEvent, ...]:
        delivered: list[CacheEvent] = []
        for event in events:
            if self.random.random() < EVENT_LOSS_PROBABILITY:
                continue
            delivered.append(event)
            if self.random.random() < EVENT_DUPLICATE_PROBABILITY:
                delivered.append(event)
        return tuple(delivered)

    def _apply(self, index: int, event: Event | Tick) -> None:
        if index in self.stopped_instances:
            return
        for action in self.schedulers[index].handle(event, self.now):
            match action:
                case Start(call=call, placement=placement):
                    self._start_call(index, call, placement)
                case ReleaseCache(endpoint=endpoint, key=key):
                    self._release(endpoint, key)

    def _release(self, endpoint: EndpointId, key: CacheKey) -> None:
        engine = self.engines[endpoint]

        def run() -> None:
            self._advance(endpoint)
            engine.release(key)

        self.network.schedule(self.deployment.one_way_s, run)

    def _start_call(self, index: int, call: CallId, placement: Placement) -> None:
        record = self._calls[call]
        record.started_at = self.now
        record.placement = placement
        self.start_counts[call] = self.start_counts.get(call, 0) + 1
        self.network.schedule(
            self.deployment.one_way_s, lambda: self._submit_to_model(call, placement)
        )

    def _submit_to_model(self, call: CallId, placement: Placement) -> None:
        record = self._calls.get(call)
        if record is None:
            return
        name = placement.endpoint
        model = self.engines.get(name) or self.services[name]
        if model.failing:
            self._end_call(
                call, Outcome(Result.FAILED, self.now - self._get_started_at(record))
            )
            return
        self._advance(name)
        self._calls_by_model_call[ModelCall(call)] = call
        match model:
            case EngineModel():
                model.submit(self._create_engine_request(record, placement), self.now)
            case ServiceModel():
                model.submit(ModelCall(call), record.turn.service_s, self.now)
        self._schedule_wake(name)

    def _get_started_at(self, record: _CallRecord) -> float:
        return self.now if record.started_at is None else record.started_at

    def _create_engine_request(
        self, record: _CallRecord, placement: Placement
    ) -> EngineRequest:
        kind = record.agent.spec.kind
        moved = 0
        if placement.cache_source is not None:
            source = self.engines[placement.cache_source]
            moved = placement.moved_tokens if source.has_prefix(record.job.key) else 0
            moved += placement.expected_cached_tokens if moved else 0
        return EngineRequest(
            ModelCall(record.call),
            record.job.key,
            CacheKey(f"shared {kind.route}"),
            kind.shared_tokens,
            record.job.prompt_tokens,
            record.turn.output_tokens,
            placement.level,
            moved_tokens=moved,
        )

    def _schedule_wake(self, name: EndpointId) -> None:
        model = self.engines.get(name) or self.services[name]
        event_at = model.compute_next_event_at()
        # A wake with an older number is ignored, since the model has changed since.
        self._wake_numbers[name] = self._wake_numbers.get(name, 0) + 1
        number = self._wake_numbers[name]
        if event_at is not None:
            delay = max(0.0, event_at - self.now)
            self.network.schedule(delay, lambda: self._wake(name, number))

    def _wake(self, name: EndpointId, number: int) -> None:
        if self._wake_numbers[name] == number:
            self._advance(name)
            self._schedule_wake(name)

    def _advance(self, name: EndpointId) -> None:
        model = self.engines.get(name) or self.services[name]
        for completed in model.advance(self.now):
            self._send_completion(completed)

    def _send_completion(self, completed: CompletedCall) -> None:
        call = self._calls_by_model_call.pop(completed.call, None)
        if call is None or call not in self._calls:
            return
        record = self._calls[call]
        outcome = Outcome(
            Result.SUCCEEDED,
            self.now - self._get_started_at(record),
            completed.cached_tokens,
            completed.output_tokens,
        )
        self.network.schedule(
            self.deployment.one_way_s, lambda: self._end_call(call, outcome)
        )

    def _end_call(self, call: CallId, outcome: Outcome) -> None:
        record = self._calls.pop(call, None)
        if record is None:
            return
        self._apply(record.entry_index, Finish(call, outcome))
        if record.agent.ended:
            return
        if outcome.result is Result.FAILED:
            self.failed_calls += 1
            self._retry(record)
        elif record.job.kind is RouteKind.SERVICE:
            self._continue_turn(record.agent, record.turn)
        else:
            self._finish_model_call(record, outcome)

    def _retry(self, record: _CallRecord) -> None:
        def run() -> None:
            if not record.agent.ended:
                self._submit(record.agent, record.turn, record.job.kind)

        self.network.schedule(RETRY_DELAY_S, run)

    # Callers.

    def run(self, programs: list[ProgramSpec], until_s: float) -> None:
        """Run programs until a virtual time in seconds."""
        self.schedule_programs(programs)
        self.network.run_until(until_s)
        self.add_remaining_waste()

    def count_calls(self) -> int:
        """Count the calls that are waiting or running."""
        return len(self._calls)

    def add_remaining_waste(self) -> None:
        """Add the prefixes that are still cached to the engines' waste."""
        for engine in self.engines.values():
            engine.advance(self.now)
            engine.add_remaining_waste()

    def schedule_programs(self, programs: list[ProgramSpec]) -> None:
        """Schedule the start of every program."""
        for spec in programs:
            self.network.schedule(
                spec.start_s,
                lambda spec=spec: self._start_program(spec),  # type: ignore[misc]
            )

    def _start_program(self, spec: ProgramSpec) -> None:
        result = ProgramResult(spec.program, spec.customer, spec.kind, self.now)
        self.results[spec.program] = result

        def finish() -> None:
            result.finished = True
            result.latency_s = self.now - result.started_s
            result.latency_without_pauses_s = result.latency_s - agent.paused_s

        agent = _Agent(spec, spec.entry_index, self.now, finish)
        self._start_turn(agent)

    def _start_turn(self, agent: _Agent) -> None:
        if agent.ended:
            return
        spec = agent.spec
        turn = spec.turns[agent.turn_index]
        if agent.turn_index == 0:
            agent.history_tokens = spec.kind.shared_tokens
        agent.history_tokens += turn.new_tokens
        if turn.changes_instance:
            agent.entry_index = self.random.randrange(self.deployment.entry_count)
        if spec.ending is Ending.ABANDONED and agent.turn_index == spec.abandon_turn:
            self.network.schedule(
                spec.abandon_after_s, lambda: self._abandon_program(agent)
            )
        delay = self.deployment.caller_one_way_s
        self.network.schedule(delay, lambda: self._submit(agent, turn, RouteKind.MODEL))

    def _submit(self, agent: _Agent, turn: TurnSpec, kind: RouteKind) -> None:
        if agent.ended:
            return
        if agent.entry_index in self.stopped_instances:
            agent.entry_index = (agent.entry_index + 1) % self.deployment.entry_count
            self._submit(agent, turn, kind)
            return
        self._last_call += 1
        self.submitted_calls += 1
        call = CallId(self._last_call)
        job = self._create_job(call, agent, kind)
        self._calls[call] = _CallRecord(
            call, job, agent.entry_index, agent, turn, self.now
        )
        agent.call = call
        self._apply(agent.entry_index, Submit(job))

    def _create_job(self, call: CallId, agent: _Agent, kind: RouteKind) -> Job:
        spec = agent.spec
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
            prompt_tokens=agent.history_tokens,
        )

    def _finish_model_call(self, record: _CallRecord, outcome: Outcome) -> None:
        agent, turn = record.agent, record.turn
        agent.history_tokens += outcome.output_tokens
        agent.call = None
        if turn.service_s:
            self._submit(agent, turn, RouteKind.SERVICE)
        else:
            self._continue_turn(agent, turn)

    def _continue_turn(self, agent: _Agent, turn: TurnSpec) -> None:
        agent.call = None
        if turn.sub_agents:
            agent.running_sub_agents = len(turn.sub_agents)
            for spec in turn.sub_agents:
                self._start_sub_agent(agent, spec, turn)
            return
        self._finish_turn(agent, turn)

    def _start_sub_agent(
        self, parent: _Agent, spec: ProgramSpec, turn: TurnSpec
    ) -> None:
        def finish() -> None:
            parent.running_sub_agents -= 1
            if parent.running_sub_agents == 0 and not parent.ended:
                self._finish_turn(parent, turn)

        sub_agent = _Agent(spec, parent.entry_index, self.now, finish)
        parent.sub_agents.append(sub_agent)
        self._start_turn(sub_agent)

    def _finish_turn(self, agent: _Agent, turn: TurnSpec) -> None:
        if agent.turn_index + 1 == len(agent.spec.turns):
            agent.ended = True
            agent.on_finished()
            self._announce_end(agent)
            return
        agent.turn_index += 1
        agent.paused_s += turn.pause_s
        self.network.schedule(turn.pause_s, lambda: self._start_turn(agent))

    def _abandon_program(self, agent: _Agent) -> None:
        if agent.ended:
            return
        self._stop_agent(agent)
        delay_s = 0.0 if agent.spec.announces_end else UNANNOUNCED_END_TIMEOUT_S
        self.network.schedule(delay_s, lambda: self._announce_end(agent))

    def _stop_agent(self, agent: _Agent) -> None:
        """End a program and its sub-agents, and cancel their calls."""
        agent.ended = True
        for sub_agent in agent.sub_agents:
            if not sub_agent.ended:
                self._stop_agent(sub_agent)
        if agent.call is not None and agent.call in self._calls:
            self._cancel(agent.call)

    def _cancel(self, call: CallId) -> None:
        record = self._calls.pop(call)
        self.cancelled_calls += 1
        if record.placement is None:
            self._apply(record.entry_index, Cancel(call))
            return
        name = record.placement.endpoint
        self._apply(record.entry_index, Finish(call, Outcome(Result.CANCELLED)))

        def run() -> None:
            self._calls_by_model_call.pop(ModelCall(call), None)
            engine = self.engines.get(name)
            if engine is not None:
                self._advance(name)
                engine.cancel(ModelCall(call))
                self._schedule_wake(name)

        self.network.schedule(self.deployment.one_way_s, run)

    def _announce_end(self, agent: _Agent) -> None:
        keys = [CacheKey(agent.spec.program)]
        keys += [CacheKey(sub_agent.spec.program) for sub_agent in agent.sub_agents]
        program = agent.spec.program
        self._apply(agent.entry_index, EndProgram(program, tuple(keys)))

    # Faults.

    def stop_instance(self, index: int) -> None:
        """Stop an instance permanently; its callers retry at another one."""
        self.stopped_instances.add(index)
        interrupted = [
            record for record in self._calls.values() if record.entry_index == index
        ]
        for record in interrupted:
            del self._calls[record.call]
            self._cancel_at_engine(record)
            self.network.schedule(
                INSTANCE_LOSS_DETECTION_S,
                lambda record=record: self._retry(record),  # type: ignore[misc]
            )

    def _cancel_at_engine(self, record: _CallRecord) -> None:
        if record.placement is None:
            return
        engine = self.engines.get(record.placement.endpoint)
        if engine is not None:
            self._advance(record.placement.endpoint)
            engine.cancel(ModelCall(record.call))
            self._schedule_wake(record.placement.endpoint)
