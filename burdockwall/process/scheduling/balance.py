"""Choose the endpoint of a request: cached prefixes against load.

It answers the load of many short turns whose programs come to any instance: the
same program goes to the same endpoint while that one is no busier than others.
"""

import hashlib
import random
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass

from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.types import Address, EndpointId, FailureDomain

# A report of an endpoint's load counts in full at first and not at all at this age.
REPORT_MAX_AGE_S = 1.0
# Share of its places that a program's own endpoint may be busier by than the least.
AFFINITY_SLACK = 0.35
# What an endpoint in another failure domain costs, as a share of its places.
REMOTE_DOMAIN_SHARE = 0.05
# What a new connection costs beside one that is open, likewise.
CONNECT_SHARE = 0.1
FAILURES_TO_AVOID = 2
FIRST_AVOID_S = 1.5
AVOID_LIMIT_S = 6.0


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Hold how many requests an endpoint said that it runs and lets wait."""

    running: int
    waiting: int


@dataclass(slots=True)
class _EndpointState:
    own: int = 0
    reported: int = 0
    own_at_report: int = 0
    reported_at: float = float("-inf")
    failures: int = 0
    avoided_until: float = float("-inf")


class Balancer:
    """Count own work and reports of each endpoint, and choose among them."""

    def __init__(
        self,
        own_domain: FailureDomain,
        generator: random.Random,
        is_connected: Callable[[Address], bool] = lambda address: False,
    ) -> None:
        self.own_domain = own_domain
        self.generator = generator
        self.is_connected = is_connected
        self._states: dict[EndpointId, _EndpointState] = {}

    def choose(
        self,
        endpoints: Iterable[ListedEndpoint],
        affinity: str,
        now: float,
        excluded: Set[EndpointId] = frozenset(),
    ) -> ListedEndpoint | None:
        """Return the endpoint for a request, or None where there is none."""
        left = [item for item in endpoints if item.name not in excluded]
        sound = [item for item in left if self._get_state(item).avoided_until <= now]
        candidates = sound or left
        if not candidates:
            return None
        loads = {item.name: self._estimate_load(item, now) for item in candidates}
        least = min(
            candidates,
            key=lambda item: (loads[item.name], self.generator.random()),
        )
        if not affinity:
            return least
        own = max(candidates, key=lambda item: _hash_affinity(affinity, item.name))
        if loads[own.name] <= loads[least.name] + AFFINITY_SLACK:
            return own
        return least

    def _get_state(self, endpoint: ListedEndpoint) -> _EndpointState:
        return self._states.setdefault(endpoint.name, _EndpointState())

    def _estimate_load(self, endpoint: ListedEndpoint, now: float) -> float:
        """Return the share of an endpoint's places that are taken."""
        known = self._get_state(endpoint)
        age = now - known.reported_at
        trust = max(0.0, 1.0 - age / REPORT_MAX_AGE_S)
        others = max(0, known.reported - known.own_at_report) * trust
        far = 0.0 if endpoint.failure_domain == self.own_domain else REMOTE_DOMAIN_SHARE
        connect = 0.0 if self.is_connected(endpoint.address) else CONNECT_SHARE
        return (known.own + others) / max(1, endpoint.slots) + far + connect

    def record_start(self, endpoint: EndpointId) -> None:
        """Count a request that is sent."""
        self._states.setdefault(endpoint, _EndpointState()).own += 1

    def record_end(self, endpoint: EndpointId) -> None:
        """Count a request that has ended."""
        known = self._states.get(endpoint)
        if known is not None and known.own:
            known.own -= 1

    def record_report(
        self, endpoint: EndpointId, report: ReportedLoad, now: float
    ) -> None:
        """Take the load that an answer told."""
        known = self._states.setdefault(endpoint, _EndpointState())
        known.reported = report.running + report.waiting
        known.own_at_report = known.own
        known.reported_at = now

    def record_success(self, endpoint: EndpointId) -> None:
        """Note an answer."""
        known = self._states.get(endpoint)
        if known is not None:
            known.failures = 0

    def record_failure(self, endpoint: EndpointId, now: float) -> bool:
        """Note a failure; tell whether the endpoint is avoided from now on."""
        known = self._states.setdefault(endpoint, _EndpointState())
        known.failures += 1
        if known.failures < FAILURES_TO_AVOID:
            return False
        doubled = FIRST_AVOID_S * 2 ** (known.failures - FAILURES_TO_AVOID)
        known.avoided_until = now + min(AVOID_LIMIT_S, doubled)
        return True

    def forget_unlisted(self, listed: set[EndpointId]) -> None:
        """Forget endpoints that are no longer listed and have no own work."""
        self._states = {
            name: known
            for name, known in self._states.items()
            if name in listed or known.own
        }


def _hash_affinity(affinity: str, endpoint: EndpointId) -> bytes:
    return hashlib.blake2b(f"{affinity}|{endpoint}".encode(), digest_size=8).digest()
