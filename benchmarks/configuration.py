"""Measure how the delay and the bytes of a configuration grow with it and its changes.

Time is virtual. Links carry 15 Mbit/s at entry and 1,000 at control instances.
Processor time and the replication among control instances are not part of it.
"""

from benchmarks.result import Result, create_result
from burdockwall.fakes.thin_fleet import WARM_UP_S, ThinFleet

SEED = 1
FLEETS = (58, 300)
ROUTES = (40, 1300, 12_600)
ADDED_ROUTES = (126, 1256, 12_560)
CHANGES = 5
CHANGE_INTERVAL_S = 0.5
SETTLE_S = 10.0
IN_FORCE_BOUND_S = 1.0
MAX_GROWTH = 2.0


class MeasuredFleet(ThinFleet):
    """A fleet that counts the bytes of its relays and control instances."""

    def __init__(self, entries: int, routes: int) -> None:
        super().__init__(SEED, entries, routes)
        self.run(WARM_UP_S)

    def change(self, added: int) -> float:
        """Add routes, or change one if none are, and return when all have them."""
        if added:
            self.table.add_routes(added)
        else:
            self.table.change_route()
        number = self.put_configuration()
        self.run(SETTLE_S)
        return self.find_slowest_s(number)

    def change_in_series(self) -> int:
        """Change one route some times, and return the most bytes a relay sent."""
        before = dict(self.network.sent_bytes)
        for _ in range(CHANGES):
            self.table.change_route()
            self.put_configuration()
            self.run(CHANGE_INTERVAL_S)
        return self.count_relay_bytes(before)

    def start_again(self) -> float:
        """End all entry instances, start them, and return when all have the latest."""
        self.restart_entries(0.0)
        self.run(SETTLE_S)
        return self.find_slowest_s(self.table.number)


def measure() -> list[Result]:
    """Measure large changes, small ones, and starts, by routes and instances."""
    results: list[Result] = []
    for entries in FLEETS:
        results += _measure_added(entries)
        results += _measure_changed(entries)
    return results


def _measure_added(entries: int) -> list[Result]:
    results = []
    for added in ADDED_ROUTES:
        fleet = MeasuredFleet(entries, ROUTES[0])
        before = sum(fleet.network.sent_bytes.values())
        slowest_s = fleet.change(added)
        sent = sum(fleet.network.sent_bytes.values()) - before
        name = f"configuration_{entries}_added_{added}"
        results += [
            _create_delay(f"{name}_in_force", slowest_s),
            create_result(f"{name}_bytes", sent / entries, "B an instance", SEED),
            _create_delay(f"{name}_start", fleet.start_again()),
        ]
    return results


def _measure_changed(entries: int) -> list[Result]:
    results = []
    smallest = 0.0
    for routes in ROUTES:
        fleet = MeasuredFleet(entries, routes)
        slowest_s = fleet.change(added=0)
        sent = fleet.change_in_series() / CHANGES
        smallest = smallest or sent
        name = f"configuration_{entries}_changed_of_{routes}"
        results += [
            _create_delay(f"{name}_in_force", slowest_s),
            create_result(
                f"{name}_relay_bytes",
                sent,
                "B a change",
                SEED,
                baseline=smallest,
                bound=MAX_GROWTH,
                bound_on_ratio=True,
            ),
        ]
    return results


def _create_delay(name: str, seconds: float) -> Result:
    return create_result(name, seconds, "s", SEED, bound=IN_FORCE_BOUND_S)
