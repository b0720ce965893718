"""Collect what all entry instances see of requests that crash endpoints.

No instance owns the suspects: each keeps them all, merges what neighbours tell it and
passes news on. So they outlive restarts and changes of any leader, and a silent
instance delays nobody. Only crashes cause messages.
"""

from collections.abc import Iterable

import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.crashes.judgement import compute_refusal_s, find_causes
from burdockwall.process.crashes.messages import (
    AskSuspects,
    CrashReport,
    ShareSuspects,
    SuspectReport,
)
from burdockwall.process.crashes.neighbours import choose_neighbours
from burdockwall.process.crashes.suspects import (
    NEVER,
    RETENTION_S,
    Crash,
    Suspect,
    SuspectTable,
)
from burdockwall.types import EndpointId, Fingerprint, InstanceId

MS_PER_S = 1000.0
MAX_SUSPECTS_PER_MESSAGE = 64
# News waits this long for more, so that the requests of one crash go together.
GATHER_S = 0.02
# An instance asks again after this time, since its first question may be lost.
ASK_AGAIN_S = 0.5
# News is repeated after these times, since a message may be lost.
REPEATS_S = (0.5, 1.5)
# Suspects are judged anew at most this often, and less often if there are many.
JUDGE_INTERVAL_S = 0.02
JUDGE_INTERVAL_PER_SUSPECT_S = 0.0005
# What is refused is repeated at this interval, for instances that have just started.
REFUSED_REPEAT_S = 1.0
# A suspect stays known this long after its refusal, so that its next crash counts.
KNOWN_REFUSALS = 2


class RunCrashed(msgspec.Struct, frozen=True):
    """A run here ended with the crash of its endpoint."""

    fingerprint: Fingerprint
    endpoint: EndpointId
    started_ms: int | None
    began_at: float
    crashed_at: float


class RunEnded(msgspec.Struct, frozen=True):
    """An endpoint here answered a request that equals a suspect."""

    fingerprint: Fingerprint


class InstancesChanged(msgspec.Struct, frozen=True):
    """The entry instances that are alive."""

    instances: tuple[InstanceId, ...]


class RefusalChanged(msgspec.Struct, frozen=True):
    """Announces that a suspect is refused, or no longer is, and its crashes."""

    fingerprint: Fingerprint
    refused: bool
    endpoints: tuple[EndpointId, ...]
    refusal_s: float


class NewsGathered(msgspec.Struct, frozen=True):
    """Asks the shell for a tick after GATHER_S."""


Event = RunCrashed | RunEnded | InstancesChanged | Tick | Receive
Action = Send | RefusalChanged | NewsGathered


class CrashWatch:
    """The suspects that one instance knows."""

    def __init__(self, own: InstanceId) -> None:
        self.own = own
        self.table = SuspectTable()
        self.neighbours: tuple[InstanceId, ...] = ()
        self._judge_at: float | None = None
        self._judged_at = NEVER
        self._announced: set[Fingerprint] = set()
        self._news: set[Fingerprint] = set()
        self._news_at = NEVER
        self._repeats: dict[Fingerprint, list[float]] = {}
        self._repeat_refused_at = NEVER
        # When to ask neighbours, or None if that is done.
        self._ask_at: float | None = NEVER

    def is_known(self, fingerprint: Fingerprint) -> bool:
        """Return whether an equal request was running when an endpoint crashed."""
        return self.table.find(fingerprint) is not None

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request is to be kept from endpoints."""
        suspect = self.table.find(fingerprint)
        if suspect is None:
            return False
        self._judge(now)
        return suspect.refused and now < suspect.last_at + compute_refusal_s(suspect)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event; return messages to send and changed refusals."""
        match event:
            case RunCrashed():
                crash = Crash(
                    event.endpoint, event.started_ms, event.began_at, event.crashed_at
                )
                if self.table.get(event.fingerprint).add(crash):
                    return self._add_news([event.fingerprint], now)
            case RunEnded(fingerprint=fingerprint):
                suspect = self.table.find(fingerprint)
                if suspect is not None and suspect.crashes:
                    suspect.clear(now)
                    return self._add_news([fingerprint], now)
            case InstancesChanged(instances=instances):
                self.neighbours = choose_neighbours(self.own, instances)
                return self._ask(now)
            case Receive(message=ShareSuspects(suspects=suspects)):
                news = [item.fingerprint for item in suspects if self._merge(item, now)]
                return self._add_news(news, now)
            case Receive(sender=sender, message=AskSuspects()):
                return self._share(
                    sorted(name for name, _ in self.table), [sender], now
                )
            case Tick():
                return self._tick(now)
            case _:
                pass
        return []

    def _merge(self, report: SuspectReport, now: float) -> bool:
        """Add what a neighbour knows, and return whether it is news."""
        suspect = self.table.get(report.fingerprint)
        before = len(suspect.crashes)
        if report.cleared_age_ms is not None:
            suspect.clear(now - report.cleared_age_ms / MS_PER_S)
        for item in report.crashes:
            if item.cleared:
                suspect.add_cleared(_read_crash(item, now))
        news = len(suspect.crashes) < before
        for item in report.crashes:
            if not item.cleared and suspect.add(_read_crash(item, now)):
                news = True
        return news

    def _ask(self, now: float) -> list[Action]:
        """Ask the neighbours what they know, twice after the start."""
        if self._ask_at is None or not self.neighbours or now < self._ask_at:
            return []
        self._ask_at = now + ASK_AGAIN_S if self._ask_at == NEVER else None
        return [Send(to, AskSuspects()) for to in self.neighbours]

    def _add_news(self, news: list[Fingerprint], now: float) -> list[Action]:
        """Judge all suspects anew later, and pass the news on."""
        if not news:
            return []
        actions: list[Action] = []
        if not self._news:
            self._news_at = now + GATHER_S
            actions.append(NewsGathered())
        if self._judge_at is None:
            interval_s = max(
                JUDGE_INTERVAL_S, len(self.table) * JUDGE_INTERVAL_PER_SUSPECT_S
            )
            self._judge_at = max(now, self._judged_at + interval_s)
        self._news.update(news)
        for fingerprint in news:
            self._repeats[fingerprint] = [now + after for after in REPEATS_S]
        return actions

    def _judge(self, now: float) -> None:
        if self._judge_at is None or now < self._judge_at:
            return
        self._judge_at, self._judged_at = None, now
        causes = find_causes(self.table)
        for fingerprint, suspect in self.table:
            suspect.refused = fingerprint in causes

    def _announce(self) -> list[Action]:
        """Announce which refusals have changed since the last time."""
        refused = {name for name, suspect in self.table if suspect.refused}
        changed = sorted(refused ^ self._announced)
        self._announced = refused
        return [_describe(name, self.table.find(name) or Suspect()) for name in changed]

    # Time.

    def _tick(self, now: float) -> list[Action]:
        actions = self._ask(now)
        if not len(self.table) and not self._announced:
            return actions
        self._judge(now)
        self._expire(now)
        actions += self._announce()
        due = self._take_due(now)
        return actions + self._share(due, self.neighbours, now)

    def _expire(self, now: float) -> None:
        wanted = set()
        for fingerprint, suspect in self.table:
            lasting_s = RETENTION_S
            if suspect.refused:
                lasting_s = KNOWN_REFUSALS * compute_refusal_s(suspect)
            if now < suspect.last_at + lasting_s:
                wanted.add(fingerprint)
        if len(wanted) < len(self.table):
            self.table.retain(wanted)

    def _take_due(self, now: float) -> list[Fingerprint]:
        due: set[Fingerprint] = set()
        if self._news and now >= self._news_at:
            due, self._news = self._news, set()
        for fingerprint, times in list(self._repeats.items()):
            if times[0] <= now:
                due.add(fingerprint)
                del times[0]
            if not times:
                del self._repeats[fingerprint]
        if now >= self._repeat_refused_at:
            self._repeat_refused_at = now + REFUSED_REPEAT_S
            due.update(name for name, item in self.table if item.refused)
        return sorted(name for name in due if self.is_known(name))

    def _share(
        self, due: list[Fingerprint], receivers: Iterable[InstanceId], now: float
    ) -> list[Action]:
        reports = [self._report(name, self.table.get(name), now) for name in due]
        messages = [
            ShareSuspects(reports[start : start + MAX_SUSPECTS_PER_MESSAGE])
            for start in range(0, len(reports), MAX_SUSPECTS_PER_MESSAGE)
        ]
        return [Send(to, item) for to in receivers for item in messages]

    @staticmethod
    def _report(
        fingerprint: Fingerprint, suspect: Suspect, now: float
    ) -> SuspectReport:
        cleared_age_ms = None
        if suspect.cleared_at != NEVER:
            cleared_age_ms = _measure_ms(suspect.cleared_at, now)
        crashes = [
            *_report_crashes(suspect.crashes, False, now),
            *_report_crashes(suspect.cleared, True, now),
        ]
        return SuspectReport(fingerprint, crashes, cleared_age_ms)


def _read_crash(report: CrashReport, now: float) -> Crash:
    return Crash(
        report.endpoint,
        report.started_ms,
        now - report.began_age_ms / MS_PER_S,
        now - report.crashed_age_ms / MS_PER_S,
    )


def _measure_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * MS_PER_S))


def _report_crashes(
    crashes: Iterable[Crash], cleared: bool, now: float
) -> list[CrashReport]:
    return [
        CrashReport(
            item.endpoint,
            item.started_ms,
            _measure_ms(item.began_at, now),
            _measure_ms(item.crashed_at, now),
            cleared,
        )
        for item in crashes
    ]


def _describe(fingerprint: Fingerprint, suspect: Suspect) -> RefusalChanged:
    return RefusalChanged(
        fingerprint,
        suspect.refused,
        tuple(item.endpoint for item in suspect.crashes),
        compute_refusal_s(suspect),
    )
