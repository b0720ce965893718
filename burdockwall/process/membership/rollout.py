"""Track when a version is in force on every instance."""

from collections.abc import Iterable

import msgspec

from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.timing import LEASE_EXPIRY_S
from burdockwall.types import CallId, InstanceId, Version


class InForce(msgspec.Struct, frozen=True):
    """Result that no instance acts under an earlier version any more.

    Instances in `confirmed` have installed the version. Instances in `expired` have
    not, but their leases have expired.
    """

    call: CallId
    version: Version
    waited_s: float
    confirmed: tuple[InstanceId, ...]
    expired: tuple[InstanceId, ...]


class _PendingCall(msgspec.Struct):
    call: CallId
    version: Version
    requested_at: float
    names: set[InstanceId] = msgspec.field(default_factory=set)


class RolloutTracker:
    """Tracker of the calls that wait for a version to be in force."""

    def __init__(self) -> None:
        self._pending: list[_PendingCall] = []
        self._former_leases_until = 0.0

    def start_term(self, former_leases_until: float) -> None:
        """Start a term, and wait for the leases of former leaders as well."""
        self._former_leases_until = former_leases_until

    def add(self, call: CallId, version: Version, now: float) -> None:
        """Add a call that waits for a version; the version must be accepted already."""
        self._pending.append(_PendingCall(call, version, now))

    def check(self, records: Iterable[MemberRecord], now: float) -> list[InForce]:
        """Remove calls whose version is in force everywhere; return the results."""
        members = list(records)
        done = []
        pending = []
        for call in self._pending:
            result = self._examine(call, members, now)
            if result is None:
                pending.append(call)
            else:
                done.append(result)
        self._pending = pending
        return done

    def _examine(
        self, pending_call: _PendingCall, records: list[MemberRecord], now: float
    ) -> InForce | None:
        # A grant that is given after the version was accepted is valid only on an
        # instance that has installed it, so older leases expire by this time.
        expires_at = max(
            pending_call.requested_at + LEASE_EXPIRY_S, self._former_leases_until
        )
        behind = [item for item in records if item.version < pending_call.version]
        if now < self._former_leases_until:
            return None
        if now < expires_at and any(not item.is_lease_expired(now) for item in behind):
            return None
        return InForce(
            pending_call.call,
            pending_call.version,
            now - pending_call.requested_at,
            tuple(
                item.details.instance
                for item in records
                if item.version >= pending_call.version
            ),
            tuple(item.details.instance for item in behind),
        )
