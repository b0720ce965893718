"""Tell when a version is in force everywhere, and for which instances it waited."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.timing import LEASE_EXPIRY_S
from burdockwall.types import CallId, InstanceId, Version


@dataclass(frozen=True, slots=True)
class InForce:
    """State that no instance acts under an earlier version any more.

    `confirmed` run the version; the leases of `lapsed` have run out instead.
    """

    call: CallId
    version: Version
    waited_s: float
    confirmed: tuple[InstanceId, ...]
    expired: tuple[InstanceId, ...]


@dataclass(slots=True)
class _PendingCall:
    call: CallId
    version: Version
    since: float
    names: set[InstanceId] = field(default_factory=set)


class RolloutTracker:
    """Hold the calls that wait for a version."""

    def __init__(self) -> None:
        self._pending: list[_PendingCall] = []
        self._former_leases_until = 0.0

    def start_term(self, former_until: float) -> None:
        """Wait, from now on, also for the leases that former leaders gave."""
        self._former_leases_until = former_until

    def add(self, call: CallId, version: Version, now: float) -> None:
        """Begin to wait for a version that has been accepted by now."""
        self._pending.append(_PendingCall(call, version, now))

    def check(self, records: Iterable[MemberRecord], now: float) -> list[InForce]:
        """Return the calls whose version is in force everywhere."""
        known = list(records)
        done = []
        left = []
        for waiting in self._pending:
            found = self._examine(waiting, known, now)
            if found is None:
                left.append(waiting)
            else:
                done.append(found)
        self._pending = left
        return done

    def _examine(
        self, waiting: _PendingCall, records: list[MemberRecord], now: float
    ) -> InForce | None:
        # A grant that is given later holds only where the version is in force.
        lapse = max(waiting.since + LEASE_EXPIRY_S, self._former_leases_until)
        behind = [item for item in records if item.version < waiting.version]
        if now < self._former_leases_until:
            return None
        if now < lapse and any(not item.is_lease_expired(now) for item in behind):
            return None
        return InForce(
            waiting.call,
            waiting.version,
            now - waiting.since,
            tuple(
                item.details.instance
                for item in records
                if item.version >= waiting.version
            ),
            tuple(item.details.instance for item in behind),
        )
