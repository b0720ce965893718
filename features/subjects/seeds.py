"""Run a test subject once per seed, and collect the violations found."""

from abc import ABC, abstractmethod


class SeedRuns(ABC):
    """Runs a fault run for each seed of a range."""

    def __init__(self, run_class: type, network_class: type) -> None:
        self.run_class = run_class
        self.network_class = network_class
        self.runs = 0
        self.violations: list[str] = []

    def run_seeds(
        self, first: int, count: int, stop_at_violation: bool = False
    ) -> None:
        for seed in range(first, first + count):
            run = self.run_class(seed, self.network_class)
            run.run()
            self.runs += 1
            self.violations += [
                f"seed {seed}: {line}" for line in self.find_violations(run)
            ]
            if self.violations and stop_at_violation:
                return

    @abstractmethod
    def find_violations(self, run) -> list[str]:
        """Add a run to the counts, and return the violations found in it."""
