"""Ask for permits of limited endpoints on behalf of requests."""

import math
from collections.abc import Awaitable, Callable, Iterable

import logbook

from burdockwall.machine import Message
from burdockwall.process.cold_endpoints.bounds import ColdBounds
from burdockwall.process.cold_endpoints.health import HealthRefused
from burdockwall.process.cold_endpoints.view import ColdView
from burdockwall.process.endpoint_limits.holder import (
    ANSWER_LIMIT_S,
    Ask,
    Decided,
    LimitedListed,
    ObserveAnswer,
    OwnerInstalled,
    PermitHolder,
    Suspect,
)
from burdockwall.process.endpoint_limits.messages import AskPermits, GrantPermits
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.host import Host
from burdockwall.process.waiters import Waiters
from burdockwall.types import Address, EndpointId, Incarnation, InstanceId, Term

ANSWER_MARGIN_S = 0.2
_logger = logbook.Logger("limits")


class EndpointLimits:
    """The permits of this instance for endpoints that name a rate limit."""

    def __init__(
        self,
        host: Host,
        incarnation: Incarnation,
        cold: ColdView | None = None,
        bounds: ColdBounds | None = None,
    ) -> None:
        self.host = host
        self.cold = cold
        self.holder = PermitHolder(incarnation, cold, bounds)
        # Asks an endpoint how long it stays cold; unset: no health requests.
        self.ask_health: Callable[[ListedEndpoint], Awaitable[float | None]] | None = (
            None
        )
        self.checks_count = 0
        self.asked_count = 0
        self.refused_count = 0
        self._waiters: Waiters[bool] = Waiters()
        # Other instances tell what may be cold while the owner does not hear of it.
        accepts: tuple[type[Message], ...] = (GrantPermits,)
        if cold is not None:
            accepts += (AskPermits,)
        self._hosted = host.add(self.holder, accepts, self._perform)
        self._owner: OwnerInstalled | None = None
        self._listed: frozenset[EndpointId] = frozenset()

    def install_owner(
        self,
        owner: InstanceId | None,
        term: Term,
        instances: int,
        possible: int = 0,
        peers: tuple[InstanceId, ...] = (),
    ) -> None:
        """Ask this owner from now on."""
        installed = OwnerInstalled(owner, term, instances, possible, peers)
        if installed != self._owner:
            self.host.apply(self._hosted, installed)
            self._owner = installed

    def install_listed(self, limited: frozenset[EndpointId]) -> None:
        """Use the endpoints that the published list shows as limited."""
        if limited is self._listed:
            return
        self.host.apply(self._hosted, LimitedListed(limited))
        self._listed = limited

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Drop what is known of all endpoints but these."""
        self.holder.retain(frozenset(endpoints))

    def observe(self, endpoint: EndpointId, rate_per_s: float | None) -> None:
        """Record what an answer of an endpoint says about its limit."""
        if rate_per_s is None and self.holder.limits.find(endpoint) is None:
            return
        known = self.holder.limits.find(endpoint)
        if known is None or known.rate_per_s != rate_per_s:
            _logger.notice(
                "endpoint named a rate limit",
                extra={"endpoint": endpoint, "rate_per_s": rate_per_s},
            )
        self.host.apply(self._hosted, ObserveAnswer(endpoint, rate_per_s))

    def observe_cold(self, endpoint: EndpointId, left_s: float | None) -> None:
        """Record what an answer of an endpoint says about how long it stays cold."""
        now = self.host.clock()
        if self.cold is None or not left_s or self.may_be_cold(endpoint):
            return
        if not math.isnan(left_s):
            self.cold.record_health(endpoint, left_s, now, now)
        self.suspect(endpoint)

    def may_be_cold(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint needs permits because it may be cold."""
        cold = self.cold
        return (
            cold is not None and cold.find_rate(endpoint, self.host.clock()) is not None
        )

    def suspect_address(self, address: Address, idle_since: float) -> None:
        """Record that an endpoint closed an idle connection sooner than announced."""
        if self.cold is not None and self.cold.rules:
            for endpoint in self.cold.follower.listed:
                if endpoint.address == address:
                    self.suspect(endpoint.name, idle_since)

    def suspect(self, endpoint: EndpointId, idle_since: float | None = None) -> None:
        """Record that a connection of an endpoint was refused or reset.

        `idle_since` is when it was last used, if it is found closed only now.
        """
        self.host.apply(self._hosted, Suspect(endpoint, idle_since))

    def needs_permit(self, endpoint: EndpointId) -> bool:
        """Return whether requests to an endpoint need permits."""
        return self.holder.needs_permit(endpoint, self.host.clock())

    def is_exhausted(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint has had no permits left a short time ago."""
        return self.holder.is_exhausted(endpoint, self.host.clock())

    def get_wait_s(self, endpoints: Iterable[EndpointId]) -> float:
        """Return after how many seconds one of the endpoints may have a permit."""
        return self.holder.get_wait_s(endpoints, self.host.clock())

    async def acquire(self, endpoint: EndpointId) -> bool:
        """Return whether one request may be sent to an endpoint now."""
        if not self.needs_permit(endpoint):
            return True
        if await self._is_warm_without_owner(endpoint):
            return True
        self.asked_count += 1
        call = self._waiters.create()
        self.host.apply(self._hosted, Ask(call, endpoint))
        try:
            permitted = await self._waiters.wait(call, ANSWER_LIMIT_S + ANSWER_MARGIN_S)
        except TimeoutError:
            permitted = False
        if not permitted:
            self.refused_count += 1
        return permitted

    async def _is_warm_without_owner(self, endpoint: EndpointId) -> bool:
        """Ask an endpoint itself whether it is cold, while the owner is silent."""
        cold, now = self.cold, self.host.clock()
        if cold is None or self.ask_health is None:
            return False
        if not self.holder.is_owner_silent(now):
            return False
        listed = cold.start_check(endpoint, now)
        if listed is None:
            return False
        self.checks_count += 1
        try:
            left_s = await self.ask_health(listed)
        except HealthRefused:
            return False
        cold.record_health(endpoint, left_s, now, self.host.clock())
        return not self.needs_permit(endpoint)

    def _perform(self, action: Decided) -> None:
        self._waiters.complete(action.call, action.permitted)
