"""Collect the heartbeats of children, report them upwards and pass grants down."""

from dataclasses import dataclass, field

from burdockwall.machine import Send
from burdockwall.process.membership.messages import (
    Beat,
    Grant,
    InstanceDetails,
    Join,
    Report,
)
from burdockwall.process.membership.roster import Roster
from burdockwall.process.membership.timing import (
    CHILD_LIMIT_S,
    HOLD_S,
    LEAST_PACE,
)
from burdockwall.types import Incarnation, InstanceId, MemberNumber, Version

KEPT_REPORTS = 8


@dataclass(frozen=True, slots=True)
class _Collected:
    child: InstanceId
    beat: Beat
    number: MemberNumber | None = None


@dataclass(slots=True)
class Child:
    """Hold what is known of an instance that reports through this one."""

    heard_at: float
    version: Version
    details: InstanceDetails | None = None
    incarnation: Incarnation = field(default=Incarnation(0))


class Collector:
    """Hold heartbeats until the next report, and reports until their grant."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.children: dict[InstanceId, Child] = {}
        self._pending: dict[InstanceId, Beat] = {}
        self._first_at = 0.0
        self._pace_at = float("-inf")
        self._details: InstanceDetails | None = None
        self._reports: dict[int, list[_Collected]] = {}

    def add(self, child: InstanceId, beat: Beat, now: float) -> None:
        """Take the heartbeat of a child."""
        known = self.children.get(child)
        details = beat.details
        if details is None and known and known.incarnation == beat.incarnation:
            details = known.details
        self.children[child] = Child(now, beat.version, details, beat.incarnation)
        if not self._pending:
            self._first_at = now
        self._pending[child] = beat

    def add_own(self, details: InstanceDetails, beat: Beat) -> None:
        """Take the heartbeat of this instance itself."""
        self._details = details
        self._pending[details.instance] = beat

    def has_ungranted(self) -> bool:
        """Tell whether a report waits for its grant."""
        return bool(self._reports)

    def is_due(self, now: float) -> bool:
        """Tell whether heartbeats have been held long enough."""
        return bool(self._pending) and now - self._first_at >= HOLD_S

    def list_recent(self, now: float) -> list[InstanceId]:
        """List the children heard from lately, and forget the others."""
        self.children = {
            name: child
            for name, child in self.children.items()
            if now - child.heard_at <= CHILD_LIMIT_S
        }
        return list(self.children)

    def build_report(
        self, incarnation: Incarnation, sequence: int, version: Version
    ) -> Report:
        """Build the report of what is pending."""
        current: list[MemberNumber] = []
        behind: dict[MemberNumber, Version] = {}
        leaving: list[MemberNumber] = []
        joins: list[Join] = []
        collected: list[_Collected] = []
        for child, beat in self._pending.items():
            number = self.roster.find_number(child, beat.incarnation)
            if number is None:
                details = self._find_details(child)
                if details is None:
                    # The roster that lists the child is on its way here.
                    continue
                joins.append(Join(details, beat.version, beat.leaving))
            elif beat.version == version:
                current.append(number)
            else:
                behind[number] = beat.version
            if number is not None and beat.leaving:
                leaving.append(number)
            collected.append(_Collected(child, beat, number))
        self._pending = {}
        self._keep(sequence, collected)
        return Report(
            incarnation,
            sequence,
            version,
            self.roster.stamp,
            current,
            behind,
            leaving,
            joins,
        )

    def _find_details(self, child: InstanceId) -> InstanceDetails | None:
        if self._details is not None and child == self._details.instance:
            return self._details
        known = self.children.get(child)
        return known.details if known is not None else None

    def _keep(self, sequence: int, collected: list[_Collected]) -> None:
        self._reports[sequence] = collected
        if len(self._reports) > KEPT_REPORTS:
            del self._reports[next(iter(self._reports))]

    def hold_again(self, now: float) -> None:
        """Put heartbeats that were not granted into the next report."""
        for collected in self._reports.values():
            for item in collected:
                newer = self._pending.get(item.child)
                if newer is None or newer.sequence < item.beat.sequence:
                    self._pending[item.child] = item.beat
        self._reports.clear()
        self._first_at = now - HOLD_S

    def _hold_newcomer(self, item: _Collected, now: float) -> None:
        # It has a number by the next report, and its lease only then.
        self._first_at = now
        newer = self._pending.get(item.child)
        if newer is None or newer.sequence < item.beat.sequence:
            self._pending[item.child] = item.beat

    def _compute_pace_ms(self, interval_s: float, now: float) -> int:
        # All children send at one time, so that one report carries them.
        while self._pace_at < now + LEAST_PACE * interval_s:
            self._pace_at = max(self._pace_at + interval_s, now)
        return round(1000 * (self._pace_at - now))

    def pass_grant(
        self, grant: Grant, interval_s: float, now: float
    ) -> list[Send] | None:
        """Pass the grant of a report on; return None where it is of none.

        It goes to those whose heartbeats the report carried, this instance too.
        """
        collected = self._reports.pop(grant.sequence, None)
        if collected is None:
            return None
        refused = set(grant.refused)
        pace_ms = self._compute_pace_ms(interval_s, now)
        sends = []
        for item in collected:
            if item.number is None:
                self._hold_newcomer(item, now)
                continue
            if item.number in refused:
                continue
            own = Grant(
                grant.term,
                grant.leader,
                item.beat.incarnation,
                item.beat.sequence,
                grant.version,
                next_ms=pace_ms,
            )
            sends.append(Send(item.child, own))
        return sends
