"""Waits at endpoints by the way in which they are chosen, in decisions alone."""

from statistics import mean

from benchmarks.result import Result, create_result
from burdockwall.fakes.placement_runs import Choice, PlacementRun

SEEDS = range(1, 4)
DURATION_S = 6.0
SINCE_S = 2.0
INSTANCES = (6, 50, 200)
LOADS = (0.95,)
WAIT_BOUND = 1.3
MS_PER_S = 1000


def measure_wait_ms(choice: Choice, instances: int, load: float) -> float:
    """Return the mean wait over the seeds."""
    waits = []
    for seed in SEEDS:
        run = PlacementRun(seed, choice, instances, load)
        run.run(DURATION_S)
        waits.append(run.measure_wait_s(SINCE_S) * MS_PER_S)
    return mean(waits)


def measure() -> list[Result]:
    """Measure each way against one perfect dispatcher."""
    results = []
    for load in LOADS:
        for instances in INSTANCES:
            perfect = measure_wait_ms(Choice.PERFECT, instances, load)
            for choice in Choice:
                wait = measure_wait_ms(choice, instances, load)
                name = f"wait by {choice.value}, {instances} instances, load {load}"
                bound = WAIT_BOUND if choice is Choice.WORK else None
                results.append(create_result(name, wait, "ms", 0, perfect, bound, True))
    return results
