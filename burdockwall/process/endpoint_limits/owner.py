"""Grant the permits of limited endpoints to all instances.

Runs at the leader of the control state. Grants are fenced by its term, and a new leader
starts with empty buckets, so a change of the leader never grants more than the rate.
"""

from collections.abc import Callable

import logbook

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.cold_endpoints.bounds import BURST_S, ColdBounds
from burdockwall.process.cold_endpoints.leader import LeaderColdEndpoints
from burdockwall.process.endpoint_limits.bucket import TokenBucket
from burdockwall.process.endpoint_limits.messages import (
    AskPermits,
    GrantPermits,
    PermitDecision,
    RateObservation,
)
from burdockwall.process.endpoint_limits.observations import RateLimits
from burdockwall.types import EndpointId, InstanceId, Term

# Bounds of the time after which a refused instance asks for an endpoint again.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
# The age of an observation that was never made; any other is later.
UNKNOWN_AGE_S = 1e9
# A new leader learns the limits from the instances that ask. For this time it grants
# nothing for an endpoint that only its predecessor knew to be limited.
LEARNING_S = 1.0
LEARNING_RETRY_S = 0.2
_logger = logbook.Logger("limits")


class PermitOwner:
    """The owner of all endpoints' permits while this instance leads a term.

    `get_term` returns the term that this instance leads, or None. Without `cold`, no
    endpoint counts as cold.
    """

    def __init__(
        self,
        get_term: Callable[[], Term | None],
        cold: LeaderColdEndpoints | None = None,
        bounds: ColdBounds | None = None,
    ) -> None:
        self.get_term = get_term
        self.cold = cold
        self.bounds = bounds or ColdBounds()
        self.term: Term | None = None
        self.limits = RateLimits()
        self._buckets: dict[EndpointId, TokenBucket] = {}
        self._cold_buckets: dict[EndpointId, TokenBucket] = {}
        self._learns_until = 0.0

    def _follow_term(self, now: float) -> None:
        term = self.get_term()
        if term == self.term:
            return
        self.term = term
        self._learns_until = now + LEARNING_S
        self.limits = RateLimits()
        self._buckets = {}
        self._cold_buckets = {}

    def handle(self, event: Tick | Receive, now: float) -> list[Send]:
        """Handle an event and return the answers to send."""
        self._follow_term(now)
        match event:
            case Tick():
                self._drop_old(now)
            case Receive(sender=sender, message=AskPermits() as message):
                return self._handle_ask(sender, message, now)
            case _:
                pass
        return []

    def _drop_old(self, now: float) -> None:
        self.limits.drop_old(now)
        limited = self.limits.list_limited()
        self._buckets = {
            name: bucket for name, bucket in self._buckets.items() if name in limited
        }
        # A bucket starts empty, so one that is dropped while its endpoint stays cold
        # grants nothing more for it.
        self._cold_buckets = {
            name: bucket
            for name, bucket in self._cold_buckets.items()
            if self._find_cold_rate(name, now) is not None
        }

    def _handle_ask(
        self, sender: InstanceId, message: AskPermits, now: float
    ) -> list[Send]:
        if self.term is None:
            return []
        if self.cold is not None:
            for endpoint, age_s in message.suspected.items():
                self.cold.record_suspicion(endpoint, age_s)
        for observed in message.observations:
            if self.limits.merge(observed, now):
                _logger.info(
                    "endpoint's rate limit changed",
                    extra={
                        "endpoint": observed.endpoint,
                        "rate_per_s": observed.rate_per_s,
                        "reported_by": sender,
                        "age_s": observed.age_s,
                    },
                )
        decisions = [
            self._decide(endpoint, count, now)
            for endpoint, count in message.wanted.items()
        ]
        grant = GrantPermits(
            self.term, message.incarnation, message.sequence, decisions
        )
        return [Send(sender, grant)]

    def _decide(self, endpoint: EndpointId, count: int, now: float) -> PermitDecision:
        limit = self.limits.find(endpoint)
        latest = self.limits.describe(endpoint, now)
        cold_rate = self._find_cold_rate(endpoint, now)
        if cold_rate is not None:
            if limit is not None and limit.rate_per_s is not None:
                cold_rate = min(cold_rate, limit.rate_per_s)
            return self._decide_cold(endpoint, count, cold_rate, now)
        if limit is None or latest is None:
            return self._decide_unknown(endpoint, count, now)
        if limit.rate_per_s is None:
            return PermitDecision(latest, count, 0.0)
        bucket = self._find_bucket(endpoint, limit.rate_per_s, now)
        granted = bucket.take(count)
        retry_s = 0.0
        if granted < count:
            retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, bucket.get_wait_s()))
        return PermitDecision(latest, granted, retry_s)

    def _decide_unknown(
        self, endpoint: EndpointId, count: int, now: float
    ) -> PermitDecision:
        unknown = RateObservation(endpoint, None, UNKNOWN_AGE_S)
        if now < self._learns_until:
            return PermitDecision(unknown, 0, LEARNING_RETRY_S)
        return PermitDecision(unknown, count, 0.0)

    def _find_cold_rate(self, endpoint: EndpointId, now: float) -> float | None:
        return None if self.cold is None else self.cold.find_rate(endpoint, now)

    def _decide_cold(
        self, endpoint: EndpointId, count: int, rate_per_s: float, now: float
    ) -> PermitDecision:
        latest = self.limits.describe(endpoint, now)
        rate_per_s = self.bounds.compute_owner_rate(rate_per_s)
        bucket = self._cold_buckets.get(endpoint)
        if bucket is None:
            bucket = self._cold_buckets[endpoint] = TokenBucket(rate_per_s, now)
        bucket.refill(rate_per_s, now)
        bucket.level = min(bucket.level, max(1.0, rate_per_s * BURST_S))
        granted = bucket.take(count)
        retry_s = 0.0
        if granted < count:
            retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, bucket.get_wait_s()))
        unknown = RateObservation(endpoint, None, UNKNOWN_AGE_S)
        return PermitDecision(latest or unknown, granted, retry_s)

    def _find_bucket(
        self, endpoint: EndpointId, rate_per_s: float, now: float
    ) -> TokenBucket:
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = self._buckets[endpoint] = TokenBucket(rate_per_s, now)
        bucket.refill(rate_per_s, now)
        return bucket
