"""Decide which requests of this instance may go to endpoints that name a rate limit.

A request to such an endpoint needs a permit of the owner. One message to the owner is
under way at a time and carries all that waits, so its load grows with the requests to
limited endpoints and not with instances times endpoints. While the owner is silent,
the instance uses its share of the rate, where that is not too small.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.cold_endpoints.bounds import ALONE_INTERVAL_S, ColdBounds
from burdockwall.process.cold_endpoints.view import ColdView
from burdockwall.process.endpoint_limits.bucket import TokenBucket
from burdockwall.process.endpoint_limits.messages import (
    AskPermits,
    GrantPermits,
    PermitDecision,
    RateObservation,
)
from burdockwall.process.endpoint_limits.observations import RateLimits
from burdockwall.types import CallId, EndpointId, Incarnation, InstanceId, Term

# A permit is used within this time after it was asked for, or not at all.
ANSWER_LIMIT_S = 0.15
# After a missing answer, the owner counts as silent for this time.
SILENCE_S = 0.5
# The owner gets at most this many messages per second from all instances.
OWNER_MESSAGES_PER_S = 2000.0
# A smaller share of a rate is not used: all instances' first permits together would
# exceed the rate.
MIN_SHARE_PER_S = 0.5
MIN_WAIT_S = 0.1
# An endpoint that the list no longer shows as limited counts as limited for this time.
LISTED_HOLD_S = 3.0


class Ask(msgspec.Struct, frozen=True):
    """A request asks whether it may be sent to an endpoint."""

    call: CallId
    endpoint: EndpointId


class ObserveAnswer(msgspec.Struct, frozen=True):
    """An answer of an endpoint named a rate limit, or none."""

    endpoint: EndpointId
    rate_per_s: float | None


class Suspect(msgspec.Struct, frozen=True):
    """An endpoint's connection was refused or reset, so that it may be cold.

    `idle_since` is set if that was found on an idle connection, perhaps much later.
    """

    endpoint: EndpointId
    idle_since: float | None = None


class OwnerInstalled(msgspec.Struct, frozen=True):
    """The owner of the permits, its term, and the number of entry instances.

    `possible` also counts those that have failed as far as is known here, and `peers`
    are the other entry instances.
    """

    owner: InstanceId | None
    term: Term
    instances: int
    possible: int = 0
    peers: tuple[InstanceId, ...] = ()


class LimitedListed(msgspec.Struct, frozen=True):
    """The endpoints that the published list shows as limited."""

    endpoints: frozenset[EndpointId]


class Decided(msgspec.Struct, frozen=True):
    """Tells the shell whether a request may be sent."""

    call: CallId
    permitted: bool


class _Sent(msgspec.Struct):
    sequence: int
    sent_at: float
    asks: list[Ask] = msgspec.field(default_factory=list)


Event = Ask | ObserveAnswer | Suspect | OwnerInstalled | LimitedListed | Tick | Receive
Action = Send | Decided


class PermitHolder:
    """Permits of one incarnation of an instance."""

    def __init__(
        self,
        incarnation: Incarnation,
        cold: ColdView | None = None,
        bounds: ColdBounds | None = None,
    ) -> None:
        self.incarnation = incarnation
        self.cold = cold
        self.bounds = bounds or ColdBounds()
        self.limits = RateLimits()
        self.owner: InstanceId | None = None
        self.term = Term(0)
        self.instances = 1
        self.possible = 1
        self.peers: tuple[InstanceId, ...] = ()
        # Until when an endpoint counts as limited because the list showed it so.
        self._listed_until: dict[EndpointId, float] = {}
        self._exhausted_until: dict[EndpointId, float] = {}
        self._shares: dict[EndpointId, TokenBucket] = {}
        self._silent_until = float("-inf")
        self._waiting: list[Ask] = []
        self._unreported: set[EndpointId] = set()
        self._sent: _Sent | None = None
        self._sequence = 0
        self._next_send_at = float("-inf")
        # When a request was last sent to a cold endpoint without the owner.
        self._sent_alone_at: dict[EndpointId, float] = {}

    def needs_permit(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint is known to be limited, or may be cold."""
        if self._find_cold_rate(endpoint, now) is not None:
            return True
        limit = self.limits.find(endpoint)
        if limit is None:
            return self._listed_until.get(endpoint, now) > now
        return limit.rate_per_s is not None

    def _find_cold_rate(self, endpoint: EndpointId, now: float) -> float | None:
        return None if self.cold is None else self.cold.find_rate(endpoint, now)

    def is_owner_silent(self, now: float) -> bool:
        """Return whether the owner is unknown, or has not answered a short time ago."""
        return self.owner is None or now < self._silent_until

    def is_exhausted(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint's permits were refused a short time ago."""
        return self._exhausted_until.get(endpoint, now) > now

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event; return messages to send and decisions on requests."""
        match event:
            case Ask():
                return self._ask(event, now)
            case ObserveAnswer(endpoint=endpoint, rate_per_s=rate_per_s):
                return self._observe(RateObservation(endpoint, rate_per_s, 0.0), now)
            case Suspect():
                return self._suspect(event, now)
            case OwnerInstalled():
                return self._install_owner(event, now)
            case LimitedListed(endpoints=endpoints):
                self._install_listed(endpoints, now)
            case Receive(message=GrantPermits() as message):
                return self._handle_grant(message, now)
            case Receive(message=AskPermits(suspected=suspected)):
                if self.cold is not None:
                    self.cold.merge_suspicions(suspected, now)
            case Tick():
                return [*self._tick(now), *self._share_suspicions(now)]
            case _:
                pass
        return []

    def _install_owner(self, event: OwnerInstalled, now: float) -> list[Action]:
        changed = (event.owner, event.term) != (self.owner, self.term)
        if changed:
            self._silent_until = float("-inf")
        self.owner = event.owner
        self.term = max(self.term, event.term)
        self.instances = max(1, event.instances)
        self.possible = max(self.instances, event.possible)
        self.peers = event.peers
        # A new owner does not know what its predecessor was told.
        return self._report_suspicions(now) if changed else []

    def _suspect(self, event: Suspect, now: float) -> list[Action]:
        if self.cold is None:
            return []
        since = event.idle_since
        if since is not None and self.cold.explains_closing(event.endpoint, since, now):
            return []
        if not self.cold.record_suspicion(event.endpoint, now):
            return []
        return self._report_suspicions(now)

    def _report_suspicions(self, now: float) -> list[Action]:
        """Tell the owner at once what may be cold; later messages repeat it."""
        suspected = {} if self.cold is None else self.cold.list_suspicions(now)
        if self.owner is None or not suspected:
            return []
        # No answer is awaited, so the message has no sequence number of its own.
        message = AskPermits(self.incarnation, 0, [], {}, suspected)
        return [Send(self.owner, message)]

    def _install_listed(self, endpoints: frozenset[EndpointId], now: float) -> None:
        # The list of a new leader lacks what it has not learned yet.
        dropped_at = now + LISTED_HOLD_S
        self._listed_until = {
            name: min(until, dropped_at)
            for name, until in self._listed_until.items()
            if until > now
        }
        self._listed_until.update(dict.fromkeys(endpoints, float("inf")))

    def _ask(self, ask: Ask, now: float) -> list[Action]:
        if not self.needs_permit(ask.endpoint, now):
            return [Decided(ask.call, True)]
        if self.is_exhausted(ask.endpoint, now):
            return [Decided(ask.call, False)]
        if self.is_owner_silent(now):
            return [self._decide_alone(ask, now)]
        self._waiting.append(ask)
        return self._send_waiting(now)

    def _share_suspicions(self, now: float) -> list[Action]:
        """Tell the other instances what the owner seems not to have heard."""
        unheard = {} if self.cold is None else self.cold.take_unheard(now)
        if not unheard:
            return []
        message = AskPermits(self.incarnation, 0, [], {}, unheard)
        return [Send(peer, message) for peer in self.peers]

    def _observe(self, observed: RateObservation, now: float) -> list[Action]:
        if not self.limits.merge(observed, now):
            return []
        self._exhausted_until.pop(observed.endpoint, None)
        self._unreported.add(observed.endpoint)
        return self._send_waiting(now)

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        sent = self._sent
        if sent is not None and now - sent.sent_at > ANSWER_LIMIT_S:
            actions += self._give_up(sent, now)
        return actions + self._send_waiting(now)

    def _give_up(self, sent: _Sent, now: float) -> list[Action]:
        """Decide without the owner, whose answer is missing."""
        self._sent = None
        self._silent_until = now + SILENCE_S
        asks, self._waiting = [*sent.asks, *self._waiting], []
        return [self._decide_alone(ask, now) for ask in asks]

    def _decide_cold_alone(self, ask: Ask, rate_per_s: float, now: float) -> Decided:
        sent_at = self._sent_alone_at.get(ask.endpoint, float("-inf"))
        if now - sent_at < ALONE_INTERVAL_S:
            return Decided(ask.call, False)
        if not self.bounds.allows_alone(rate_per_s, self.possible):
            return Decided(ask.call, False)
        self._sent_alone_at[ask.endpoint] = now
        return Decided(ask.call, True)

    def _decide_alone(self, ask: Ask, now: float) -> Decided:
        cold_rate = self._find_cold_rate(ask.endpoint, now)
        if cold_rate is not None:
            return self._decide_cold_alone(ask, cold_rate, now)
        limit = self.limits.find(ask.endpoint)
        if limit is None or limit.rate_per_s is None:
            return Decided(ask.call, not self.needs_permit(ask.endpoint, now))
        rate_per_s = limit.rate_per_s / self.instances
        if rate_per_s < MIN_SHARE_PER_S:
            return Decided(ask.call, False)
        bucket = self._shares.get(ask.endpoint)
        if bucket is None:
            bucket = self._shares[ask.endpoint] = TokenBucket(rate_per_s, now)
        bucket.refill(rate_per_s, now)
        bucket.level = min(1.0, bucket.level)
        return Decided(ask.call, bucket.take(1) == 1)

    def _send_waiting(self, now: float) -> list[Action]:
        if self._sent is not None or now < self._next_send_at or self.owner is None:
            return []
        if now < self._silent_until or not (self._waiting or self._unreported):
            return []
        asks, self._waiting = self._waiting, []
        wanted = Counter(ask.endpoint for ask in asks)
        reported = sorted(self._unreported | set(wanted))
        self._unreported = set()
        described = [self.limits.describe(endpoint, now) for endpoint in reported]
        observations = [item for item in described if item is not None]
        self._sequence += 1
        self._next_send_at = now + self.instances / OWNER_MESSAGES_PER_S
        if asks:
            self._sent = _Sent(self._sequence, now, asks)
        suspected = {} if self.cold is None else self.cold.list_suspicions(now)
        message = AskPermits(
            self.incarnation, self._sequence, observations, dict(wanted), suspected
        )
        return [Send(self.owner, message)]

    def _handle_grant(self, message: GrantPermits, now: float) -> list[Action]:
        sent = self._sent
        if sent is None or message.term < self.term:
            return []
        answered = (message.incarnation, message.sequence)
        if answered != (self.incarnation, sent.sequence):
            return []
        if now - sent.sent_at > ANSWER_LIMIT_S:
            return self._give_up(sent, now)
        self._sent = None
        self._shares.clear()
        actions: list[Action] = []
        for decision in message.decisions:
            endpoint = decision.latest.endpoint
            asks = [ask for ask in sent.asks if ask.endpoint == endpoint]
            actions += self._apply(decision, asks, now)
        return actions + self._send_waiting(now)

    def _apply(
        self, decision: PermitDecision, asks: list[Ask], now: float
    ) -> list[Action]:
        endpoint = decision.latest.endpoint
        self.limits.merge(decision.latest, now)
        if self.limits.find(endpoint) is None and decision.granted == len(asks):
            self._listed_until.pop(endpoint, None)
        if decision.granted < len(asks):
            self._exhausted_until[endpoint] = now + decision.retry_after_s
        return [
            Decided(ask.call, index < decision.granted)
            for index, ask in enumerate(asks)
        ]

    def get_wait_s(self, endpoints: Iterable[EndpointId], now: float) -> float:
        """Return after how many seconds one of the endpoints may have a permit."""
        waits = [self._exhausted_until.get(name, now) - now for name in endpoints]
        return max(MIN_WAIT_S, min(waits, default=MIN_WAIT_S))

    def retain(self, endpoints: frozenset[EndpointId]) -> None:
        """Drop what is known of all endpoints but these."""
        self.limits.retain(endpoints)
        self._exhausted_until = {
            name: until
            for name, until in self._exhausted_until.items()
            if name in endpoints
        }
        self._sent_alone_at = {
            name: at for name, at in self._sent_alone_at.items() if name in endpoints
        }
