"""Track the lease of an instance from the times at which it sent its heartbeats."""

import msgspec

from burdockwall.process.membership.timing import LEASE_S
from burdockwall.types import Version

MAX_SENT_HEARTBEATS = 64


class _PendingGrant(msgspec.Struct, frozen=True):
    sent_at: float
    version: Version


class Lease:
    """Lease of one instance; `until` is the end in seconds of the instance's clock."""

    def __init__(self) -> None:
        self.until = float("-inf")
        self._sent_at: dict[int, float] = {}
        self._pending: _PendingGrant | None = None

    def record_sent(self, sequence: int, now: float) -> None:
        """Record when the heartbeat with a sequence number was sent."""
        self._sent_at[sequence] = now
        if len(self._sent_at) > MAX_SENT_HEARTBEATS:
            del self._sent_at[next(iter(self._sent_at))]

    def has_sent(self, sequence: int) -> bool:
        """Return whether a recent heartbeat has this sequence number."""
        return sequence in self._sent_at

    def apply_grant(self, sequence: int, version: Version, installed: Version) -> bool:
        """Apply the grant for a heartbeat and return whether it extended the lease.

        A grant that requires a later version than the installed one is stored until
        that version is installed.
        """
        sent_at = self._sent_at.get(sequence)
        if sent_at is None:
            return False
        if version > installed:
            self._store_pending(_PendingGrant(sent_at, version))
            return False
        return self._renew(sent_at)

    def _store_pending(self, grant: _PendingGrant) -> None:
        if self._pending is None or grant.sent_at > self._pending.sent_at:
            self._pending = grant

    def apply_pending_grant(self, installed: Version) -> bool:
        """Apply the stored grant if its version is installed.

        Return whether it extended the lease.
        """
        grant = self._pending
        if grant is None or grant.version > installed:
            return False
        self._pending = None
        return self._renew(grant.sent_at)

    @property
    def current_at(self) -> float:
        """Return the time at which this instance had the latest version for certain."""
        return self.until - LEASE_S

    def _renew(self, sent_at: float) -> bool:
        until = sent_at + LEASE_S
        if until <= self.until:
            return False
        self.until = until
        return True
