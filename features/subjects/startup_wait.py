"""Callers that return at once to instances that are still starting."""

import random
from collections.abc import Callable

from burdockwall.process.forwarding_entry import NOT_READY_RETRY_S
from burdockwall.process.startup_wait import compute_startup_wait_s

CALLERS = 200
ATTEMPTS = 2
DEADLINE_S = 3.0

ComputeWait = Callable[[float, float | None], float]


def refuse_at_once(age_s: float, deadline_s: float | None) -> float:
    """Return the wait of the way before: none."""
    return 0.0


class ReturningCallers:
    """Callers of an instance that is ready a while after its start."""

    def __init__(self, ready_s: float, seed: int) -> None:
        self.ready_s = ready_s
        self.generator = random.Random(seed)

    def count_lost(self, compute_wait: ComputeWait = compute_startup_wait_s) -> int:
        """Return how many callers have used up their attempts."""
        return sum(self._is_lost(compute_wait) for _ in range(CALLERS))

    def _is_lost(self, compute_wait: ComputeWait) -> bool:
        age_s = self.generator.uniform(0.0, 0.1)
        for _ in range(ATTEMPTS):
            age_s += compute_wait(age_s, DEADLINE_S)
            if age_s >= self.ready_s:
                return False
            age_s += NOT_READY_RETRY_S
        return True
