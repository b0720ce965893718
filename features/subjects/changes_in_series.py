"""A fleet whose control state changes all the time while messages are lost."""

import sys
from enum import Enum
from typing import Any

from burdockwall.fakes.network import NetworkConditions
from burdockwall.process.membership.lag import LagsChanged
from burdockwall.types import InstanceId, Version
from features.subjects.fleet import FleetSubject

# What the platform's pages give: an instance that has been in touch for so long has
# each version in force so long after its acknowledgement.
CONTACT_S = 3.0
IN_FORCE_S = 2.0
CHECK_INTERVAL_S = 0.1
SERIES_S = 25.0
CALM_S = 8.0


class Trouble(Enum):
    """What happens to the messages to some instances."""

    LOST = "lost"
    OVERTAKEN = "overtaken"
    LOST_SNAPSHOT = "lost snapshot"


class ChangesInSeries(FleetSubject):
    """Fleet that gets a change at each interval; `late` lists outdated instances."""

    def __init__(self, seed: int, interval_s: float, trouble: Trouble) -> None:
        super().__init__(seed)
        self.interval_s = interval_s
        self.trouble = trouble
        self.accepted_at: dict[Version, float] = {}
        self.troubled_at = dict.fromkeys(self.entries, 0.0)
        self.late: list[str] = []
        self.lags: list[LagsChanged] = []

    def perform(self, instance: InstanceId, action: Any, now: float) -> None:
        if isinstance(action, LagsChanged):
            self.lags.append(action)
        super().perform(instance, action, now)

    def run_changes(self, seconds: float) -> None:
        self.run(4.0)
        self._change_again()
        self.run(seconds)

    def run_series(self) -> None:
        self.run_changes(0.0)
        self.network.schedule(self.random.uniform(1.0, 2.0), self._begin_trouble)
        until = self.network.now + SERIES_S
        while self.network.now < until and not self.faults:
            self.run(CHECK_INTERVAL_S)
            self._check_versions()

    def _change_again(self) -> None:
        self.submit_configuration(self.random.uniform(1.0, 1000.0))
        self.accepted_at[self.log.state.version] = self.network.now
        self.network.schedule(self.interval_s, self._change_again)

    def _begin_trouble(self) -> None:
        troubled = self.random.sample(self.entries, 2)
        lasts_s = self.random.uniform(0.2, 1.2)
        match self.trouble:
            case Trouble.LOST:
                self.cut(troubled)
            case Trouble.OVERTAKEN:
                self.network.conditions = NetworkConditions(
                    late_probability=0.5, late_max_s=0.3
                )
                troubled = self.entries
            case Trouble.LOST_SNAPSHOT:
                # Followers that are further behind than the kept changes get snapshots.
                self.cut(troubled)
                self.log.state.changes.clear()
                self.network.schedule(lasts_s / 2, self.log.state.changes.clear)
        self.network.schedule(lasts_s, lambda: self._end_trouble(troubled))

    def cut(self, instances: list[InstanceId]) -> None:
        for instance in instances:
            for other in self.control + self.entries:
                if other != instance:
                    self.network.cut(other, instance)

    def _end_trouble(self, instances: list[InstanceId]) -> None:
        self.network.heal()
        self.network.conditions = NetworkConditions()
        for instance in instances:
            self.troubled_at[instance] = self.network.now
        self.network.schedule(CALM_S, self._begin_trouble)

    def _check_versions(self) -> None:
        now = self.network.now
        due = max(
            (
                version
                for version, accepted_at in self.accepted_at.items()
                if now - accepted_at >= IN_FORCE_S
            ),
            default=Version(0),
        )
        for instance in self.entries:
            calm = now - self.troubled_at[instance] >= CONTACT_S
            cut = any(receiver == instance for _, receiver in self.network.cut_links)
            installed = self.agents[instance].replica.version
            if calm and not cut and installed < due:
                self.late.append(f"{now:.1f} s: {instance} has {installed} of {due}")


def main(first: int, count: int, interval_s: float, trouble: Trouble) -> int:
    """Run seeds and print the ones in which an instance was outdated."""
    failed = 0
    for seed in range(first, first + count):
        subject = ChangesInSeries(seed, interval_s, trouble)
        subject.run_series()
        if subject.late or subject.faults:
            failed += 1
            problems = [*subject.faults, *subject.late[:1], *subject.late[-1:]]
            print(seed, len(subject.late), *problems, sep="; ")
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    seeds = int(sys.argv[1]), int(sys.argv[2])
    sys.exit(main(*seeds, float(sys.argv[3]), Trouble(sys.argv[4])))
