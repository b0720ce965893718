"""Decide when an instance asks again for updates that it has missed."""

import msgspec

from burdockwall.process.membership.messages import MemberListVersion
from burdockwall.types import InstanceId, Version

FIRST_INTERVAL_S = 0.25
MAX_INTERVAL_S = 2.0
# An update may still be on its way when its version is named.
NAMED_DELAY_S = 0.5

Held = tuple[Version, MemberListVersion]


class VersionNamed(msgspec.Struct, frozen=True):
    """Announces that the leader has named its version of the control state."""

    leader: InstanceId
    version: Version


class MissedUpdates:
    """Requests for updates, at growing intervals while none of them arrives."""

    def __init__(self) -> None:
        self._held: Held | None = None
        self._asked_at = float("-inf")
        self._interval_s = FIRST_INTERVAL_S
        self._behind_since: float | None = None

    def record_named(self, behind: bool, now: float) -> None:
        """Record whether a later version was named than the one that has arrived."""
        if not behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def measure_wait(self, now: float) -> float:
        """Return for how long a version that was named has been awaited."""
        return now - self._behind_since if self._behind_since is not None else 0.0

    def is_overdue(self, now: float) -> bool:
        """Return whether an update that was named should have arrived."""
        since = self._behind_since
        return since is not None and now - since >= NAMED_DELAY_S

    def should_ask(self, held: Held, now: float) -> bool:
        """Return whether to ask for what follows the held versions, and record it."""
        if held != self._held:
            self._held = held
            self._interval_s = FIRST_INTERVAL_S
        elif now - self._asked_at < self._interval_s:
            return False
        else:
            self._interval_s = min(MAX_INTERVAL_S, 2 * self._interval_s)
        self._asked_at = now
        return True
