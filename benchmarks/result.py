"""Describe the result of a benchmark as one JSON object a line."""

import msgspec


class Result(msgspec.Struct, frozen=True):
    """Hold one figure, its baseline in the same run, and the bound on it.

    `ratio` is value over baseline; `holds` is None where no bound is stated.
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
    """Create a result; the bound is an upper one, on the value or on the ratio."""
    ratio = value / baseline if baseline else None
    measured = ratio if bound_on_ratio else value
    holds = None
    if bound is not None:
        holds = measured is not None and measured <= bound
    return Result(name, value, unit, seed, baseline, ratio, bound, holds)
