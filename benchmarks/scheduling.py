"""Compare program latency, wasted cache and fairness with three baseline policies."""

import random
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from benchmarks._quantiles import compute_quantile
from benchmarks._scheduling_runs import (
    BASELINES,
    BURDOCKWALL,
    FLOODING_CUSTOMER_INDEX,
    Case,
    RunResult,
    run_case,
)
from benchmarks.result import Result, create_result
from burdockwall.fakes.workloads import DEPLOYMENTS, Deployment, list_customers
from burdockwall.process.scheduling.jobs import (
    Finish,
    Job,
    Outcome,
    Result as CallResult,
    Start,
    Submit,
    Target,
    TargetsInstalled,
)
from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.reports import CacheKey
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

SEEDS = range(1, 11)
PROCESSES = 4
MEDIAN_BOUND = 0.6
TAIL_BOUND = 0.7
WASTED_CACHE_BOUND = 0.2
FAIRNESS_BOUND = 1.3
DECISION_BOUND_US = 1000.0
ENDPOINT_COUNTS = (5, 50, 500, 2200)
CUSTOMER_COUNTS = (8, 480, 4800)
DECISION_COUNT = 5000
BACKLOG_CALLS = 2000
POOL = PoolName("llm")
DOMAIN_COUNT = 15

ComputeFigure = Callable[[RunResult], float]


def list_cases() -> list[Case]:
    """List every run of the benchmark."""
    cases = []
    for seed in SEEDS:
        for deployment in DEPLOYMENTS:
            for policy in (*BASELINES, BURDOCKWALL):
                cases.append(Case(deployment, policy, seed))
            cases.append(Case(deployment, BURDOCKWALL, seed, has_flood=True))
    return cases


def measure() -> list[Result]:
    """Run every case, and compare the policies."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        runs = {run.case: run for run in pool.map(run_case, list_cases())}
    results = []
    for deployment in DEPLOYMENTS:
        results.extend(compare_latency(deployment, runs))
        results.extend(compare_fairness(deployment, runs))
    return results + measure_decisions()


def compare_latency(
    deployment: Deployment, runs: dict[Case, RunResult]
) -> list[Result]:
    """Compare latency and waste with the best baseline of each seed."""
    name = f"scheduling.{deployment.name}"
    measures: dict[str, tuple[ComputeFigure, float | None]] = {
        "program_p50": (_create_latency_quantile(0.5), MEDIAN_BOUND),
        "program_p95": (_create_latency_quantile(0.95), TAIL_BOUND),
        "program_p99": (_create_latency_quantile(0.99), None),
        "in_system_p50": (lambda run: _compute_without_pauses(run, 0.5), None),
        "in_system_p95": (lambda run: _compute_without_pauses(run, 0.95), None),
    }
    for priority in sorted({kind.priority.value for kind in deployment.kinds}):
        for quantile in (0.5, 0.95, 0.99):
            measures[f"{priority}_p{quantile * 100:.0f}"] = (
                _create_latency_quantile(quantile, priority),
                None,
            )
    results = []
    for label, (compute, bound) in measures.items():
        results.extend(
            _compare(f"{name}.{label}", deployment, runs, compute, "s", bound)
        )
    results.extend(
        _compare(
            f"{name}.wasted_cache",
            deployment,
            runs,
            lambda run: run.wasted_token_s,
            "token s",
            WASTED_CACHE_BOUND,
        )
    )
    for policy in (*BASELINES, BURDOCKWALL):
        shares = [runs[Case(deployment, policy, seed)].prefill_share for seed in SEEDS]
        label = f"{name}.prefill_share.{policy}"
        results.append(create_result(label, statistics.median(shares), "share"))
    unfinished = sum(
        run.unfinished for case, run in runs.items() if case.deployment is deployment
    )
    results.append(create_result(f"{name}.unfinished", unfinished, "programs"))
    return results


def _create_latency_quantile(quantile: float, priority: str = "") -> ComputeFigure:
    def compute(run: RunResult) -> float:
        return compute_quantile(run.list_latencies(priority), quantile)

    return compute


def _compute_without_pauses(run: RunResult, quantile: float) -> float:
    return compute_quantile(list(run.latency_without_pauses_s.values()), quantile)


def _compare(
    name: str,
    deployment: Deployment,
    runs: dict[Case, RunResult],
    compute: ComputeFigure,
    unit: str,
    bound: float | None,
) -> list[Result]:
    """Return the median, lowest and highest ratio to the best baseline over seeds."""
    ratios, values, bests = [], [], []
    for seed in SEEDS:
        value = compute(runs[Case(deployment, BURDOCKWALL, seed)])
        best = min(compute(runs[Case(deployment, item, seed)]) for item in BASELINES)
        values.append(value)
        bests.append(best)
        ratios.append(value / best)
    return [
        create_result(f"{name}.value", statistics.median(values), unit),
        create_result(f"{name}.best_baseline", statistics.median(bests), unit),
        create_result(f"{name}.ratio", statistics.median(ratios), "", bound=bound),
        create_result(f"{name}.ratio_low", min(ratios), ""),
        create_result(f"{name}.ratio_high", max(ratios), ""),
    ]


def compare_fairness(
    deployment: Deployment, runs: dict[Case, RunResult]
) -> list[Result]:
    """Compare the programs of the other customers with and without a flood of one."""
    flooding = list_customers(deployment)[FLOODING_CUSTOMER_INDEX]
    worst = [
        _compute_worst_ratio(
            runs[Case(deployment, BURDOCKWALL, seed)],
            runs[Case(deployment, BURDOCKWALL, seed, has_flood=True)],
            flooding,
        )
        for seed in SEEDS
    ]
    name = f"scheduling.{deployment.name}.worst_customer"
    return [
        create_result(name, statistics.median(worst), "", bound=FAIRNESS_BOUND),
        create_result(f"{name}.low", min(worst), ""),
        create_result(f"{name}.high", max(worst), ""),
    ]


def _compute_worst_ratio(
    without_flood: RunResult, with_flood: RunResult, flooding: CustomerId
) -> float:
    """Return the largest ratio of a customer's latency with and without the flood.

    Only customers other than the flooding one are compared, by the sum of the latencies
    of their programs.
    """
    before: dict[CustomerId, float] = {}
    after: dict[CustomerId, float] = {}
    for program, customer in without_flood.customers.items():
        if customer != flooding:
            before[customer] = (
                before.get(customer, 0.0) + without_flood.latency_s[program]
            )
            after[customer] = after.get(customer, 0.0) + with_flood.latency_s[program]
    return max(after[customer] / before[customer] for customer in before)


def measure_decisions() -> list[Result]:
    """Measure the time of the scheduler's decisions for a call, with a backlog."""
    results = []
    for endpoints in ENDPOINT_COUNTS:
        value = _measure_decision(endpoints, CUSTOMER_COUNTS[0])
        name = f"scheduling.decision.endpoints_{endpoints}"
        results.append(create_result(name, value, "us", bound=DECISION_BOUND_US))
    for customers in CUSTOMER_COUNTS:
        value = _measure_decision(ENDPOINT_COUNTS[-1], customers)
        name = f"scheduling.decision.customers_{customers}"
        results.append(create_result(name, value, "us", bound=DECISION_BOUND_US))
    slope = results[len(ENDPOINT_COUNTS) - 1].value / results[0].value
    growth = ENDPOINT_COUNTS[-1] / ENDPOINT_COUNTS[0]
    results.append(
        create_result("scheduling.decision.endpoint_slope", slope, "", bound=growth)
    )
    first, last = results[len(ENDPOINT_COUNTS)], results[len(ENDPOINT_COUNTS) + 2]
    growth = CUSTOMER_COUNTS[-1] / CUSTOMER_COUNTS[0]
    results.append(
        create_result(
            "scheduling.decision.customer_slope",
            last.value / first.value,
            "",
            bound=growth,
        )
    )
    return results


def _measure_decision(endpoints: int, customers: int) -> float:
    """Return the time in microseconds to handle the submission and end of a call."""
    policy = Policy(endpoint_calls=2, instances=1)
    scheduler = Scheduler(policy, FailureDomain("d0"), random.Random(1))
    targets = tuple(
        Target(
            EndpointId(f"endpoint-{number}"),
            POOL,
            FailureDomain(f"d{number % DOMAIN_COUNT}"),
        )
        for number in range(endpoints)
    )
    scheduler.handle(TargetsInstalled(targets), 0.0)
    running: list[CallId] = []
    generator = random.Random(2)
    started_at = time.perf_counter()
    for number in range(BACKLOG_CALLS + DECISION_COUNT):
        if number == BACKLOG_CALLS:
            started_at = time.perf_counter()
        now = number * 0.01
        job = _create_job(number, customers, generator)
        for action in scheduler.handle(Submit(job), now):
            if isinstance(action, Start):
                running.append(action.call)
        if number >= BACKLOG_CALLS and running:
            position = generator.randrange(len(running))
            call = running[position]
            running[position] = running[-1]
            running.pop()
            outcome = Outcome(CallResult.SUCCEEDED, 1.0, 500, 100)
            for action in scheduler.handle(Finish(call, outcome), now):
                if isinstance(action, Start):
                    running.append(action.call)
    return (time.perf_counter() - started_at) / DECISION_COUNT * 1e6


def _create_job(number: int, customers: int, generator: random.Random) -> Job:
    program = f"program-{generator.randrange(20_000)}"
    return Job(
        CallId(number),
        POOL,
        CustomerId(f"customer-{generator.randrange(customers)}"),
        ProgramId(program),
        CacheKey(program),
        generator.choice(list(PriorityClass)),
        prompt_tokens=4000,
    )
