"""Streams whose stores fail between their beginning and their resumption."""

import random
from dataclasses import dataclass

from msgspec.structs import replace

from burdockwall.fakes.network import NetworkConditions
from burdockwall.process.storage.messages import StreamPlace
from burdockwall.types import ServiceName, SoftwareVersion, TurnId
from features.subjects.storage import StorageNetwork, is_admitted, name_store

STREAMS = 8
STREAM_S = 6.0
MOVED_SHARE = 0.5
STORES = (1, 2, 3)
CONDITIONS = NetworkConditions(
    loss_probability=0.02,
    duplicate_probability=0.05,
    late_probability=0.05,
    late_max_s=0.5,
)


@dataclass(slots=True)
class PlaceCounts:
    """The streams whose place was found, was unknown, or was not the latest one."""

    found: int = 0
    unknown: int = 0
    wrong: int = 0
    unanswered: int = 0


class PlaceFaults:
    """Begins streams, moves some, and looks their places up, with faults between.

    While a stream lives, one store is cut off or loses its memory at a time.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f"places-{seed}")
        self.storage = StorageNetwork(seed, conditions=CONDITIONS)
        self.counts = PlaceCounts()

    def run(self) -> PlaceCounts:
        """Run all streams of the seed."""
        for number in range(STREAMS):
            self.storage.network.heal()
            # Stores that restarted meanwhile count again.
            self.storage.run(STREAM_S + 1.0)
            self._run_stream(number)
        return self.counts

    def _fail(self) -> None:
        store = name_store(self.random.choice(STORES))
        self.storage.network.heal()
        match self.random.randrange(3):
            case 0:
                self.storage.network.isolate(store)
            case 1:
                self.storage.restart_store(store)
            case _:
                pass

    def _begin(self, turn: str, place: StreamPlace) -> bool:
        start = replace(self.storage.describe(turn, "p"), place=place)
        return is_admitted(self.storage.begin(start))

    def _run_stream(self, number: int) -> None:
        turn = f"t-{number}"
        service = ServiceName("s")
        self._fail()
        latest = StreamPlace(service, SoftwareVersion("v1"))
        if not self._begin(turn, latest):
            return
        if self.random.random() < MOVED_SHARE:
            moved = StreamPlace(service, SoftwareVersion("v2"), 1)
            if not self._begin(turn, moved):
                return
            latest = moved
        self._fail()
        self._look_up(number, latest)

    def _look_up(self, number: int, latest: StreamPlace) -> None:
        start = self.storage.describe(f"r-{number}", "p")
        decided = self.storage.begin(
            replace(start, resumes=TurnId(f"t-{number}"), stream_s=STREAM_S)
        )
        if not is_admitted(decided):
            self.counts.unanswered += 1
        elif decided.place is None:
            self.counts.unknown += 1
        elif decided.place == latest:
            self.counts.found += 1
        else:
            self.counts.wrong += 1
