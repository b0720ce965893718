"""Choose the endpoint of a request by cached prefixes and load.

Made for many short turns whose programs may reach any instance: every instance sends
the same program to the same endpoint, where its prefix is cached, unless that endpoint
is busier than the least loaded one by more than AFFINITY_SLACK.
"""

import hashlib
import random
from collections.abc import Callable, Iterable, Set

import msgspec

from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.endpoint_health import EndpointHealth
from burdockwall.process.scheduling.request_work import RequestWork
from burdockwall.types import Address, EndpointId, FailureDomain

# The weight of an endpoint's load report falls linearly from 1 to 0 at this age.
REPORT_MAX_AGE_S = 1.0
# How much more loaded than the least loaded endpoint the endpoint of a program may be,
# as a share of its slots.
AFFINITY_SLACK = 0.35
# Load added to an endpoint in another failure domain, as a share of its slots.
REMOTE_DOMAIN_SHARE = 0.05
# Load added to an endpoint without an idle open connection, as a share of its slots.
CONNECT_SHARE = 0.1
FAILURES_TO_AVOID = 2
FIRST_AVOID_S = 1.5
AVOID_LIMIT_S = 6.0
# Further failures don't lengthen the avoidance, and so count no more.
MAX_FAILURES = 4


class ReportedLoad(msgspec.Struct, frozen=True):
    """The numbers of running and waiting requests that an endpoint reported.

    `slots` is 0 if the endpoint names none. `pace` is how long work takes there at this
    moment, as a multiple of the usual time.
    """

    running: int
    waiting: int
    slots: int = 0
    pace: float = 1.0


class _EndpointState(msgspec.Struct):
    own: int = 0
    reported: int = 0
    own_at_report: int = 0
    reported_at: float = float("-inf")
    failures: int = 0
    avoided_until: float = float("-inf")


class Balancer:
    """Chooses among endpoints by this instance's requests and the endpoints' reports.

    An endpoint that fails repeatedly is avoided for a time that doubles.
    """

    def __init__(
        self,
        own_domain: FailureDomain,
        generator: random.Random,
        is_connected: Callable[[Address], bool] = lambda address: False,
        health: EndpointHealth | None = None,
    ) -> None:
        self.own_domain = own_domain
        self.generator = generator
        self.is_connected = is_connected
        self.health = health
        self._states: dict[EndpointId, _EndpointState] = {}

    def weigh(self, endpoint: ListedEndpoint, now: float) -> float:
        """Return the part of its usual load that an endpoint may get, from 0 to 1."""
        state = self._states.get(endpoint.name)
        if state is not None and state.avoided_until > now:
            return 0.0
        return (
            1.0 if self.health is None else self.health.get_weight(endpoint.name, now)
        )

    def choose(
        self,
        endpoints: Iterable[ListedEndpoint],
        affinity: str,
        now: float,
        excluded: Set[EndpointId] = frozenset(),
        work: RequestWork | None = None,
    ) -> ListedEndpoint | None:
        """Return the endpoint for a request, or None if there is none.

        The request's `work` is not used here.
        """
        allowed = [item for item in endpoints if item.name not in excluded]
        candidates = self._list_healthy(allowed, now)
        if not candidates:
            return None
        loads = {item.name: self._estimate_load(item, now) for item in candidates}
        least = min(
            candidates,
            key=lambda item: (loads[item.name], self.generator.random()),
        )
        if not affinity:
            return least
        # Rendezvous hashing: all instances agree on the endpoint of a program.
        preferred = max(
            candidates, key=lambda item: _hash_affinity(affinity, item.name)
        )
        if loads[preferred.name] <= loads[least.name] + AFFINITY_SLACK:
            return preferred
        return least

    def _list_healthy(
        self, allowed: list[ListedEndpoint], now: float
    ) -> list[ListedEndpoint]:
        """List the endpoints that serve well, or all if none does.

        One that returns after its failures is listed in a growing share of the calls.
        """
        weights = [self.weigh(item, now) for item in allowed]
        accepted = [
            item
            for item, weight in zip(allowed, weights, strict=True)
            if weight >= 1.0 or self.generator.random() < weight
        ]
        return accepted or allowed

    def _get_state(self, endpoint: ListedEndpoint) -> _EndpointState:
        return self._states.setdefault(endpoint.name, _EndpointState())

    def _estimate_load(self, endpoint: ListedEndpoint, now: float) -> float:
        """Return the used share of an endpoint's slots, plus the costs of distance.

        Requests of other instances are the reported ones beyond this instance's own.
        """
        state = self._get_state(endpoint)
        age = now - state.reported_at
        trust = max(0.0, 1.0 - age / REPORT_MAX_AGE_S)
        others = max(0, state.reported - state.own_at_report) * trust
        far = 0.0 if endpoint.failure_domain == self.own_domain else REMOTE_DOMAIN_SHARE
        connect = 0.0 if self.is_connected(endpoint.address) else CONNECT_SHARE
        return (state.own + others) / max(1, endpoint.slots) + far + connect

    def record_start(self, endpoint: EndpointId) -> None:
        """Count a request that was sent."""
        self._states.setdefault(endpoint, _EndpointState()).own += 1

    def record_work_start(
        self, endpoint: EndpointId, work: RequestWork, now: float
    ) -> None:
        """Count a request that was sent, of which `work` is known."""
        self.record_start(endpoint)

    def record_work_end(
        self, endpoint: EndpointId, work: RequestWork, now: float
    ) -> None:
        """Count a request that has ended, of which `work` is known."""
        self.record_end(endpoint)

    def record_end(self, endpoint: EndpointId) -> None:
        """Count a request that has ended."""
        state = self._states.get(endpoint)
        if state is not None and state.own:
            state.own -= 1

    def record_report(
        self, endpoint: EndpointId, report: ReportedLoad, now: float
    ) -> None:
        """Record the load that an endpoint reported with its answer."""
        state = self._states.setdefault(endpoint, _EndpointState())
        state.reported = report.running + report.waiting
        state.own_at_report = state.own
        state.reported_at = now

    def record_success(self, endpoint: EndpointId) -> None:
        """Count a failure less of an endpoint that answered.

        Were they all reset, one that fails each second request would never be avoided.
        """
        state = self._states.get(endpoint)
        if state is not None and state.failures:
            state.failures -= 1

    def record_failure(self, endpoint: EndpointId, now: float) -> bool:
        """Count a failure; return whether the endpoint is avoided from now on."""
        state = self._states.setdefault(endpoint, _EndpointState())
        state.failures = min(MAX_FAILURES, state.failures + 1)
        if state.failures < FAILURES_TO_AVOID:
            return False
        doubled = FIRST_AVOID_S * 2 ** (state.failures - FAILURES_TO_AVOID)
        state.avoided_until = now + min(AVOID_LIMIT_S, doubled)
        return True

    def forget_failures(self) -> None:
        """Avoid no endpoint any more, since this instance itself was cut off."""
        for state in self._states.values():
            state.failures = 0
            state.avoided_until = float("-inf")

    def list_gauges(self) -> list[tuple[str, Callable[[], float]]]:
        """List the gauges of the choice of endpoints."""
        return []

    def drop_unlisted(self, listed: set[EndpointId]) -> None:
        """Drop the state of unlisted endpoints with no request of this instance."""
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in listed or state.own
        }


def _hash_affinity(affinity: str, endpoint: EndpointId) -> bytes:
    return hashlib.blake2b(f"{affinity}|{endpoint}".encode(), digest_size=8).digest()
