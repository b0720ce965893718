"""Keep the latest rate limit that each endpoint has named."""

import msgspec
from msgspec.structs import replace

from burdockwall.process.endpoint_limits.messages import RateObservation
from burdockwall.types import EndpointId

RETENTION_S = 60.0


class RateLimit(msgspec.Struct, frozen=True):
    """The rate that an endpoint named, or None if its latest answer named none.

    `seen_at` is the time of that answer on this process's clock, in seconds, and
    `reported_at` the time of the last report of this limit or an earlier one.
    """

    rate_per_s: float | None
    seen_at: float
    reported_at: float


class RateLimits(msgspec.Struct):
    """The latest limit of each endpoint that has named one."""

    _limits: dict[EndpointId, RateLimit] = msgspec.field(default_factory=dict)

    def find(self, endpoint: EndpointId) -> RateLimit | None:
        """Return what is known of an endpoint, or None if it has named no limit."""
        return self._limits.get(endpoint)

    def merge(self, observed: RateObservation, now: float) -> bool:
        """Use an observation unless a later one is known; return if it changes one."""
        known = self._limits.get(observed.endpoint)
        if known is None and observed.rate_per_s is None:
            return False
        limit = RateLimit(observed.rate_per_s, now - observed.age_s, now)
        if known is not None and known.seen_at > limit.seen_at:
            self._limits[observed.endpoint] = replace(known, reported_at=now)
            return False
        self._limits[observed.endpoint] = limit
        return known is None or known.rate_per_s != limit.rate_per_s

    def describe(self, endpoint: EndpointId, now: float) -> RateObservation | None:
        """Return what is known of an endpoint as an observation, or None."""
        limit = self._limits.get(endpoint)
        if limit is None:
            return None
        age_s = max(0.0, now - limit.seen_at)
        return RateObservation(endpoint, limit.rate_per_s, age_s)

    def list_limited(self) -> frozenset[EndpointId]:
        """List the endpoints whose latest answer named a limit."""
        return frozenset(
            name for name, limit in self._limits.items() if limit.rate_per_s is not None
        )

    def retain(self, endpoints: frozenset[EndpointId]) -> None:
        """Drop all endpoints but these."""
        self._limits = {
            name: limit for name, limit in self._limits.items() if name in endpoints
        }

    def drop_old(self, now: float) -> None:
        """Drop what was last reported more than RETENTION_S ago."""
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if now - limit.reported_at <= RETENTION_S
        }
