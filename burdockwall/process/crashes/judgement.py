"""Decide which suspects are kept from endpoints, and for how long.

Load: one request that crashes each endpoint that runs it comes again and again, and
many others run on the endpoints that crash. All of these are suspects. What tells the
request from them is that no equal one ever ends well, that it ran at each of the
crashes, and that they followed soon after it was sent. On a day of many crashes that no
request causes, a request may meet several, but most of the crashes happen without it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from burdockwall.process.crashes.suspects import (
    Crash,
    Suspect,
    SuspectTable,
    includes,
    list_in_turn,
)
from burdockwall.types import SOURCE_BYTES, Fingerprint

# So many crashes in turn are enough if no culprit explains them.
CRASHES_TO_REFUSE = 3
# So many are enough if another request of the same source is a culprit, since callers
# also send variants of what crashes endpoints.
CRASHES_OF_VARIANT = 2
# So many are enough if culprits explain all but one.
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
    suspect: Suspect = field(compare=False)


class _CrashIndex:
    """The distinct crashes of all suspects, by number, and when each was noticed."""

    def __init__(self, table: SuspectTable) -> None:
        self._crashes: list[Crash] = []
        self.noticed_at: list[float] = []
        self.by_suspect = {
            name: frozenset(self._number(item) for item in suspect.crashes)
            for name, suspect in table
        }

    def _number(self, crash: Crash) -> int:
        for number, known in enumerate(self._crashes):
            if known.is_same(crash):
                earlier = min(self.noticed_at[number], crash.crashed_at)
                self.noticed_at[number] = earlier
                return number
        self._crashes.append(crash)
        self.noticed_at.append(crash.crashed_at)
        return len(self._crashes) - 1

    def find(self, crash: Crash) -> int:
        """Return the number of a crash."""
        return self._number(crash)

    def count_unexplained(self, name: Fingerprint, until: float) -> int:
        """Count the crashes up to a time that a suspect and the best other leave."""
        crashes = {n for n, at in enumerate(self.noticed_at) if at <= until}
        left = crashes - self.by_suspect[name]
        return min((len(left - other) for other in self.by_suspect.values()), default=0)


def find_culprits(table: SuspectTable) -> set[Fingerprint]:
    """Return the suspects that are to be refused.

    They are judged in order, and each culprit explains its crashes.
    """
    culprits: set[Fingerprint] = set()
    index = _CrashIndex(table)
    for required in (CRASHES_TO_REFUSE, CRASHES_OF_VARIANT):
        for candidate in sorted(_list_candidates(table, required, index)):
            name = candidate.fingerprint
            if name in culprits or not _is_judged(name, required, culprits):
                continue
            others = [item for other, item in table if other not in {name, *culprits}]
            explained = [
                crash
                for other, item in table
                if other in culprits
                for crash in item.crashes
            ]
            if _is_cause(candidate.suspect, required, others, explained):
                culprits.add(name)
    return culprits


def _is_judged(name: Fingerprint, required: int, culprits: set[Fingerprint]) -> bool:
    """Return whether a number of crashes is enough for a suspect's source."""
    if required == CRASHES_TO_REFUSE:
        return True
    source = name[:SOURCE_BYTES]
    return any(other[:SOURCE_BYTES] == source for other in culprits)


def _list_candidates(
    table: SuspectTable, required: int, index: _CrashIndex
) -> Iterator[_Candidate]:
    for name, suspect in table:
        if len(suspect.crashes) < required:
            continue
        first = list_in_turn(suspect.crashes)[:required]
        if len(first) < required:
            continue
        reached_at = index.noticed_at[index.find(first[-1])]
        unexplained = index.count_unexplained(name, reached_at)
        run_s = sum(item.crashed_at - item.began_at for item in first)
        yield _Candidate(reached_at, unexplained, run_s, name, suspect)


def _is_cause(
    suspect: Suspect, required: int, others: list[Suspect], explained: list[Crash]
) -> bool:
    own = [item for item in suspect.crashes if not includes(explained, item)]
    unexplained = len(list_in_turn(own))
    total = len(list_in_turn(suspect.crashes))
    in_doubt = unexplained and total >= CRASHES_TO_DOUBT
    if unexplained < required and not in_doubt:
        return False
    if total >= CRASHES_CERTAIN:
        return True
    return _count_crashes_without(own, others, explained) < len(own)


def _count_crashes_without(
    own: list[Crash], others: list[Suspect], explained: list[Crash]
) -> int:
    """Count the unexplained crashes between a suspect's first and last one."""
    first_at = min(item.crashed_at for item in own)
    last_at = max(item.crashed_at for item in own)
    without: list[Crash] = []
    for other in others:
        for crash in other.crashes:
            known = includes([*own, *explained, *without], crash)
            if first_at <= crash.crashed_at <= last_at and not known:
                without.append(crash)
    return len(without)
