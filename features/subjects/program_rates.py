"""Programs of a customer whose callers begin more of them than its rate carries."""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from burdockwall.fakes.network import NetworkConditions
from burdockwall.process.limits.allowance import WindowAllowance
from burdockwall.process.limits.events import (
    Admit,
    Admitted,
    Limit,
    Reason,
    Refused,
)
from burdockwall.process.limits.excess import ToleratedExcess
from burdockwall.process.limits.fallback import LimitSplit
from burdockwall.process.limits.kinds import Kind, ProgramMark
from burdockwall.process.limits.units import LimitParameters
from burdockwall.types import CallId, CustomerId, InstanceId
from burdockwall.version.shards import find_customer_shard
from features.subjects.limits import UNITS_PER_REQUEST, LimitNetwork

CUSTOMER = CustomerId("association")
OTHER, OTHER_RATE = CustomerId("other"), 20
EXCESS = ToleratedExcess(5.0, 0.1, 20.0)
ALLOWANCE = WindowAllowance(EXCESS, LimitSplit(EXCESS))
TURNS = (3, 9)
CALLS = (1, 2)
TURN_S, CALL_S = (0.5, 1.5), (0.1, 0.4)
REQUESTS_MEAN = 6 + 5 * 1.5
# A caller sends a refused request this often, each time after the time to come again.
ATTEMPTS = 3
# Reasons for which a request of a program under way asks again, as the gate does.
UNREACHABLE = (Reason.OWNER_UNREACHABLE, Reason.OWNER_STARTING, Reason.OWNER_MOVED)
OWNER_RETRY_S, DOWN_S, SILENT_S = 0.1, 1.0, 2.0
WAIT_S, PROGRAM_WAIT_S = 0.6, 4.0
WARM_S, MEASURED_S = 20.0, 60.0


@dataclass(slots=True)
class Program:
    """A program with the durations of the requests that it has yet to make."""

    mark: ProgramMark
    durations: list[float]
    done: int = 0
    attempts: int = 0
    is_measured: bool = False
    measured: int = 0
    waits_since: float | None = None


@dataclass(slots=True)
class Outcome:
    """What became of the programs that began while it was measured.

    `offered` counts their requests, and `served` the requests that were admitted
    meanwhile and belong to whole programs.
    """

    rate: int
    counts: Counter = field(default_factory=Counter)
    offered: int = 0
    served: int = 0
    waits: list[float] = field(default_factory=list)
    other_waits: dict[CustomerId, list[float | None]] = field(
        default_factory=lambda: {CUSTOMER: [], OTHER: []}
    )

    @property
    def served_share(self) -> float:
        """Return the share of whole programs served of those that the rate carries.

        Programs are weighed by the requests that they made meanwhile.
        """
        return self.served / min(self.offered, self.rate * MEASURED_S)


class ProgramNetwork(LimitNetwork):
    """Callers of one customer that begin programs at `load` times its rate.

    Without `whole` all requests are of one kind and wait alike, as they did before
    programs were admitted whole.
    """

    def __init__(
        self, seed: int, instances: int, rate: int, load: float, whole: bool = True
    ) -> None:
        self.is_even = False
        self.parameters_class = partial(create_parameters, whole)
        self.whole, self.rate, self.load = whole, rate, load
        self.instances = instances
        self.outcome = Outcome(rate)
        self.programs: dict[int, tuple[Program, float, InstanceId]] = {}
        super().__init__(
            seed,
            instances,
            {
                CUSTOMER: create_limit(rate, instances),
                OTHER: create_limit(OTHER_RATE, instances),
            },
            NetworkConditions(0.0005, 0.0009),
            horizon_s=0.8,
        )

    def run(self) -> Outcome:
        """Run the load, and return what became of the programs."""
        self.network.schedule(2.0, self._begin)
        self.network.run_until(WARM_S + MEASURED_S + 60.0)
        return self.outcome

    def _begin(self) -> None:
        now = self.network.now
        if now > WARM_S + MEASURED_S + 30.0:
            return
        turns = self.random.randint(*TURNS)
        durations = [self.random.uniform(*TURN_S)]
        for _ in range(turns - 1):
            for _ in range(self.random.randint(*CALLS)):
                durations.append(self.random.uniform(*CALL_S))
            durations.append(self.random.uniform(*TURN_S))
        mark = ProgramMark(self.random.getrandbits(62) + 1)
        self._send(Program(mark, durations, is_measured=is_measured(now)))
        pace = self.load * self.rate / REQUESTS_MEAN
        gap_s = 1 / pace if self.is_even else self.random.expovariate(pace)
        self.network.schedule(gap_s, self._begin)

    def ask_alone(self, customer: CustomerId, pace: float) -> None:
        """Send requests without a program from now on."""
        if self.network.now < WARM_S + MEASURED_S:
            up = [name for name in self.names if self.is_up(name)]
            self.request(self.random.choice(up), customer)
            ask = partial(self.ask_alone, customer, pace)
            self.network.schedule(self.random.expovariate(pace), ask)

    def _send(self, program: Program) -> None:
        now = self.network.now
        if program.waits_since is None:
            program.waits_since = now
            program.attempts += 1
        up = [name for name in self.names if self.is_up(name)]
        name = self.random.choice(up)
        self.last_call += 1
        call = CallId(self.last_call)
        self.requested[call] = (self.network.now, CUSTOMER)
        self.programs[call] = (program, now, name)
        wait_s = max(0.0, program.waits_since + PROGRAM_WAIT_S - now)
        admit = Admit(call, CUSTOMER, UNITS_PER_REQUEST, self.parameters.wait_s)
        if self.whole:
            kind = Kind.IN_FLIGHT if program.done else Kind.START
            admit = Admit(call, CUSTOMER, UNITS_PER_REQUEST, wait_s, kind, program.mark)
        self.network.apply(name, self.machines[name][0], admit)

    def perform(self, instance, action, now: float) -> None:
        requested_at = self.requested[action.call][0]
        super().perform(instance, action, now)
        if action.call not in self.programs:
            is_admitted = isinstance(action, Admitted)
            wait_s = now - requested_at if is_admitted else None
            self.outcome.other_waits[action.customer].append(wait_s)
            return
        program, sent_at, _ = self.programs.pop(action.call)
        match action:
            case Admitted():
                if program.done:
                    self.outcome.waits.append(now - sent_at)
                self._run_request(program)
            case Refused():
                self._retry(program, action, now)

    def _run_request(self, program: Program) -> None:
        duration_s = program.durations[program.done]
        program.done += 1
        program.attempts, program.waits_since = 0, None
        program.measured += is_measured(self.network.now)
        if program.done < len(program.durations):
            self.network.schedule(duration_s, partial(self._send, program))
        else:
            self._end(program, "whole")

    def _retry(self, program: Program, refused: Refused, now: float) -> None:
        send = partial(self._send, program)
        since = program.waits_since
        is_late = since is None or now - since > PROGRAM_WAIT_S - OWNER_RETRY_S
        waits = self.whole and program.done and refused.reason in UNREACHABLE
        if waits and not is_late:
            self.network.schedule(OWNER_RETRY_S, send)
            return
        program.waits_since = None
        if program.attempts < ATTEMPTS:
            spread = self.random.uniform(1.0, 1.5)
            self.network.schedule(refused.retry_after_s * spread, send)
            return
        self._end(program, "lost" if program.done else "refused")

    # Faults.

    def _get_owner(self) -> InstanceId:
        return self.views[find_customer_shard(CUSTOMER)].primary

    def crash_owner(self) -> None:
        """Crash the owner of the rate, and start it again."""
        self._crash_for_a_while(self._get_owner())

    def crash_other(self) -> None:
        """Crash an instance that does not own the rate, and start it again."""
        others = [name for name in self.names if name != self._get_owner()]
        self._crash_for_a_while(self.random.choice(others))

    def _crash_for_a_while(self, name: InstanceId) -> None:
        self.crash(name)
        self.network.schedule(DOWN_S, partial(self.start, name))
        # Callers whose connection broke send their requests to another instance.
        for call, (program, _, instance) in list(self.programs.items()):
            if instance == name:
                del self.programs[call]
                self.network.schedule(OWNER_RETRY_S, partial(self._send, program))

    def silence_owner(self) -> None:
        """Cut the owner of the rate off from all others for a while."""
        self.network.isolate(self._get_owner())
        self.network.schedule(SILENT_S, self.network.heal)

    def halve_rate(self) -> None:
        """Halve the rate, or restore it."""
        full = create_limit(self.rate, self.instances)
        is_full = self.limits[CUSTOMER] == full
        half = create_limit(self.rate / 2, self.instances)
        self.change_limit(CUSTOMER, half if is_full else full)

    def _end(self, program: Program, outcome: str) -> None:
        if outcome == "whole":
            self.outcome.served += program.measured
        if program.is_measured:
            self.outcome.counts[outcome] += 1
            self.outcome.offered += len(program.durations)


def create_limit(rate: float, instances: int) -> Limit:
    """Create a limit as the users' platform has it, counted over a window."""
    units = int(rate * UNITS_PER_REQUEST)
    return ALLOWANCE.enlarge(Limit(units, units), instances)


def is_measured(now: float) -> bool:
    """Return whether a time is within what is measured."""
    return WARM_S <= now < WARM_S + MEASURED_S


def create_parameters(whole: bool, *arguments) -> LimitParameters:
    """Create parameters with the waits of the users' platform."""
    _, *others = arguments
    program_wait_s = PROGRAM_WAIT_S if whole else 0.0
    return LimitParameters(WAIT_S, *others, 0.15, program_wait_s)
