"""Ask for permits of limited endpoints on behalf of requests."""

from collections.abc import Iterable

import logbook

from burdockwall.process.endpoint_limits.holder import (
    ANSWER_LIMIT_S,
    Ask,
    Decided,
    LimitedListed,
    ObserveAnswer,
    OwnerInstalled,
    PermitHolder,
)
from burdockwall.process.endpoint_limits.messages import GrantPermits
from burdockwall.process.host import Host
from burdockwall.process.waiters import Waiters
from burdockwall.types import EndpointId, Incarnation, InstanceId, Term

ANSWER_MARGIN_S = 0.2
_logger = logbook.Logger("limits")


class EndpointLimits:
    """The permits of this instance for endpoints that name a rate limit."""

    def __init__(self, host: Host, incarnation: Incarnation) -> None:
        self.host = host
        self.holder = PermitHolder(incarnation)
        self.refused_count = 0
        self._waiters: Waiters[bool] = Waiters()
        self._hosted = host.add(self.holder, (GrantPermits,), self._perform)
        self._owner: OwnerInstalled | None = None
        self._listed: frozenset[EndpointId] = frozenset()

    def install_owner(
        self, owner: InstanceId | None, term: Term, instances: int
    ) -> None:
        """Ask this owner from now on."""
        installed = OwnerInstalled(owner, term, instances)
        if installed != self._owner:
            self._owner = installed
            self.host.apply(self._hosted, installed)

    def install_listed(self, limited: frozenset[EndpointId]) -> None:
        """Use the endpoints that the published list shows as limited."""
        if limited is self._listed:
            return
        self._listed = limited
        self.host.apply(self._hosted, LimitedListed(limited))

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
        call = self._waiters.create()
        self.host.apply(self._hosted, Ask(call, endpoint))
        try:
            permitted = await self._waiters.wait(call, ANSWER_LIMIT_S + ANSWER_MARGIN_S)
        except TimeoutError:
            permitted = False
        if not permitted:
            self.refused_count += 1
        return permitted

    def _perform(self, action: Decided) -> None:
        self._waiters.complete(action.call, action.permitted)
