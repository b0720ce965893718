"""Run seeded workloads under several policies and collect the results of programs."""

from dataclasses import dataclass, field

from msgspec.structs import replace

from burdockwall.fakes.scheduling_site import SchedulingSite
from burdockwall.fakes.workloads import (
    ARMORIQUE,
    ASSOCIATION,
    Deployment,
    Ending,
    ProgramSpec,
    generate_workload,
    list_customers,
)
from burdockwall.process.scheduling.policy import Policy, QueueOrder, Routing, Window
from burdockwall.types import CustomerId, ProgramId

WARM_UP_END_S = 300.0
MEASURED_UNTIL_S = 700.0
ARRIVALS_END_S = 1000.0
RUN_LIMIT_S = 4000.0
STEP_S = 50.0
FLOODING_CUSTOMER_INDEX = 1
FLOOD_FACTOR = 4.0
BASE = Policy(
    routing=Routing.LEAST_OUTSTANDING,
    order=QueueOrder.FCFS,
    window=Window.UNLIMITED,
    pass_priorities=False,
    release_cache=False,
)
BASELINES = {
    "round_robin": replace(BASE, routing=Routing.ROUND_ROBIN),
    "least_outstanding": BASE,
    "fcfs_by_call": replace(BASE, window=Window.SPLIT),
}
BURDOCKWALL = "burdockwall"
POLICIES = {**BASELINES, BURDOCKWALL: Policy()}
# Rates in programs a second. With the policy of least outstanding calls they keep the
# engines in prefill for about 80% of the time; each run reports the measured share.
RATES = {ASSOCIATION.name: 1.15, ARMORIQUE.name: 1.1}


@dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one run.

    With `has_flood`, one customer starts `FLOOD_FACTOR` times as many programs.
    """

    deployment: Deployment
    policy: str
    seed: int
    has_flood: bool = False


@dataclass(slots=True)
class RunResult:
    """Measurements of one run; times in seconds.

    `prefill_share` is the mean share of time in which an engine prefills, from the end
    of the warm-up to the end of the arrivals.
    """

    case: Case
    latency_s: dict[ProgramId, float] = field(default_factory=dict)
    latency_without_pauses_s: dict[ProgramId, float] = field(default_factory=dict)
    customers: dict[ProgramId, CustomerId] = field(default_factory=dict)
    priorities: dict[ProgramId, str] = field(default_factory=dict)
    unfinished: int = 0
    wasted_token_s: float = 0.0
    prefill_share: float = 0.0
    failed_calls: int = 0

    def list_latencies(self, priority: str = "") -> list[float]:
        """List the latencies of all programs, or of those of one class."""
        return [
            latency
            for program, latency in self.latency_s.items()
            if priority in ("", self.priorities[program])
        ]


def run_case(
    case: Case, slow_endpoint: bool = False, stop_instance: bool = False
) -> RunResult:
    """Run one case until every measured program has finished, or the time limit.

    Measured are the programs that start after the warm-up and before
    `MEASURED_UNTIL_S` and that their callers do not abandon.
    """
    deployment = case.deployment
    policy = replace(POLICIES[case.policy], instances=deployment.entry_count)
    factors = {}
    if case.has_flood:
        factors[list_customers(deployment)[FLOODING_CUSTOMER_INDEX]] = FLOOD_FACTOR
    rate = RATES[deployment.name]
    programs = generate_workload(deployment, case.seed, rate, ARRIVALS_END_S, factors)
    measured = [
        spec
        for spec in programs
        if WARM_UP_END_S <= spec.start_s < MEASURED_UNTIL_S
        and spec.ending is Ending.FINISHED
    ]
    site = SchedulingSite(deployment, policy, case.seed)
    _schedule_faults(site, slow_endpoint, stop_instance)
    site.schedule_programs(programs)
    prefilling_s: list[float] = []
    for time_s in (WARM_UP_END_S, ARRIVALS_END_S):
        site.network.schedule(
            time_s, lambda: prefilling_s.append(_compute_prefilling_s(site))
        )
    site.network.run_until(ARRIVALS_END_S)
    while site.now < RUN_LIMIT_S and not _all_finished(site, measured):
        site.network.run_until(site.now + STEP_S)
    site.add_remaining_waste()
    run = RunResult(case, failed_calls=site.failed_calls)
    run.prefill_share = (prefilling_s[1] - prefilling_s[0]) / (
        ARRIVALS_END_S - WARM_UP_END_S
    )
    run.wasted_token_s = sum(item.wasted_token_s for item in site.engines.values())
    for spec in measured:
        _record_program(run, site, spec)
    return run


def _schedule_faults(
    site: SchedulingSite, slow_endpoint: bool, stop_instance: bool
) -> None:
    if slow_endpoint:
        engine = next(iter(site.engines.values()))

        def slow_down() -> None:
            engine.advance(site.now)
            engine.speed = 0.2

        site.network.schedule(WARM_UP_END_S, slow_down)
    if stop_instance:
        site.network.schedule(WARM_UP_END_S + 50.0, lambda: site.stop_instance(1))


def _compute_prefilling_s(site: SchedulingSite) -> float:
    engines = site.engines.values()
    return sum(engine.prefilling_s for engine in engines) / len(engines)


def _all_finished(site: SchedulingSite, programs: list[ProgramSpec]) -> bool:
    return all(site.results[spec.program].finished for spec in programs)


def _record_program(run: RunResult, site: SchedulingSite, spec: ProgramSpec) -> None:
    result = site.results[spec.program]
    program = spec.program
    run.customers[program] = spec.customer
    run.priorities[program] = spec.kind.priority.value
    if result.finished:
        run.latency_s[program] = result.latency_s
        run.latency_without_pauses_s[program] = result.latency_without_pauses_s
    else:
        # The latency of an unfinished program is its time since the start.
        run.unfinished += 1
        run.latency_s[program] = site.now - result.started_s
        run.latency_without_pauses_s[program] = site.now - result.started_s
