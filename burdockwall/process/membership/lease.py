"""Hold the lease of an instance, counted from when its heartbeats were sent."""

from dataclasses import dataclass

from burdockwall.process.membership.timing import LEASE_S
from burdockwall.types import Version

MAX_SENT_HEARTBEATS = 64


@dataclass(frozen=True, slots=True)
class _PendingGrant:
    sent_at: float
    version: Version


class Lease:
    """Tell until when the instance may act, by its own clock."""

    def __init__(self) -> None:
        self.until = float("-inf")
        self._sent_at: dict[int, float] = {}
        self._pending: _PendingGrant | None = None

    def record_sent(self, sequence: int, now: float) -> None:
        """Remember when a numbered heartbeat was sent."""
        self._sent_at[sequence] = now
        if len(self._sent_at) > MAX_SENT_HEARTBEATS:
            del self._sent_at[next(iter(self._sent_at))]

    def has_sent(self, sequence: int) -> bool:
        """Tell whether a heartbeat was sent with this number."""
        return sequence in self._sent_at

    def accept(self, sequence: int, version: Version, installed: Version) -> bool:
        """Take the grant for a heartbeat and tell whether the lease is longer.

        A grant that was given at a later version than the installed one waits
        until that version is installed.
        """
        sent_at = self._sent_at.get(sequence)
        if sent_at is None:
            return False
        if version > installed:
            self._store_pending(_PendingGrant(sent_at, version))
            return False
        return self._renew(sent_at)

    def _store_pending(self, waiting: _PendingGrant) -> None:
        if self._pending is None or waiting.sent_at > self._pending.sent_at:
            self._pending = waiting

    def apply_pending_grant(self, installed: Version) -> bool:
        """Use the grant that waited for a version; tell whether it helped."""
        waiting = self._pending
        if waiting is None or waiting.version > installed:
            return False
        self._pending = None
        return self._renew(waiting.sent_at)

    def _renew(self, sent_at: float) -> bool:
        until = sent_at + LEASE_S
        if until <= self.until:
            return False
        self.until = until
        return True
