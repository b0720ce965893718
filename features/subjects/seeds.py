"""Play runs drawn from seeds, and collect what broke in them."""

from abc import ABC, abstractmethod


class SeedRuns(ABC):
    """Play a run for each of many seeds."""

    def __init__(self, run_class: type, network_class: type) -> None:
        self.run_class = run_class
        self.network_class = network_class
        self.runs = 0
        self.broken: list[str] = []

    def run_seeds(self, first: int, count: int, stop_at_broken: bool = False) -> None:
        for seed in range(first, first + count):
            run = self.run_class(seed, self.network_class)
            run.run()
            self.runs += 1
            self.broken += [f"seed {seed}: {line}" for line in self.judge(run)]
            if self.broken and stop_at_broken:
                return

    @abstractmethod
    def judge(self, run) -> list[str]:
        """Count what a run did, and return what broke in it."""
