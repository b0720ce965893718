"""Find the members that are behind the leader's version, and since when."""

from collections import deque
from collections.abc import Iterable

import msgspec

from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.timing import (
    LARGE_FLEET_MEMBERS,
    LARGE_HEARTBEAT_INTERVAL_S,
    RELAY_BATCH_S,
)
from burdockwall.types import Incarnation, InstanceId, Version

# Longer than the time in which a member reports what it has installed.
BEHIND_AFTER_S = 1.5
LARGE_BEHIND_AFTER_S = LARGE_HEARTBEAT_INTERVAL_S + 3 * RELAY_BATCH_S
MAX_VERSIONS = 1024


class Lag(msgspec.Struct, frozen=True):
    """A member that has not reported a version `behind_s` after its acceptance."""

    instance: InstanceId
    incarnation: Incarnation
    version: Version
    latest: Version
    behind_s: float


class LagsChanged(msgspec.Struct, frozen=True):
    """Announces the members that fell behind and the ones that caught up."""

    behind: tuple[Lag, ...]
    caught_up: tuple[InstanceId, ...]


class LagTracker:
    """Compares the versions that members report with the accepted ones."""

    def __init__(self) -> None:
        self.lags: dict[InstanceId, Lag] = {}
        self._accepted: deque[tuple[Version, float]] = deque(maxlen=MAX_VERSIONS)

    def reset(self, version: Version, now: float) -> None:
        """Start a term, in which members have to reach `version` from now on."""
        self.lags = {}
        self._accepted.clear()
        self._accepted.append((version, now))

    def check(
        self, records: Iterable[MemberRecord], latest: Version, now: float
    ) -> list[LagsChanged]:
        """Record the latest version and return what has changed."""
        if not self._accepted or self._accepted[-1][0] < latest:
            self._accepted.append((latest, now))
        previous = self.lags
        self.lags = {}
        members = list(records)
        large = len(members) > LARGE_FLEET_MEMBERS
        behind_after_s = LARGE_BEHIND_AFTER_S if large else BEHIND_AFTER_S
        for record in members:
            lag = self._measure(record, now)
            if lag is not None and lag.behind_s >= behind_after_s:
                self.lags[lag.instance] = lag
        behind = tuple(lag for name, lag in self.lags.items() if name not in previous)
        caught_up = tuple(name for name in previous if name not in self.lags)
        return [LagsChanged(behind, caught_up)] if behind or caught_up else []

    def _measure(self, record: MemberRecord, now: float) -> Lag | None:
        for version, accepted_at in self._accepted:
            if version > record.version:
                details = record.details
                latest = self._accepted[-1][0]
                return Lag(
                    details.instance,
                    details.incarnation,
                    record.version,
                    latest,
                    now - accepted_at,
                )
        return None

    def get_longest_s(self) -> float:
        """Return for how long the member that is behind longest has been so."""
        return max((lag.behind_s for lag in self.lags.values()), default=0.0)
