"""Decide when an instance asks again for updates that it has missed."""

from burdockwall.process.membership.messages import MemberListVersion
from burdockwall.types import Version

FIRST_INTERVAL_S = 0.25
MAX_INTERVAL_S = 2.0
# An update may still be on its way when a grant names its version.
GRANT_DELAY_S = 0.5

Held = tuple[Version, MemberListVersion]


class MissedUpdates:
    """Requests for updates, at growing intervals while none of them arrives."""

    def __init__(self) -> None:
        self._held: Held | None = None
        self._asked_at = float("-inf")
        self._interval_s = FIRST_INTERVAL_S
        self._behind_since: float | None = None

    def record_grant(self, behind: bool, now: float) -> None:
        """Record whether a grant named a later version than the installed one."""
        if not behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def measure_wait(self, now: float) -> float:
        """Return for how long a version that a grant named has been awaited."""
        return now - self._behind_since if self._behind_since is not None else 0.0

    def is_overdue(self, now: float) -> bool:
        """Return whether an update that a grant named should have arrived."""
        since = self._behind_since
        return since is not None and now - since >= GRANT_DELAY_S

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
