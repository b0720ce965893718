"""Programs of a customer whose callers begin more of them than its rate carries."""

import random
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from burdockwall.fakes.network import NetworkConditions
from burdockwall.process.limits.allowance import WindowAllowance
from burdockwall.process.limits.events import Admit, Admitted, Limit, Refused
from burdockwall.process.limits.excess import ToleratedExcess
from burdockwall.process.limits.fallback import LimitSplit
from burdockwall.process.limits.kinds import Kind, ProgramMark
from burdockwall.process.limits.units import LimitParameters
from burdockwall.types import CallId, CustomerId
from features.subjects.limits import UNITS_PER_REQUEST, LimitNetwork

CUSTOMER = CustomerId("association")
EXCESS = ToleratedExcess(5.0, 0.1, 20.0)
ALLOWANCE = WindowAllowance(EXCESS, LimitSplit(EXCESS))
TURNS = (3, 9)
CALLS = (1, 2)
TURN_S, CALL_S = (0.5, 1.5), (0.1, 0.4)
REQUESTS_MEAN = 6 + 5 * 1.5
# A caller sends a refused request this often, each time after the time to come again.
ATTEMPTS = 3
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


@dataclass(slots=True)
class Outcome:
    """What became of the programs that began while it was measured."""

    carried: float
    counts: Counter = field(default_factory=Counter)
    refused_late: int = 0
    waits: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Return the share of whole programs served of those that the rate carries."""
        return self.counts["whole"] / self.carried


class ProgramNetwork(LimitNetwork):
    """Callers of one customer that begin programs at `load` times its rate.

    Without `whole` all requests are of one kind and wait alike, as they did before
    programs were admitted whole.
    """

    def __init__(
        self, seed: int, instances: int, rate: int, load: float, whole: bool = True
    ) -> None:
        limit = Limit(rate * UNITS_PER_REQUEST, rate * UNITS_PER_REQUEST)
        self.parameters_class = partial(create_parameters, whole)
        self.whole, self.rate, self.load = whole, rate, load
        self.instances = instances
        self.outcome = Outcome(min(1.0, load) * rate * MEASURED_S / REQUESTS_MEAN)
        self.programs: dict[int, tuple[Program, float]] = {}
        self.begun = 0
        super().__init__(
            seed,
            instances,
            {CUSTOMER: ALLOWANCE.enlarge(limit, instances)},
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
        self.begun += 1
        turns = self.random.randint(*TURNS)
        durations = [self.random.uniform(*TURN_S)]
        for _ in range(turns - 1):
            for _ in range(self.random.randint(*CALLS)):
                durations.append(self.random.uniform(*CALL_S))
            durations.append(self.random.uniform(*TURN_S))
        mark = ProgramMark(self.random.getrandbits(62) + 1)
        is_measured = WARM_S <= now < WARM_S + MEASURED_S
        self._send(Program(mark, durations, is_measured=is_measured))
        pace = self.load * self.rate / REQUESTS_MEAN
        self.network.schedule(self.random.expovariate(pace), self._begin)

    def _send(self, program: Program) -> None:
        program.attempts += 1
        up = [name for name in self.names if self.is_up(name)]
        name = self.random.choice(up)
        self.last_call += 1
        call = CallId(self.last_call)
        self.requested[call] = (self.network.now, CUSTOMER)
        self.programs[call] = (program, self.network.now)
        admit = Admit(call, CUSTOMER, UNITS_PER_REQUEST, self.parameters.wait_s)
        if self.whole:
            kind = Kind.IN_FLIGHT if program.done else Kind.START
            admit = Admit(
                call, CUSTOMER, UNITS_PER_REQUEST, PROGRAM_WAIT_S, kind, program.mark
            )
        self.network.apply(name, self.machines[name][0], admit)

    def perform(self, instance, action, now: float) -> None:
        super().perform(instance, action, now)
        program, sent_at = self.programs.pop(action.call)
        match action:
            case Admitted():
                if program.done:
                    self.outcome.waits.append(now - sent_at)
                self._run_request(program)
            case Refused():
                self._retry(program, action.retry_after_s)

    def _run_request(self, program: Program) -> None:
        duration_s = program.durations[program.done]
        program.done += 1
        program.attempts = 0
        if program.done < len(program.durations):
            self.network.schedule(duration_s, partial(self._send, program))
        else:
            self._end(program, "whole")

    def _retry(self, program: Program, retry_s: float) -> None:
        if program.attempts < ATTEMPTS:
            spread = self.random.uniform(1.0, 1.5)
            self.network.schedule(retry_s * spread, partial(self._send, program))
            return
        self._end(program, "lost" if program.done else "refused")

    def _end(self, program: Program, outcome: str) -> None:
        if program.is_measured:
            self.outcome.counts[outcome] += 1


def create_parameters(whole: bool, *arguments) -> LimitParameters:
    """Create parameters with the waits of the users' platform."""
    _, *others = arguments
    program_wait_s = PROGRAM_WAIT_S if whole else 0.0
    return LimitParameters(WAIT_S, *others, 0.15, program_wait_s)
