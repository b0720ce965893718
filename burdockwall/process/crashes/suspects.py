"""Requests that may crash endpoints, as one instance knows them."""

from collections.abc import Iterable, Iterator

import msgspec
from msgspec.structs import replace

from burdockwall.types import EndpointId, Fingerprint

MAX_SUSPECTS = 512
MAX_CRASHES_PER_SUSPECT = 16
# What is known of a suspect is dropped this long after its last crash.
RETENTION_S = 60.0
# Runs at an endpoint whose starts are not known ended with the same crash if they
# ended within this time.
SAME_CRASH_S = 2.0
# Clocks of two instances may differ by this much in what they call the same moment.
MOMENT_S = 0.02
NEVER = float("-inf")


class Crash(msgspec.Struct, frozen=True):
    """A run that ended with the crash of its endpoint, by this instance's clock.

    `started_ms` is the Unix time at which the endpoint started, if the list gives it.
    """

    endpoint: EndpointId
    started_ms: int | None
    began_at: float
    crashed_at: float

    def is_same(self, other: "Crash") -> bool:
        """Return whether two runs ended with the same crash."""
        if self.endpoint != other.endpoint:
            return False
        if self.started_ms is not None and other.started_ms is not None:
            return self.started_ms == other.started_ms
        return abs(self.crashed_at - other.crashed_at) < SAME_CRASH_S

    def join(self, other: "Crash") -> "Crash":
        """Return the same crash with the earlier of both times."""
        return replace(
            self,
            began_at=min(self.began_at, other.began_at),
            crashed_at=min(self.crashed_at, other.crashed_at),
        )


def includes(crashes: Iterable[Crash], crash: Crash) -> bool:
    """Return whether one of some crashes is the same as another."""
    return any(item.is_same(crash) for item in crashes)


def list_in_turn(crashes: Iterable[Crash]) -> list[Crash]:
    """List the crashes of runs that began after the crash before, by time.

    Endpoints that crash together while each runs a copy count once.
    """
    in_turn: list[Crash] = []
    for crash in sorted(crashes, key=lambda item: item.crashed_at):
        if not in_turn or crash.began_at > in_turn[-1].crashed_at - MOMENT_S:
            in_turn.append(crash)
    return in_turn


class Suspect(msgspec.Struct):
    """Equal requests, and the crashes since one of them last ended well.

    `cleared` are the crashes before that. `refused` is whether they are kept from
    endpoints.
    """

    crashes: list[Crash] = msgspec.field(default_factory=list)
    cleared: list[Crash] = msgspec.field(default_factory=list)
    cleared_at: float = NEVER
    refused: bool = False

    @property
    def last_at(self) -> float:
        """Return the time of the last crash, or of the end that cleared it."""
        return max((item.crashed_at for item in self.crashes), default=self.cleared_at)

    def add(self, crash: Crash) -> bool:
        """Add a crash, and return whether it is a new one."""
        if crash.crashed_at <= self.cleared_at or includes(self.cleared, crash):
            return False
        for index, known in enumerate(self.crashes):
            if known.is_same(crash):
                self.crashes[index] = known.join(crash)
                return False
        self.crashes.append(crash)
        del self.crashes[:-MAX_CRASHES_PER_SUSPECT]
        return True

    def clear(self, at: float) -> None:
        """Record that an equal request ended well."""
        self.cleared_at = max(self.cleared_at, at)
        self._drop([item for item in self.crashes if item.crashed_at <= at])

    def add_cleared(self, crash: Crash) -> None:
        """Record that an equal request ended well after a crash."""
        if not includes(self.cleared, crash):
            self.cleared.append(crash)
        self._drop([item for item in self.crashes if item.is_same(crash)])

    def _drop(self, crashes: list[Crash]) -> None:
        self.cleared += [item for item in crashes if not includes(self.cleared, item)]
        del self.cleared[:-MAX_CRASHES_PER_SUSPECT]
        self.crashes = [item for item in self.crashes if item not in crashes]


class SuspectTable:
    """A bounded number of suspects."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[tuple[Fingerprint, Suspect]]:
        return iter(self._suspects.items())

    def find(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return what is known of a suspect, or None."""
        return self._suspects.get(fingerprint)

    def get(self, fingerprint: Fingerprint) -> Suspect:
        """Return a suspect, which is added if it is new."""
        known = self._suspects.get(fingerprint)
        if known is not None:
            return known
        if len(self._suspects) >= MAX_SUSPECTS:
            self._evict()
        suspect = self._suspects[fingerprint] = Suspect()
        return suspect

    def _evict(self) -> None:
        """Drop the suspect that says least: few crashes, long ago."""

        def rank(item: tuple[Fingerprint, Suspect]) -> tuple[bool, int, float]:
            suspect = item[1]
            return suspect.refused, len(suspect.crashes), suspect.last_at

        del self._suspects[min(self._suspects.items(), key=rank)[0]]

    def retain(self, wanted: set[Fingerprint]) -> None:
        """Drop all suspects but these."""
        self._suspects = {
            name: suspect for name, suspect in self._suspects.items() if name in wanted
        }
