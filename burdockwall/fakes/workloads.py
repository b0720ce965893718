"""Seeded workloads of agent programs for two deployments."""

import random
from dataclasses import dataclass, field
from enum import Enum

from burdockwall.types import CustomerId, PriorityClass, ProgramId, RouteName


class Ending(Enum):
    """Ways in which a program ends."""

    FINISHED = "finished"
    ABANDONED = "left"


@dataclass(frozen=True, slots=True)
class ProgramKind:
    """Distribution of the programs of one route.

    `shared_tokens` is the length of the prefix that all prompts of the route share.
    `turn_tokens`, `output_tokens` and `pause_s` are medians. `share` is the share of a
    deployment's programs, `service_share` the share of turns that call a service, and
    `sub_agent_share` the share of turns that start sub-agents.
    """

    route: RouteName
    priority: PriorityClass
    share: float
    mean_turns: float
    shared_tokens: int
    turn_tokens: int
    output_tokens: int
    pause_s: float
    service_share: float = 0.3
    sub_agent_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of a deployment, its kinds of programs and its network delays.

    `one_way_s` is the one-way delay between an entry instance and an endpoint, and
    `caller_one_way_s` that between a caller and an entry instance.
    `customer_shares` are the shares of programs per customer.
    """

    name: str
    kinds: tuple[ProgramKind, ...]
    engine_count: int
    server_count: int
    entry_count: int
    one_way_s: float
    caller_one_way_s: float = 0.003
    customer_shares: tuple[float, ...] = (
        0.30,
        0.25,
        0.15,
        0.10,
        0.08,
        0.06,
        0.04,
        0.02,
    )
    failure_domain_count: int = 3


@dataclass(slots=True)
class TurnSpec:
    """A turn: new prompt tokens, answer tokens, and the tool pause after the turn.

    `service_s` is the work of the service call that follows, or 0 where there is none.
    The sub-agents run after that call and before the pause. `changes_instance` says
    that the caller picks a new entry instance for this turn.
    """

    new_tokens: int
    output_tokens: int
    pause_s: float
    service_s: float
    changes_instance: bool
    sub_agents: list["ProgramSpec"] = field(default_factory=list)


@dataclass(slots=True)
class ProgramSpec:
    """One program or sub-agent, as its caller runs it.

    `entry_index` numbers the entry instance of the first turn. Where the caller
    abandons the program, it does so `abandon_after_s` after the start of the turn
    `abandon_turn`, and `announces_end` says whether the instances learn of it at once.
    """

    program: ProgramId
    root: ProgramId
    customer: CustomerId
    kind: ProgramKind
    start_s: float
    entry_index: int
    turns: list[TurnSpec]
    ending: Ending = Ending.FINISHED
    abandon_turn: int = 0
    abandon_after_s: float = 0.0
    announces_end: bool = True


ASSOCIATION = Deployment(
    "association",
    (
        ProgramKind(
            RouteName("ping"), PriorityClass.URGENT, 0.30, 1.3, 600, 80, 40, 0.5
        ),
        ProgramKind(
            RouteName("inspection"),
            PriorityClass.NORMAL,
            0.45,
            8,
            2000,
            350,
            120,
            1.0,
            0.3,
            0.08,
        ),
        ProgramKind(
            RouteName("certificate"),
            PriorityClass.NORMAL,
            0.25,
            16,
            3000,
            700,
            200,
            1.0,
            0.4,
            0.10,
        ),
    ),
    engine_count=5,
    server_count=3,
    entry_count=6,
    one_way_s=0.0015,
)
ARMORIQUE = Deployment(
    "armorique",
    (
        ProgramKind(
            RouteName("release"), PriorityClass.HIGH, 0.25, 3, 1200, 200, 80, 0.8, 0.6
        ),
        ProgramKind(
            RouteName("provenance"),
            PriorityClass.NORMAL,
            0.25,
            16,
            2500,
            800,
            200,
            1.2,
            0.4,
            0.12,
        ),
        ProgramKind(
            RouteName("cellar"), PriorityClass.LOW, 0.50, 7, 2000, 300, 130, 1.0, 0.3
        ),
    ),
    engine_count=5,
    server_count=4,
    entry_count=9,
    one_way_s=0.001,
)
DEPLOYMENTS = (ASSOCIATION, ARMORIQUE)

ABANDONED_SHARE = 0.6
# Share of the abandoned programs whose end the caller does not announce.
UNANNOUNCED_SHARE = 0.3
INSTANCE_CHANGE_SHARE = 0.1
# Standard deviations of the logarithms of token counts and pauses.
TOKEN_SIGMA = 0.7
PAUSE_SIGMA = 1.4
MAX_PAUSE_S = 120.0
# Mean time from the start of a turn until the caller abandons the program.
MEAN_ABANDON_DELAY_S = 3.0
MAX_TURNS = 80
SERVICE_MEDIAN_S = 0.03


def list_customers(deployment: Deployment) -> list[CustomerId]:
    """List the customers of a deployment, the one with the largest share first."""
    count = len(deployment.customer_shares)
    return [CustomerId(f"customer-{number}") for number in range(1, count + 1)]


@dataclass(slots=True)
class _Generator:
    deployment: Deployment
    random: random.Random
    program_count: int = 0

    def draw_lognormal(self, median: float, sigma: float) -> float:
        return median * self.random.lognormvariate(0.0, sigma)

    def draw_turn_count(self, mean: float) -> int:
        turns = 1
        while turns < MAX_TURNS and self.random.random() > 1.0 / mean:
            turns += 1
        return turns

    def create_program(
        self,
        customer: CustomerId,
        kind: ProgramKind,
        start_s: float,
        root: ProgramId | None = None,
    ) -> ProgramSpec:
        self.program_count += 1
        program = ProgramId(f"{kind.route}-{self.program_count}")
        spec = ProgramSpec(
            program,
            root or program,
            customer,
            kind,
            start_s,
            self.random.randrange(self.deployment.entry_count),
            [],
        )
        turns = self.draw_turn_count(kind.mean_turns if root is None else 2.5)
        spec.turns = [self.create_turn(spec, root is None) for _ in range(turns)]
        if root is None and self.random.random() < ABANDONED_SHARE:
            self.abandon(spec)
        return spec

    def create_turn(self, spec: ProgramSpec, may_have_sub_agents: bool) -> TurnSpec:
        kind = spec.kind
        calls_service = self.random.random() < kind.service_share
        turn = TurnSpec(
            max(8, int(self.draw_lognormal(kind.turn_tokens, TOKEN_SIGMA))),
            max(4, int(self.draw_lognormal(kind.output_tokens, TOKEN_SIGMA))),
            min(MAX_PAUSE_S, self.draw_lognormal(kind.pause_s, PAUSE_SIGMA)),
            self.draw_lognormal(SERVICE_MEDIAN_S, 1.0) if calls_service else 0.0,
            self.random.random() < INSTANCE_CHANGE_SHARE,
        )
        if may_have_sub_agents and self.random.random() < kind.sub_agent_share:
            turn.sub_agents = [
                self.create_program(spec.customer, kind, 0.0, spec.root)
                for _ in range(self.random.randint(1, 3))
            ]
        return turn

    def abandon(self, spec: ProgramSpec) -> None:
        spec.ending = Ending.ABANDONED
        spec.abandon_turn = self.random.randrange(len(spec.turns))
        spec.abandon_after_s = self.random.expovariate(1.0 / MEAN_ABANDON_DELAY_S)
        spec.announces_end = self.random.random() >= UNANNOUNCED_SHARE


def generate_workload(
    deployment: Deployment,
    seed: int,
    programs_per_s: float,
    duration_s: float,
    customer_factors: dict[CustomerId, float] | None = None,
) -> list[ProgramSpec]:
    """Generate programs in the order of their start.

    `customer_factors` multiply the rates of customers. Each customer has its own random
    generator, so the factor of one customer does not change the programs of another.
    """
    factors = customer_factors or {}
    programs: list[ProgramSpec] = []
    for index, customer in enumerate(list_customers(deployment)):
        rng = random.Random(f"{seed} {customer}")
        generator = _Generator(deployment, rng, index * 1_000_000)
        share = deployment.customer_shares[index]
        rate = programs_per_s * share * factors.get(customer, 1.0)
        start_s = rng.expovariate(rate)
        while start_s < duration_s:
            kind = _draw_kind(deployment, rng)
            programs.append(generator.create_program(customer, kind, start_s))
            start_s += rng.expovariate(rate)
    return sorted(programs, key=lambda item: (item.start_s, item.program))


def _draw_kind(deployment: Deployment, rng: random.Random) -> ProgramKind:
    kinds = deployment.kinds
    return rng.choices(kinds, [kind.share for kind in kinds])[0]
