"""Decide at an instance which requests need permits because of cold endpoints.

Made for instances that learn late, or not at all, that an endpoint has become cold. The
published list marks the cold endpoints. An instance adds those whose connections were
refused or reset here, those of a domain whose evacuation ended after the marks were
made, and, once the list is no longer repeated, all that no health response of its own
has shown to be warm. Usual requests to endpoints that the list shows as warm need none.
"""

from collections.abc import Callable, Mapping

import logbook

from burdockwall.process.cold_endpoints.judgement import MAX_COLD_S
from burdockwall.process.endpoints import EndpointFollower, ListedEndpoint
from burdockwall.types import EndpointId, FailureDomain, ServiceName
from burdockwall.version.deployment import ColdRule

# Without a repeated list for this time, which covers an election and the new leader's
# first list, restarts and ends of evacuations may be unknown here.
LIST_SILENCE_S = 4.0
# A list that comes this long after a suspicion was made by a leader that knew of it.
SUSPICION_S = 2.0
# Without a list for this time after a suspicion, the leader may not have heard of it,
# so other instances are told. It marks what it is told within 0.1 s.
UNHEARD_S = 0.3
# A health response of an instance's own counts for this time while the list is silent.
HEALTH_VALID_S = 2.0
# Time between two health requests of an instance, to whichever endpoint. Responses
# that still count then let it use four endpoints, and 60 instances make 120 a second.
CHECK_INTERVAL_S = 0.5
_logger = logbook.Logger("cold")


class ColdView:
    """The endpoints that need permits at one instance because they may be cold."""

    def __init__(
        self,
        follower: EndpointFollower,
        find_evacuation_end: Callable[[FailureDomain], float | None],
    ) -> None:
        self.follower = follower
        self.find_evacuation_end = find_evacuation_end
        self.rules: Mapping[ServiceName, ColdRule] = {}
        self._suspected_at: dict[EndpointId, float] = {}
        self._unshared: set[EndpointId] = set()
        self._warm_at: dict[EndpointId, float] = {}
        self._cold_until: dict[EndpointId, float] = {}
        self._checked_at = float("-inf")
        self._listed: list[ListedEndpoint] = []
        self._by_name: dict[EndpointId, ListedEndpoint] = {}

    def install_rules(self, rules: Mapping[ServiceName, ColdRule]) -> None:
        """Use these rules from now on."""
        self.rules = rules

    def find_endpoint(self, name: EndpointId) -> ListedEndpoint | None:
        """Return a listed endpoint, or None if it is not listed."""
        if self._listed is not self.follower.listed:
            self._listed = self.follower.listed
            self._by_name = {item.name: item for item in self._listed}
            self._drop_unlisted()
        return self._by_name.get(name)

    def _drop_unlisted(self) -> None:
        for times in (self._suspected_at, self._warm_at, self._cold_until):
            for name in times.keys() - self._by_name.keys():
                del times[name]

    def has_rule(self, name: EndpointId) -> bool:
        """Return whether an endpoint's service has a rule for cold endpoints."""
        endpoint = self.find_endpoint(name) if self.rules else None
        return endpoint is not None and endpoint.service in self.rules

    def find_rate(self, name: EndpointId, now: float) -> float | None:
        """Return what a possibly cold endpoint takes per second, or None if warm."""
        if not self.rules:
            return None
        endpoint = self.find_endpoint(name)
        rule = self.rules.get(endpoint.service) if endpoint is not None else None
        if endpoint is None or rule is None or self._is_warm(endpoint, now):
            return None
        return rule.per_s

    def _is_warm(self, endpoint: ListedEndpoint, now: float) -> bool:
        name = endpoint.name
        if now < self._cold_until.get(name, now):
            return False
        suspected_at = self._suspected_at.get(name, float("-inf"))
        warm_at = self._warm_at.get(name, float("-inf"))
        if self.is_list_silent(now):
            return warm_at > suspected_at and now - warm_at < HEALTH_VALID_S
        if self._is_suspected(name) and suspected_at >= warm_at:
            return False
        return not endpoint.cold and self._is_marked(endpoint.failure_domain)

    def _is_suspected(self, name: EndpointId) -> bool:
        """Return whether no list has come for long enough after a suspicion."""
        suspected_at = self._suspected_at.get(name, float("-inf"))
        return self.follower.received_at - suspected_at < SUSPICION_S

    def _is_marked(self, domain: FailureDomain) -> bool:
        """Return whether the list's marks include the latest end of an evacuation."""
        ended = self.find_evacuation_end(domain)
        return ended is None or self.follower.ended.get(domain) == ended

    def is_list_silent(self, now: float) -> bool:
        """Return whether the list has not been repeated for too long."""
        return now - self.follower.received_at >= LIST_SILENCE_S

    def record_suspicion(self, name: EndpointId, now: float) -> bool:
        """Record that an endpoint may have become cold now; return whether to report.

        Endpoints of services without a rule are left out.
        """
        if not self.has_rule(name):
            return False
        was_known = self._is_suspected(name)
        self._suspected_at[name] = now
        if was_known:
            return False
        self._unshared.add(name)
        _logger.notice("endpoint may be cold", extra={"endpoint": name})
        return True

    def explains_closing(self, name: EndpointId, idle_since: float, now: float) -> bool:
        """Return whether the restart already suspected ended an idle connection.

        What is no longer cold from that restart may have restarted again.
        """
        suspected_at = self._suspected_at.get(name, float("-inf"))
        return suspected_at >= idle_since and self.find_rate(name, now) is not None

    def list_suspicions(self, now: float) -> dict[EndpointId, float]:
        """List the ages of the latest suspicions, in seconds."""
        return {
            name: now - at
            for name, at in sorted(self._suspected_at.items())
            if self._is_suspected(name)
        }

    def merge_suspicions(self, ages: Mapping[EndpointId, float], now: float) -> None:
        """Add the suspicions of another instance, by their ages in seconds."""
        for name, age_s in sorted(ages.items()):
            at = now - max(0.0, age_s)
            if self.has_rule(name):
                known_at = self._suspected_at.get(name, at)
                self._suspected_at[name] = max(at, known_at)

    def take_unheard(self, now: float) -> dict[EndpointId, float]:
        """Return the ages of suspicions that the leader seems not to have heard.

        Each suspicion of this instance's own is returned once.
        """
        ages = {}
        for name in sorted(self._unshared):
            endpoint = self.find_endpoint(name)
            at = self._suspected_at.get(name, float("-inf"))
            if endpoint is None or endpoint.cold or self.follower.received_at > at:
                self._unshared.discard(name)
            elif now - at >= UNHEARD_S:
                self._unshared.discard(name)
                ages[name] = now - at
        return ages

    def start_check(self, name: EndpointId, now: float) -> ListedEndpoint | None:
        """Return the endpoint if its health is to be asked for now, else None.

        While the list is repeated, the leader asks for all instances.
        """
        if not self.is_list_silent(now) or not self.has_rule(name):
            return None
        if now - self._checked_at < CHECK_INTERVAL_S:
            return None
        self._checked_at = now
        return self.find_endpoint(name)

    def record_health(
        self, name: EndpointId, left_s: float | None, asked_at: float, now: float
    ) -> None:
        """Record what a health response says; None if it says nothing."""
        if left_s is None:
            return
        if left_s == 0:
            self._warm_at[name] = asked_at
            self._cold_until.pop(name, None)
        elif 0 < left_s <= MAX_COLD_S:
            self._cold_until[name] = now + left_s
