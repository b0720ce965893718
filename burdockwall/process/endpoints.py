"""Distribution of the list of all services' endpoints by the leader."""

from dataclasses import dataclass

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.evacuation.follower import EvacuationFollower
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    Term,
)

RESEND_INTERVAL_S = 1.0
LIST_VALID_S = 3 * RESEND_INTERVAL_S


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint of a service; a leaving one takes no new work."""

    name: EndpointId
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    leaving: bool = False
    # Unix time of the start in milliseconds, or None if the list does not give it. A
    # process may start again under the name that it had.
    started_ms: int | None = None
    # Empty if the list gives no versions.
    software: SoftwareVersion = SoftwareVersion("")
    # True if an answer of the endpoint named a limit of its request rate.
    limited: bool = False
    # How long the endpoint stays cold, as the list that was read says; None if it does
    # not say, NaN if that is unreadable. Published lists have None.
    cold_left_s: float | None = None
    # True if requests to the endpoint need permits because it is or may be cold.
    cold: bool = False


class EndpointList(Message, frozen=True):
    """The whole list; `counter` orders the lists of one term."""

    term: Term
    counter: int
    endpoints: list[ListedEndpoint]
    # The ends of evacuations, as Unix times, that the marks of cold endpoints include.
    ended: dict[FailureDomain, float] = {}


class ListFollower(msgspec.Struct, frozen=True):
    """An incarnation of an instance that is sent the list; a new one has none yet."""

    instance: InstanceId
    incarnation: Incarnation


class PublishEndpoints(msgspec.Struct, frozen=True):
    """Gives the leader's publisher the list that was read and its followers."""

    term: Term
    endpoints: list[ListedEndpoint]
    followers: list[ListFollower]
    ended: dict[FailureDomain, float] = {}


def mark_limited(
    endpoints: list[ListedEndpoint], limited: frozenset[EndpointId]
) -> list[ListedEndpoint]:
    """Mark the endpoints that are known to be limited."""
    if not limited:
        return endpoints
    return [
        msgspec.structs.replace(endpoint, limited=endpoint.name in limited)
        for endpoint in endpoints
    ]


class EndpointPublisher:
    """Sends the list to each follower when it changes, and again at intervals."""

    def __init__(self) -> None:
        self._latest: PublishEndpoints | None = None
        self._counter = 0
        self._sent_at: dict[ListFollower, float] = {}

    def handle(
        self, event: PublishEndpoints | Tick | Receive, now: float
    ) -> list[Send]:
        """Handle an event and return the messages to send."""
        if not isinstance(event, PublishEndpoints):
            return []
        latest = self._latest
        changed = latest is None or (
            (latest.term, latest.endpoints, latest.ended)
            != (event.term, event.endpoints, event.ended)
        )
        self._latest = event
        if changed:
            self._counter += 1
        message = EndpointList(event.term, self._counter, event.endpoints, event.ended)
        sends = []
        sent_at = {}
        for follower in event.followers:
            sent_at[follower] = self._sent_at.get(follower, float("-inf"))
            if changed or now - sent_at[follower] >= RESEND_INTERVAL_S:
                sent_at[follower] = now
                sends.append(Send(follower.instance, message))
        self._sent_at = sent_at
        return sends


class LeavingEndpoints:
    """The endpoints whose own answers said that they leave, before any list does.

    An endpoint is included until the list shows a later start of it, or, where the
    list gives no start times, until it is no longer listed.
    """

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, ListedEndpoint] = {}

    def record(self, endpoint: ListedEndpoint) -> bool:
        """Add an endpoint, and return whether it was not included yet."""
        if self.includes(endpoint):
            return False
        self._endpoints[endpoint.name] = endpoint
        return True

    def includes(self, endpoint: ListedEndpoint) -> bool:
        """Return whether this start of an endpoint is leaving."""
        recorded = self._endpoints.get(endpoint.name)
        return recorded is not None and not _has_restarted(recorded, endpoint)

    def install_list(self, listed: list[ListedEndpoint]) -> None:
        """Drop the endpoints that have gone or started again."""
        by_name = {endpoint.name: endpoint for endpoint in listed}
        self._endpoints = {
            name: recorded
            for name, recorded in self._endpoints.items()
            if name in by_name and not _has_restarted(recorded, by_name[name])
        }


def _has_restarted(earlier: ListedEndpoint, later: ListedEndpoint) -> bool:
    if earlier.started_ms is None or later.started_ms is None:
        return False
    return later.started_ms > earlier.started_ms


@dataclass(frozen=True, slots=True)
class _SoleVersion:
    """The version of all listed endpoints of a service, and since when it is."""

    software: SoftwareVersion
    since: float


class EndpointFollower:
    """Stores the latest list that a leader has sent."""

    def __init__(self) -> None:
        self.list_received = False
        self.received_at = 0.0
        self._list_version = (Term(0), 0)
        self._by_service: dict[ServiceName, list[ListedEndpoint]] = {}
        self._names: set[EndpointId] = set()
        self.limited: frozenset[EndpointId] = frozenset()
        # All listed endpoints, and the ends of evacuations that their marks include.
        self.listed: list[ListedEndpoint] = []
        self.ended: dict[FailureDomain, float] = {}
        # The addresses of endpoints that are not leaving, by service.
        self.addresses: tuple[tuple[Address, ...], ...] = ()
        self._announced = LeavingEndpoints()
        self.evacuation = EvacuationFollower()
        self._sole_versions: dict[ServiceName, _SoleVersion] = {}

    def handle(self, event: Tick | Receive, now: float) -> list[Send]:
        """Install a received list unless it is older than the stored one."""
        match event:
            case Receive(message=EndpointList() as message):
                self._install(message, now)
            case _:
                pass
        return []

    def _install(self, message: EndpointList, now: float) -> None:
        version = (message.term, message.counter)
        if version < self._list_version:
            return
        self.list_received = True
        self.received_at = now
        if version == self._list_version:
            return
        self._list_version = version
        self._by_service = {}
        for endpoint in message.endpoints:
            if not endpoint.leaving:
                self._by_service.setdefault(endpoint.service, []).append(endpoint)
        self._names = {endpoint.name for endpoint in message.endpoints}
        self.listed = message.endpoints
        self.ended = message.ended
        self.addresses = tuple(
            tuple(endpoint.address for endpoint in listed)
            for listed in self._by_service.values()
        )
        self.limited = frozenset(
            endpoint.name for endpoint in message.endpoints if endpoint.limited
        )
        self._announced.install_list(message.endpoints)
        self._track_versions(message.endpoints, now)

    def _track_versions(self, endpoints: list[ListedEndpoint], now: float) -> None:
        versions: dict[ServiceName, set[SoftwareVersion]] = {}
        for endpoint in endpoints:
            versions.setdefault(endpoint.service, set()).add(endpoint.software)
        earlier, self._sole_versions = self._sole_versions, {}
        for service, present in versions.items():
            if len(present) > 1:
                continue
            sole = _SoleVersion(next(iter(present)), now)
            known = earlier.get(service)
            if known is not None and known.software == sole.software:
                sole = known
            self._sole_versions[service] = sole

    def find_sole_version(
        self, service: ServiceName, since: float, now: float
    ) -> SoftwareVersion | None:
        """Return the only version that a service has had since a time, or None.

        Leaving endpoints count. A list that is no longer repeated proves nothing.
        """
        sole = self._sole_versions.get(service)
        if sole is None or sole.since > since:
            return None
        return sole.software if now - self.received_at <= LIST_VALID_S else None

    def record_leaving(self, endpoint: ListedEndpoint) -> bool:
        """Record that an endpoint's answer said that it leaves; return whether new."""
        return self._announced.record(endpoint)

    def list_accepting(self, service: ServiceName) -> list[ListedEndpoint]:
        """List the endpoints of a service that take new work."""
        listed = self._list_not_leaving(service)
        if not self.evacuation.evacuations.domains:
            return listed
        return [item for item in listed if not self.is_evacuated(item)]

    def _list_not_leaving(self, service: ServiceName) -> list[ListedEndpoint]:
        listed = self._by_service.get(service, [])
        return [item for item in listed if not self._announced.includes(item)]

    def is_evacuated(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an operator has ordered to send nothing to an endpoint."""
        return self.evacuation.includes(endpoint.failure_domain)

    def list_evacuated(self, service: ServiceName) -> list[ListedEndpoint]:
        """List the endpoints of a service that only an evacuation keeps from work."""
        if not self.evacuation.evacuations.domains:
            return []
        listed = self._list_not_leaving(service)
        return [item for item in listed if self.is_evacuated(item)]

    def list_names(self) -> set[EndpointId]:
        """List the names of all endpoints, leaving ones included."""
        return self._names
