"""The results of benchmarks, each printed as one line of JSON."""

import msgspec


class Result(msgspec.Struct, frozen=True):
    """One measured figure, its baseline from the same run, and its upper bound.

    `ratio` is the value divided by the baseline. `holds` says whether the value or the
    ratio is within the bound, and is None without a bound.
    """

    name: str
    value: float
    unit: str
    seed: int = 0
    baseline: float | None = None
    ratio: float | None = None
    bound: float | None = None
    holds: bool | None = None


def create_result(
    name: str,
    value: float,
    unit: str,
    seed: int = 0,
    baseline: float | None = None,
    bound: float | None = None,
    bound_on_ratio: bool = False,
) -> Result:
    """Create a result with an upper bound on the value, or on the ratio instead."""
    ratio = value / baseline if baseline else None
    measured = ratio if bound_on_ratio else value
    holds = None
    if bound is not None:
        holds = measured is not None and measured <= bound
    return Result(name, value, unit, seed, baseline, ratio, bound, holds)
