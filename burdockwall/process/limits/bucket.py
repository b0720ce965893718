"""The token bucket of one customer, at the owner of its rate.

Units of a grant count against the burst until the holder returns the grant or it
expires. Level and outstanding grants together never exceed the burst, so no window of
time admits more than the burst plus the refill since then, whenever a grant is spent.

A limit may also cap what is spent in any window of time. The bucket then remembers what
was spent within the last window; outstanding grants count as spent now, since their
holders may spend them at any time.

The owner learns late that a grant was spent. Until then the spent units still count
against the burst, and refill that exceeds the burst is lost. Lost refill is recorded
for a while: when a holder reports when it spent a grant, the refill lost after that
time is restored, up to the size of the grant.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

import msgspec

from burdockwall.process.limits.events import Limit, WindowCap
from burdockwall.process.limits.units import GRANT_LIMIT_S
from burdockwall.types import Incarnation, InstanceId, ShardId


class Need(msgspec.Struct):
    """The units that the waiting requests of one holder lack.

    `units` is the sum, `head` what the first request lacks, and `in_flight` the part
    for requests of programs under way.
    """

    incarnation: Incarnation
    sequence: int
    received_at: float
    units: int
    head: int
    in_flight: int = 0

    @property
    def others(self) -> int:
        """Return the units for other requests."""
        return self.units - self.in_flight


class UnacknowledgedGrant(msgspec.Struct, frozen=True):
    """A grant that its holder has not acknowledged."""

    incarnation: Incarnation
    grant: int
    units: int
    expires_at: float


class PrefetchGrant(msgspec.Struct, frozen=True):
    """A grant for expected requests; the owner can recall it."""

    holder: InstanceId
    units: int


class LostRefill(msgspec.Struct):
    """Units of a period's refill that did not fit into the bucket."""

    started_at: float
    ended_at: float
    units: float


class WindowSpend(msgspec.Struct):
    """Units spent within the last window, which may be spent again after it."""

    units: int = 0
    _ends: list[tuple[float, int]] = msgspec.field(default_factory=list)

    def record(self, units: int, ends_at: float) -> None:
        """Record units whose window ends at a time."""
        self.units += units
        heapq.heappush(self._ends, (ends_at, units))

    def expire(self, now: float) -> None:
        """Drop the units whose window has ended."""
        while self._ends and self._ends[0][0] <= now:
            self.units -= heapq.heappop(self._ends)[1]

    def count_ending(self, until: float) -> int:
        """Count the units whose window ends by a time."""
        return sum(units for ends_at, units in self._ends if ends_at <= until)


@dataclass(slots=True)
class CustomerBucket:
    """A token bucket that is filled up to the burst less the outstanding grants.

    The refill rate is reduced by the clock margin, so that a fast clock never adds
    more than the rate allows.
    """

    shard: ShardId
    limit: Limit
    clock_margin: float
    refilled_at: float
    level: float = 0.0
    outstanding: int = 0
    recalled_at: float = float("-inf")
    needs: dict[InstanceId, Need] = field(default_factory=dict)
    urgent_run: int = 0
    unacknowledged: dict[InstanceId, list[UnacknowledgedGrant]] = field(
        default_factory=dict
    )
    prefetched: dict[int, PrefetchGrant] = field(default_factory=dict)
    lost_refills: deque[LostRefill] = field(default_factory=deque)
    window_spend: WindowSpend = field(default_factory=WindowSpend)

    @property
    def spendable(self) -> float:
        """Return the units that may be granted now."""
        window = self.limit.window
        if window is None:
            return self.level
        return min(self.level, self._get_window_room(window))

    def _get_window_room(self, window: WindowCap, ending: int = 0) -> int:
        # A limit that was lowered may leave less than nothing.
        used = self.outstanding + self.window_spend.units - ending
        return max(0, window.units - used)

    def estimate_spendable(self, after_s: float) -> float:
        """Return the units that may be granted `after_s` seconds from the last refill.

        Outstanding grants are assumed to be spent.
        """
        level = self.level + self.slowed_rate * after_s
        window = self.limit.window
        if window is None:
            return level
        ending = self.window_spend.count_ending(self.refilled_at + after_s)
        return min(level, self._get_window_room(window, ending))

    @property
    def slowed_rate(self) -> float:
        """Return the refill rate in units per second of the owner's own clock."""
        return self.limit.rate_per_s / (1.0 + self.clock_margin)

    def refill(self, now: float) -> None:
        """Add the units due since the last refill."""
        self.window_spend.expire(now)
        room = max(0.0, self.limit.burst - self.outstanding - self.level)
        if now > self.refilled_at:
            incoming = (now - self.refilled_at) * self.slowed_rate
            if self.outstanding and incoming > room:
                self._record_lost_refill(incoming - room, now)
            self.level += min(room, incoming)
            self.refilled_at = now
        self.level = max(0.0, min(self.level, self.limit.burst - self.outstanding))

    def _record_lost_refill(self, units: float, now: float) -> None:
        started_at = now - units / self.slowed_rate
        self.lost_refills.append(LostRefill(started_at, now, units))
        while self.lost_refills and self.lost_refills[0].ended_at < now - GRANT_LIMIT_S:
            self.lost_refills.popleft()

    def restore_lost_refill(self, units: int, spent_at: float) -> None:
        """Restore the refill lost since `spent_at`, at most `units`.

        Call this only for a grant that was outstanding until now: after a grant has
        expired, its room may have been refilled and spent again.
        """
        remaining = float(units)
        for lost in reversed(self.lost_refills):
            if lost.started_at < spent_at or remaining <= 0.0:
                break
            restored = min(remaining, lost.units)
            lost.units -= restored
            remaining -= restored
            self.level += restored
        self.level = max(0.0, min(self.level, self.limit.burst - self.outstanding))

    def change_limit(self, limit: Limit, now: float) -> None:
        """Change the limit after refilling at the former rate up to now."""
        self.refill(now)
        self.limit = limit
        self.lost_refills.clear()
        self.refill(now)

    def take(self, units: int) -> None:
        """Move units from the level to the outstanding grants."""
        self.level -= units
        self.outstanding += units

    def close(self, units: int, unspent: int, spent_at: float, now: float) -> None:
        """End a grant and put its unspent units back into the bucket.

        `spent_at` is the latest time at which any of the others were spent.
        """
        self.refill(now)
        if self.limit.window is not None and units > unspent:
            length_s = self.limit.window.length_s * (1.0 + self.clock_margin)
            self.window_spend.record(units - unspent, spent_at + length_s)
        self.outstanding -= units
        self.level += unspent
        self.refill(now)

    def count_needs(self) -> int:
        """Count the units that the holders lack in total."""
        return sum(need.units for need in self.needs.values())

    def count_in_flight(self) -> int:
        """Count the units that requests of programs under way lack in total."""
        return sum(need.in_flight for need in self.needs.values())

    def count_prefetched(self) -> int:
        """Count the units in outstanding grants for expected requests."""
        return sum(grant.units for grant in self.prefetched.values())

    def count_unacknowledged(
        self,
        holder: InstanceId,
        incarnation: Incarnation,
        acknowledged: int,
        now: float,
    ) -> int:
        """Discard a holder's acknowledged grants and count the units of the others.

        `acknowledged` is the number of the latest grant that the holder has received.
        """
        remaining = [
            item
            for item in self.unacknowledged.pop(holder, [])
            if item.incarnation == incarnation
            and item.grant > acknowledged
            and item.expires_at > now
        ]
        if remaining:
            self.unacknowledged[holder] = remaining
        return sum(item.units for item in remaining)
