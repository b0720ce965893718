"""Hold the bucket of one customer at its owner.

What is granted and neither given back nor lapsed counts against the burst: level and
outstanding grants together never exceed it, so no window of time ever sees more than
the burst and what has come in since, whenever a grant is spent.

While a spent grant still counts, the bucket may be full for the owner though it is not
in truth, and what comes in is lost. The losses are remembered for a while: once a
holder tells when it spent a grant, as much as was lost since is made good.
"""

from collections import deque
from dataclasses import dataclass, field

from burdockwall.process.limits.events import Limit
from burdockwall.process.limits.units import GRANT_LIMIT_S
from burdockwall.types import Incarnation, InstanceId, ShardId


@dataclass(slots=True)
class Need:
    """Hold what one holder's waiting requests lack."""

    incarnation: Incarnation
    sequence: int
    received_at: float
    units: int
    head: int


@dataclass(frozen=True, slots=True)
class UnacknowledgedGrant:
    """Remember a grant that its holder may not have received yet."""

    incarnation: Incarnation
    grant: int
    units: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class PrefetchGrant:
    """Remember a grant for expected requests, which can be recalled."""

    holder: InstanceId
    units: int


@dataclass(slots=True)
class LostRefill:
    """Remember units that came in over a time and found no room."""

    started_at: float
    ended_at: float
    units: float


@dataclass(slots=True)
class CustomerBucket:
    """Refill at a rate up to the burst less the outstanding grants.

    The rate is slowed by the clock margin, so that a fast clock brings no more.
    """

    shard: ShardId
    limit: Limit
    clock_margin: float
    refilled_at: float
    level: float = 0.0
    outstanding: int = 0
    recalled_at: float = float("-inf")
    needs: dict[InstanceId, Need] = field(default_factory=dict)
    unacknowledged: dict[InstanceId, list[UnacknowledgedGrant]] = field(
        default_factory=dict
    )
    prefetched: dict[int, PrefetchGrant] = field(default_factory=dict)
    lost_refills: deque[LostRefill] = field(default_factory=deque)

    @property
    def slowed_rate(self) -> float:
        """Return the units a second by the owner's own clock."""
        return self.limit.rate_per_s / (1.0 + self.clock_margin)

    def refill(self, now: float) -> None:
        """Add what has come in since the last refill."""
        room = max(0.0, self.limit.burst - self.outstanding - self.level)
        if now > self.refilled_at:
            incoming = (now - self.refilled_at) * self.slowed_rate
            if self.outstanding and incoming > room:
                self._record_lost_refill(incoming - room, now)
            self.level += min(room, incoming)
            self.refilled_at = now
        self.level = max(0.0, min(self.level, self.limit.burst - self.outstanding))

    def _record_lost_refill(self, units: float, now: float) -> None:
        since = now - units / self.slowed_rate
        self.lost_refills.append(LostRefill(since, now, units))
        while self.lost_refills and self.lost_refills[0].ended_at < now - GRANT_LIMIT_S:
            self.lost_refills.popleft()

    def restore_lost_refill(self, units: int, spent_at: float) -> None:
        """Add what was lost between a spend and its report, at most as much.

        Only for a grant that counted as outstanding until now: once it has lapsed,
        its room may have been filled and spent.
        """
        left = float(units)
        for loss in reversed(self.lost_refills):
            if loss.started_at < spent_at or left <= 0.0:
                break
            part = min(left, loss.units)
            loss.units -= part
            left -= part
            self.level += part
        self.level = max(0.0, min(self.level, self.limit.burst - self.outstanding))

    def change_limit(self, limit: Limit, now: float) -> None:
        """Put a limit in force; what came in before it came at the former rate."""
        self.refill(now)
        self.limit = limit
        self.lost_refills.clear()
        self.refill(now)

    def take(self, units: int) -> None:
        """Move units from the level to the outstanding grants."""
        self.level -= units
        self.outstanding += units

    def close(self, units: int, unspent: int, now: float) -> None:
        """End a grant of which some units come back."""
        self.refill(now)
        self.outstanding -= units
        self.level += unspent
        self.refill(now)

    def count_needs(self) -> int:
        """Count the units that all holders lack."""
        return sum(need.units for need in self.needs.values())

    def count_prefetched(self) -> int:
        """Count the units that were granted for expected requests."""
        return sum(grant.units for grant in self.prefetched.values())

    def count_unacknowledged(
        self, holder: InstanceId, incarnation: Incarnation, seen: int, now: float
    ) -> int:
        """Forget the grants that a holder has seen; count the units of the rest."""
        kept = [
            item
            for item in self.unacknowledged.pop(holder, [])
            if item.incarnation == incarnation
            and item.grant > seen
            and item.expires_at > now
        ]
        if kept:
            self.unacknowledged[holder] = kept
        return sum(item.units for item in kept)
