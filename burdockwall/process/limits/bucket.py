"""Hold the bucket of one customer at its owner.

What is granted and neither given back nor lapsed counts against the burst: level and
outstanding grants together never exceed it, so no window of time ever sees more than
the burst and what has come in since, whenever a grant is spent.
"""

from dataclasses import dataclass, field

from burdockwall.process.limits.events import Limit
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
class Unseen:
    """Remember a grant that its holder may not have received yet."""

    incarnation: Incarnation
    grant: int
    units: int
    lapse_at: float


@dataclass(slots=True)
class CustomerBucket:
    """Refill at a rate up to the burst less the outstanding grants.

    The rate is slowed by the clock margin, so that a fast clock brings no more.
    """

    shard: ShardId
    limit: Limit
    clock_margin: float
    at: float
    level: float = 0.0
    outstanding: int = 0
    recalled_at: float = float("-inf")
    needs: dict[InstanceId, Need] = field(default_factory=dict)
    unseen: dict[InstanceId, list[Unseen]] = field(default_factory=dict)
    ahead: dict[int, InstanceId] = field(default_factory=dict)

    @property
    def slowed_rate(self) -> float:
        """Return the units a second by the owner's own clock."""
        return self.limit.rate_per_s / (1.0 + self.clock_margin)

    def refill(self, now: float) -> None:
        """Add what has come in since the last refill."""
        if now > self.at:
            self.level += (now - self.at) * self.slowed_rate
            self.at = now
        room = self.limit.burst - self.outstanding
        self.level = max(0.0, min(self.level, room))

    def change_limit(self, limit: Limit, now: float) -> None:
        """Put a limit in force; what came in before it came at the former rate."""
        self.refill(now)
        self.limit = limit
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

    def list_unseen(
        self, holder: InstanceId, incarnation: Incarnation, seen: int, now: float
    ) -> int:
        """Forget the grants that a holder has seen; count the units of the rest."""
        kept = [
            item
            for item in self.unseen.pop(holder, [])
            if item.incarnation == incarnation
            and item.grant > seen
            and item.lapse_at > now
        ]
        if kept:
            self.unseen[holder] = kept
        return sum(item.units for item in kept)
