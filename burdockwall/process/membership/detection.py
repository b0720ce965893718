"""Detect which members are suspected, failed or leaving, and which to remove."""

from collections.abc import Iterable

import msgspec

from burdockwall.machine import Send
from burdockwall.process.membership.messages import (
    MemberEntry,
    Probe,
    Reachability,
)
from burdockwall.process.membership.platform import PlatformList
from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.timing import (
    DETECTION_INTERVAL_S,
    FAILED_RETENTION_S,
    LARGE_FLEET_MEMBERS,
    LARGE_SUSPECT_AFTER_S,
    PROBE_INTERVAL_S,
    PROBERS,
    SILENT_PROBERS_NEEDED,
    SUSPECT_AFTER_S,
    UNCONFIRMED_FAILURE_S,
)
from burdockwall.types import EndpointState, MemberNumber


class DetectionResult(msgspec.Struct):
    """Probes to send, members with a new state, and members to remove."""

    probes: list[Send] = msgspec.field(default_factory=list)
    changed: list[MemberEntry] = msgspec.field(default_factory=list)
    removed: list[MemberNumber] = msgspec.field(default_factory=list)


class Detector:
    """Failure detector based on heartbeats, indirect probes and the platform's list."""

    def __init__(self) -> None:
        self._last_check_at = float("-inf")

    def find_changes(
        self,
        records: dict[MemberNumber, MemberRecord],
        platform: PlatformList | None,
        now: float,
    ) -> DetectionResult:
        """Return the changes since the last check, or nothing if it was too recent."""
        result = DetectionResult()
        if now - self._last_check_at < DETECTION_INTERVAL_S:
            return result
        self._last_check_at = now
        suspect_after_s = choose_suspect_after_s(len(records))
        for number, record in records.items():
            if self._is_removable(record, platform, now):
                result.removed.append(number)
                continue
            state = self._compute_state(record, platform, suspect_after_s, now)
            if state is not record.state:
                entry = MemberEntry(number, record.details, state)
                result.changed.append(entry)
            if state is EndpointState.SUSPECTED:
                result.probes += self._build_probes(record, records.values(), now)
        return result

    def _compute_state(
        self,
        record: MemberRecord,
        platform: PlatformList | None,
        suspect_after_s: float,
        now: float,
    ) -> EndpointState:
        if now - record.last_heartbeat_at >= suspect_after_s:
            if record.state is EndpointState.FAILED:
                return EndpointState.FAILED
            confirmed = record.is_lease_expired(now) and self._is_failure_confirmed(
                record, platform, now
            )
            return EndpointState.FAILED if confirmed else EndpointState.SUSPECTED
        instance = record.details.instance
        listed = platform.instances.get(instance) if platform else None
        if record.leaving or listed is EndpointState.LEAVING:
            return EndpointState.LEAVING
        return EndpointState.LIVE

    def _is_failure_confirmed(
        self, record: MemberRecord, platform: PlatformList | None, now: float
    ) -> bool:
        # An expired lease only proves that the member does not act. Another source
        # has to confirm that it will not return shortly.
        if _is_absent_from_platform(record, platform):
            return True
        if record.count_probe_results(Reachability.REACHED, now):
            return False
        silent = record.count_probe_results(Reachability.SILENT, now)
        if silent >= SILENT_PROBERS_NEEDED:
            return True
        return now - record.last_heartbeat_at >= UNCONFIRMED_FAILURE_S

    def _is_removable(
        self, record: MemberRecord, platform: PlatformList | None, now: float
    ) -> bool:
        if record.state is not EndpointState.FAILED:
            return False
        absent = _is_absent_from_platform(record, platform)
        return absent or now - record.last_heartbeat_at >= FAILED_RETENTION_S

    def _build_probes(
        self, record: MemberRecord, records: Iterable[MemberRecord], now: float
    ) -> list[Send]:
        if now - record.probed_at < PROBE_INTERVAL_S:
            return []
        record.probed_at = now
        subject = record.details.instance
        return [
            Send(prober.details.instance, Probe(subject))
            for prober in _choose_probers(record, records)
        ]


def choose_suspect_after_s(members: int) -> float:
    """Return the silence in seconds after which a member is suspected.

    `members` is the size of the fleet.
    """
    return LARGE_SUSPECT_AFTER_S if members > LARGE_FLEET_MEMBERS else SUSPECT_AFTER_S


def _is_absent_from_platform(
    record: MemberRecord, platform: PlatformList | None
) -> bool:
    if platform is None or not platform.instances:
        return False
    return record.details.instance not in platform.instances


def _choose_probers(
    subject: MemberRecord, records: Iterable[MemberRecord]
) -> list[MemberRecord]:
    live = [
        item
        for item in records
        if item.state is EndpointState.LIVE and item is not subject
    ]
    # The start differs by subject, which spreads the probes over the fleet. Probers
    # are taken from different failure domains first.
    start = subject.entry.number % max(1, len(live))
    chosen: list[MemberRecord] = []
    domains: set[str] = set()
    for item in live[start:] + live[:start]:
        if item.details.failure_domain not in domains:
            domains.add(item.details.failure_domain)
            chosen.append(item)
    rest = [item for item in live[start:] + live[:start] if item not in chosen]
    return (chosen + rest)[:PROBERS]
