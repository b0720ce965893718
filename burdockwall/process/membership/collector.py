"""Batch the heartbeats of children into reports and forward their grants."""

import msgspec

from burdockwall.machine import Send
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    Grant,
    Heartbeat,
    InstanceDetails,
    Join,
    Report,
)
from burdockwall.process.membership.timing import (
    CHILD_EXPIRY_S,
    MIN_HEARTBEAT_GAP_INTERVALS,
    RELAY_BATCH_S,
)
from burdockwall.types import Incarnation, InstanceId, MemberNumber, Version

MAX_UNGRANTED_REPORTS = 8


class _CollectedHeartbeat(msgspec.Struct, frozen=True):
    child: InstanceId
    heartbeat: Heartbeat
    number: MemberNumber | None = None


class Child(msgspec.Struct):
    """Last reported state of an instance that reports through this one."""

    last_heartbeat_at: float
    version: Version
    details: InstanceDetails | None = None
    incarnation: Incarnation = msgspec.field(default=Incarnation(0))


class Collector:
    """Store of heartbeats until the next report, and of reports until their grant."""

    def __init__(self, member_list: MemberList) -> None:
        self.member_list = member_list
        self.children: dict[InstanceId, Child] = {}
        self._pending: dict[InstanceId, Heartbeat] = {}
        self._pending_since_at = 0.0
        self._next_heartbeat_at = float("-inf")
        self._own_details: InstanceDetails | None = None
        self._reports: dict[int, list[_CollectedHeartbeat]] = {}

    def add(self, child: InstanceId, heartbeat: Heartbeat, now: float) -> None:
        """Add the heartbeat of a child to the next report."""
        last = self.children.get(child)
        details = heartbeat.details
        if details is None and last and last.incarnation == heartbeat.incarnation:
            details = last.details
        self.children[child] = Child(
            now, heartbeat.version, details, heartbeat.incarnation
        )
        if not self._pending:
            self._pending_since_at = now
        self._pending[child] = heartbeat

    def add_own(self, details: InstanceDetails, heartbeat: Heartbeat) -> None:
        """Add the heartbeat of this instance to the next report."""
        self._own_details = details
        self._pending[details.instance] = heartbeat

    def has_ungranted_reports(self) -> bool:
        """Return whether a report waits for its grant."""
        return bool(self._reports)

    def is_due(self, now: float) -> bool:
        """Return whether the pending heartbeats have to be reported now."""
        return bool(self._pending) and now - self._pending_since_at >= RELAY_BATCH_S

    def drop_silent_children(self, now: float) -> None:
        """Drop the children without a recent heartbeat."""
        recent = self.list_recent_children(now)
        self.children = {name: self.children[name] for name in recent}

    def list_recent_children(self, now: float) -> list[InstanceId]:
        """List the children with a recent heartbeat."""
        return [
            name
            for name, child in self.children.items()
            if now - child.last_heartbeat_at <= CHILD_EXPIRY_S
        ]

    def build_report(
        self,
        incarnation: Incarnation,
        sequence: int,
        version: Version,
        reads_outlines: bool,
    ) -> Report:
        """Build the report of the pending heartbeats."""
        current: list[MemberNumber] = []
        behind: dict[MemberNumber, Version] = {}
        leaving: list[MemberNumber] = []
        joins: list[Join] = []
        collected: list[_CollectedHeartbeat] = []
        for child, heartbeat in self._pending.items():
            number = self.member_list.find_number(child, heartbeat.incarnation)
            if number is None:
                details = self._find_details(child)
                if details is None:
                    # The child has a member list that names it, so its heartbeat
                    # carries no details. This relay will receive that list soon.
                    continue
                joins.append(Join(details, heartbeat.version, heartbeat.leaving))
            elif heartbeat.version == version:
                current.append(number)
            else:
                behind[number] = heartbeat.version
            if number is not None and heartbeat.leaving:
                leaving.append(number)
            collected.append(_CollectedHeartbeat(child, heartbeat, number))
        self._pending = {}
        self._store_report(sequence, collected)
        return Report(
            incarnation,
            sequence,
            version,
            self.member_list.version,
            current,
            behind,
            leaving,
            joins,
            reads_outlines,
        )

    def _find_details(self, child: InstanceId) -> InstanceDetails | None:
        if self._own_details is not None and child == self._own_details.instance:
            return self._own_details
        last = self.children.get(child)
        return last.details if last is not None else None

    def _store_report(
        self, sequence: int, collected: list[_CollectedHeartbeat]
    ) -> None:
        self._reports[sequence] = collected
        if len(self._reports) > MAX_UNGRANTED_REPORTS:
            del self._reports[next(iter(self._reports))]

    def requeue_ungranted(self, now: float) -> None:
        """Put heartbeats that were not granted into the next report."""
        for collected in self._reports.values():
            for item in collected:
                newer = self._pending.get(item.child)
                if newer is None or newer.sequence < item.heartbeat.sequence:
                    self._pending[item.child] = item.heartbeat
        self._reports.clear()
        self._pending_since_at = now - RELAY_BATCH_S

    def _requeue_new_member(self, item: _CollectedHeartbeat, now: float) -> None:
        # A new member gets its number with the next member list and its lease with
        # the grant of the next report.
        self._pending_since_at = now
        newer = self._pending.get(item.child)
        if newer is None or newer.sequence < item.heartbeat.sequence:
            self._pending[item.child] = item.heartbeat

    def _compute_next_heartbeat_ms(self, interval_s: float, now: float) -> int:
        # All children get the same time, so that one report carries their heartbeats.
        while self._next_heartbeat_at < now + MIN_HEARTBEAT_GAP_INTERVALS * interval_s:
            self._next_heartbeat_at = max(self._next_heartbeat_at + interval_s, now)
        return round(1000 * (self._next_heartbeat_at - now))

    def forward_grant(
        self, grant: Grant, interval_s: float, now: float
    ) -> list[Send] | None:
        """Forward the grant of a report to the senders of its heartbeats.

        These include this instance. Return None if no stored report has the sequence
        number of the grant.
        """
        collected = self._reports.pop(grant.sequence, None)
        if collected is None:
            return None
        refused = set(grant.refused)
        next_heartbeat_ms = self._compute_next_heartbeat_ms(interval_s, now)
        sends = []
        for item in collected:
            if item.number is None:
                self._requeue_new_member(item, now)
                continue
            if item.number in refused:
                continue
            member_grant = Grant(
                grant.term,
                grant.leader,
                item.heartbeat.incarnation,
                item.heartbeat.sequence,
                grant.version,
                next_heartbeat_ms=next_heartbeat_ms,
            )
            sends.append(Send(item.child, member_grant))
        return sends
