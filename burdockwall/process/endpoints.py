"""Distribution of the list of all services' endpoints by the leader."""

from operator import attrgetter
from typing import ClassVar

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.evacuation.follower import EvacuationFollower
from burdockwall.process.membership.missed_updates import VersionNamed
from burdockwall.process.sole_versions import SoleVersions
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    Term,
    Version,
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
    """The whole list; `counter` orders the lists of one term.

    `sole_s` is for how many seconds the leader has known each service that has a single
    software version to have no other, `version` that of its control state; earlier
    builds do not send them.
    """

    term: Term
    counter: int
    endpoints: list[ListedEndpoint]
    # The ends of evacuations, as Unix times, that the marks of cold endpoints include.
    ended: dict[FailureDomain, float] = {}
    sole_s: dict[ServiceName, float] = {}
    version: Version = Version(0)


class EndpointChanges(Message, frozen=True):
    """What changed from the list with the counter `since` to the one with `counter`.

    They are equal if the list is only repeated. Lists are sorted by name.
    """

    protocol: ClassVar[int] = 4

    term: Term
    since: int
    counter: int
    changed: list[ListedEndpoint] = []
    removed: list[EndpointId] = []
    ended: dict[FailureDomain, float] = {}
    sole_s: dict[ServiceName, float] = {}
    version: Version = Version(0)


class AskEndpoints(Message, frozen=True):
    """Request for the whole list, since changes followed another one."""

    protocol: ClassVar[int] = 4


class ListFollower(msgspec.Struct, frozen=True):
    """An incarnation of an instance that is sent the list; a new one has none yet."""

    instance: InstanceId
    incarnation: Incarnation


class PublishEndpoints(msgspec.Struct, frozen=True):
    """Gives the leader's publisher the list that was read and its followers.

    `sole_since` is since when each service with a single version has had it. Followers
    in `read_changes` need not be sent the whole list each time. `version` is the latest
    of the control state.
    """

    term: Term
    endpoints: list[ListedEndpoint]
    followers: list[ListFollower]
    ended: dict[FailureDomain, float] = {}
    sole_since: dict[ServiceName, float] = {}
    read_changes: frozenset[InstanceId] = frozenset()
    version: Version = Version(0)


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


class _Sent(msgspec.Struct, frozen=True):
    """When a follower was sent a list, and the counter of that; -1 if it never was."""

    at: float = float("-inf")
    counter: int = -1


class EndpointPublisher:
    """Sends the list to each follower when it changes, and again at intervals.

    A follower that reads changes and was sent the list before is sent the difference.
    """

    def __init__(self) -> None:
        self._latest: PublishEndpoints | None = None
        self._counter = 0
        self._sent: dict[ListFollower, _Sent] = {}
        # What changed from the list before the latest one.
        self._changed: list[ListedEndpoint] = []
        self._removed: list[EndpointId] = []
        self._comparable = False

    def handle(
        self, event: PublishEndpoints | Tick | Receive, now: float
    ) -> list[Send]:
        """Handle an event and return the messages to send."""
        match event:
            case PublishEndpoints():
                return self._publish(event, now)
            case Receive(sender=sender, message=AskEndpoints()):
                # The next list that is published answers, if this is still the leader.
                self._forget_sent(sender)
                return []
            case _:
                return []

    def _publish(self, event: PublishEndpoints, now: float) -> list[Send]:
        latest = self._latest
        self._latest = event
        if latest is None or (
            (latest.term, latest.endpoints, latest.ended)
            != (event.term, event.endpoints, event.ended)
        ):
            self._counter += 1
            self._compare(latest.endpoints if latest else [], event.endpoints)
        if latest is not None and latest.term != event.term:
            self._sent = {}
        followers = event.followers
        self._sent = {item: self._sent.get(item, _Sent()) for item in followers}
        return self._send(event, now)

    def _compare(
        self, earlier: list[ListedEndpoint], later: list[ListedEndpoint]
    ) -> None:
        by_name = {endpoint.name: endpoint for endpoint in earlier}
        names = {endpoint.name for endpoint in later}
        self._changed = [item for item in later if by_name.get(item.name) != item]
        self._removed = list(by_name.keys() - names)
        # Changes name endpoints, so they can't describe two of one name.
        self._comparable = len(by_name) == len(earlier) and len(names) == len(later)

    def _forget_sent(self, instance: InstanceId) -> None:
        for follower in self._sent:
            if follower.instance == instance:
                self._sent[follower] = _Sent()

    def _send(self, event: PublishEndpoints, now: float) -> list[Send]:
        sole_s = {name: now - since for name, since in event.sole_since.items()}
        whole = EndpointList(
            event.term,
            self._counter,
            event.endpoints,
            event.ended,
            sole_s,
            event.version,
        )
        repeat = EndpointChanges(
            event.term,
            self._counter,
            self._counter,
            ended=event.ended,
            sole_s=sole_s,
            version=event.version,
        )
        changes = msgspec.structs.replace(
            repeat,
            since=self._counter - 1,
            changed=self._changed,
            removed=self._removed,
        )
        sends = []
        for follower, sent in self._sent.items():
            if sent.counter == self._counter and now - sent.at < RESEND_INTERVAL_S:
                continue
            message: Message = whole
            if follower.instance in event.read_changes:
                if sent.counter == self._counter:
                    message = repeat
                elif sent.counter == self._counter - 1 and self._comparable:
                    message = changes
            self._sent[follower] = _Sent(now, self._counter)
            sends.append(Send(follower.instance, message))
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
        self._sole_versions = SoleVersions()

    def handle(self, event: Tick | Receive, now: float) -> list[Send | VersionNamed]:
        """Install a received list unless it is older than the stored one.

        The leader sends it directly, so that the version that it names doesn't depend
        on a relay.
        """
        match event:
            case Receive(sender=sender, message=EndpointList() as message):
                self._install(message, now)
                return [VersionNamed(sender, message.version)]
            case Receive(sender=sender, message=EndpointChanges() as message):
                named = VersionNamed(sender, message.version)
                if not self._install_changes(message, now):
                    return [named, Send(sender, AskEndpoints())]
                return [named]
            case _:
                return []

    def _install_changes(self, message: EndpointChanges, now: float) -> bool:
        """Install changes, and return False if they follow a list that is not here."""
        if (message.term, message.counter) < self._list_version:
            return True
        if (message.term, message.counter) == self._list_version:
            self._sole_versions.extend(message.sole_s, now)
            self.received_at = now
            return True
        if (message.term, message.since) != self._list_version:
            return False
        listed = {endpoint.name: endpoint for endpoint in self.listed}
        for name in message.removed:
            listed.pop(name, None)
        listed.update((endpoint.name, endpoint) for endpoint in message.changed)
        whole = EndpointList(
            message.term,
            message.counter,
            sorted(listed.values(), key=attrgetter("name")),
            message.ended,
            message.sole_s,
        )
        self._install(whole, now)
        return True

    def _install(self, message: EndpointList, now: float) -> None:
        version = (message.term, message.counter)
        if version < self._list_version:
            return
        if version != self._list_version:
            self._install_changed(message, now)
        self._sole_versions.extend(message.sole_s, now)
        self.list_received = True
        self.received_at = now

    def _may_have_missed(self, message: EndpointList, now: float) -> bool:
        """Return whether other lists may have been sent since the latest one."""
        term, counter = self._list_version
        if message.term == term:
            return message.counter > counter + 1
        return now - self.received_at > LIST_VALID_S

    def _install_changed(self, message: EndpointList, now: float) -> None:
        if self._may_have_missed(message, now):
            self._sole_versions.clear()
        self._list_version = (message.term, message.counter)
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
        self._sole_versions.install(
            ((item.service, item.software) for item in message.endpoints), now
        )

    def find_sole_version(
        self, service: ServiceName, since: float, now: float
    ) -> SoftwareVersion | None:
        """Return the only version that a service has had since a time, or None.

        Leaving endpoints count. A list that is no longer repeated proves nothing.
        """
        if now - self.received_at > LIST_VALID_S:
            return None
        return self._sole_versions.find(service, since)

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
