"""Decide which suspects are kept from endpoints, and for how long.

Load: one request that crashes each endpoint that runs it comes again and again, and
many others run on the endpoints that crash. All of these are suspects. What tells the
request from them is that no equal one ever ends well, that it ran at each of the
crashes, and that they followed soon after it was sent. On a day of many crashes that no
request causes, a request may meet several, but most of the crashes happen without it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from burdockwall.process.crashes.suspects import (
    NEVER,
    Crash,
    Suspect,
    SuspectTable,
    list_in_turn,
)
from burdockwall.types import SOURCE_BYTES, EndpointId, Fingerprint

# So many crashes in turn are enough if no other cause explains them.
CRASHES_TO_REFUSE = 3
# So many are enough if another request of the same source is a cause, since callers
# also send variants of what crashes endpoints.
CRASHES_OF_VARIANT = 2
# So many are enough if causes explain all but one.
CRASHES_TO_DOUBT = 4
# So many are enough however many endpoints crash without the request.
CRASHES_CERTAIN = 5
FIRST_REFUSAL_S = 60.0
# Each further crash doubles the time, this often at most.
MAX_DOUBLINGS = 6


def compute_refusal_s(suspect: Suspect) -> float:
    """Return how long after its last crash a suspect is refused, in seconds."""
    beyond = len(list_in_turn(suspect.crashes)) - CRASHES_TO_REFUSE
    return FIRST_REFUSAL_S * 2.0 ** min(MAX_DOUBLINGS, max(0, beyond))


@dataclass(frozen=True, slots=True, order=True)
class _Candidate:
    """A suspect with enough crashes, ordered by how well it explains them.

    `reached_at` is when the last of the first crashes that are enough was noticed
    first. `unexplained` counts the crashes until then at which neither the suspect nor
    the best other one ran, since two such requests may come together. `run_s` is how
    long the runs up to the crashes took together.
    """

    reached_at: float
    unexplained: int
    run_s: float
    fingerprint: Fingerprint
    crashes: dict[int, Crash] = field(compare=False)


class _CrashIndex:
    """The distinct crashes of all suspects, by number, and when each was noticed."""

    def __init__(self, table: SuspectTable) -> None:
        self.noticed_at: list[float] = []
        self._by_endpoint: dict[tuple[EndpointId, int | None], list[_Numbered]] = {}
        self.by_suspect: dict[Fingerprint, dict[int, Crash]] = {
            name: {self._number(item): item for item in suspect.crashes}
            for name, suspect in table
        }
        # Two suspects explain more together only if each ran at several crashes.
        self._repeated = [
            frozenset(crashes)
            for crashes in self.by_suspect.values()
            if len(crashes) > 1
        ]

    def _number(self, crash: Crash) -> int:
        known = self._by_endpoint.setdefault((crash.endpoint, crash.started_ms), [])
        for item in known:
            if item.crash.is_same(crash):
                earlier = min(self.noticed_at[item.number], crash.crashed_at)
                self.noticed_at[item.number] = earlier
                return item.number
        number = len(self.noticed_at)
        known.append(_Numbered(number, crash))
        self.noticed_at.append(crash.crashed_at)
        return number

    def list_between(self, first_at: float, last_at: float) -> set[int]:
        """List the crashes that were noticed in a time."""
        return {
            number
            for number, at in enumerate(self.noticed_at)
            if first_at <= at <= last_at
        }

    def count_unexplained(self, crashes: Iterable[int], until: float) -> int:
        """Count the crashes up to a time beside some and those of the best suspect."""
        left = self.list_between(NEVER, until).difference(crashes)
        best = max((len(left & other) for other in self._repeated), default=0)
        return len(left) - best


class _Numbered(msgspec.Struct, frozen=True):
    number: int
    crash: Crash


def find_causes(table: SuspectTable) -> set[Fingerprint]:
    """Return the suspects that are to be refused.

    They are judged in order, and each cause explains its crashes.
    """
    index = _CrashIndex(table)
    causes: set[Fingerprint] = set()
    explained: set[int] = set()
    for required in (CRASHES_TO_REFUSE, CRASHES_OF_VARIANT):
        sources = None
        if required == CRASHES_OF_VARIANT:
            sources = {name[:SOURCE_BYTES] for name in causes}
        for candidate in _list_candidates(index, required, sources):
            name = candidate.fingerprint
            if name not in causes and _is_cause(candidate, required, index, explained):
                causes.add(name)
                explained |= set(candidate.crashes)
    return causes


def _list_candidates(
    index: _CrashIndex, required: int, sources: set[bytes] | None
) -> list[_Candidate]:
    """List the suspects of some sources with enough crashes in the order to judge."""
    candidates = []
    for name, crashes in index.by_suspect.items():
        if len(crashes) < required:
            continue
        if sources is not None and name[:SOURCE_BYTES] not in sources:
            continue
        first = list_in_turn(crashes.values())[:required]
        if len(first) < required:
            continue
        last = first[-1]
        reached_at = min(
            index.noticed_at[number] for number, item in crashes.items() if item is last
        )
        run_s = sum(item.crashed_at - item.began_at for item in first)
        unexplained = index.count_unexplained(crashes, reached_at)
        candidates.append(_Candidate(reached_at, unexplained, run_s, name, crashes))
    return sorted(candidates)


def _is_cause(
    candidate: _Candidate, required: int, index: _CrashIndex, explained: set[int]
) -> bool:
    crashes = candidate.crashes
    own = {number: item for number, item in crashes.items() if number not in explained}
    unexplained = len(list_in_turn(own.values()))
    total = len(list_in_turn(crashes.values()))
    in_doubt = unexplained and total >= CRASHES_TO_DOUBT
    if unexplained < required and not in_doubt:
        return False
    if total >= CRASHES_CERTAIN:
        return True
    times = [item.crashed_at for item in own.values()]
    meanwhile = index.list_between(min(times), max(times))
    without = meanwhile.difference(crashes, explained)
    return len(without) < len(own)
