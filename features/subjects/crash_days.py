"""Days with requests that crash endpoints, on virtual time."""

from dataclasses import dataclass

from burdockwall.fakes.network import NetworkConditions
from burdockwall.types import Fingerprint
from features.subjects.crash_network import CONTACT_S, CrashNetwork

LOAD_PER_S = 40
TRAFFIC_S = 30.0
DAY_S = 34.0
COMES_AGAIN_S = 0.4


@dataclass(frozen=True, slots=True)
class DayResult:
    """What came of one day: late sends of deadly requests, and others refused."""

    seed: int
    late_sends: int
    refused_others: int


def create_day(
    seed: int,
    instances: int,
    endpoints: int = 5,
    deadly: int = 1,
    conditions: NetworkConditions | None = None,
) -> CrashNetwork:
    """Create a day with a load and some requests that crash endpoints."""
    network = CrashNetwork(seed, instances, endpoints, conditions)
    network.load(LOAD_PER_S, TRAFFIC_S)
    for number in range(deadly):
        first_s = 3 + 2 * network.random.random()
        fingerprint = network.add_deadly(f"deadly-{number}")
        network.repeat(fingerprint, first_s, COMES_AGAIN_S, TRAFFIC_S)
    return network


def play(seed: int, day: CrashNetwork) -> DayResult:
    """Play a day to its end."""
    day.network.run_until(DAY_S)
    return DayResult(seed, day.most_late_sends, day.refused_others)


def play_days(seeds: int, instances: int, endpoints: int, deadly: int) -> list:
    """Play days without other faults."""
    return [
        play(seed, create_day(seed, instances, endpoints, deadly))
        for seed in range(seeds)
    ]


def play_with_fault(seed: int, fault: str) -> DayResult:
    """Play a day with a fault among the instances."""
    match fault:
        case "all instances stop and start in turn":
            day = create_day(seed, 6)
            day.roll(4.0, 1.0)
            day.roll(12.0, 2.0)
        case "messages are lost, doubled and late":
            conditions = NetworkConditions(
                loss_probability=0.2,
                duplicate_probability=0.1,
                late_probability=0.2,
                late_max_s=1.0,
            )
            day = create_day(seed, 6, conditions=conditions)
        case "an instance is silent":
            # It has no callers, but the news of others must not wait for it.
            day = create_day(seed, 6)
            silent = day.entries.pop()
            day.network.crash(silent)
        case _:
            raise ValueError(fault)
    return play(seed, day)


def play_crashes(seed: int, share: float, interval_s: float) -> DayResult:
    """Play a day on which endpoints crash without a cause, and instances restart."""
    day = create_day(seed, 6, deadly=0)
    day.crash_often(interval_s, TRAFFIC_S, share)
    day.roll(4.0, 1.0)
    return play(seed, day)


class CutOffInstance:
    """Instances of which one is cut off while the others learn of a deadly request."""

    def __init__(self, instances: int) -> None:
        self.day = CrashNetwork(1, instances)
        self.fingerprint: Fingerprint = self.day.add_deadly("deadly")
        self.cut_off = self.day.entries[4]
        self.day.network.isolate(self.cut_off)
        self.day.entries.remove(self.cut_off)
        self.day.repeat(self.fingerprint, 0.5, 0.5, 10.0)
        self.day.network.run_until(12.0)
        self.day.entries.append(self.cut_off)
        assert not self.is_refused_everywhere()

    def is_refused_everywhere(self) -> bool:
        """Return whether every instance refuses the request now."""
        now = self.day.network.now
        return all(
            watch.is_refused(self.fingerprint, now)
            for watch in self.day.watches.values()
        )

    def wait(self, seconds: float = CONTACT_S) -> None:
        """Let some time pass."""
        self.day.network.run_until(self.day.network.now + seconds)
