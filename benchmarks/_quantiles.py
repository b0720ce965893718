"""Quantiles of measured values."""


def compute_quantile(values: list[float], quantile: float) -> float:
    """Return the value at a quantile from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
