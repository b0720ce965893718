"""Distribution of the list of all services' endpoints by the leader."""

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ServiceName,
    Term,
)

RESEND_INTERVAL_S = 1.0


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint of a service; a leaving one takes no new work."""

    name: EndpointId
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    leaving: bool = False


class EndpointList(Message, frozen=True):
    """The whole list; `counter` orders the lists of one term."""

    term: Term
    counter: int
    endpoints: list[ListedEndpoint]


class ListFollower(msgspec.Struct, frozen=True):
    """An incarnation of an instance that is sent the list; a new one has none yet."""

    instance: InstanceId
    incarnation: Incarnation


class PublishEndpoints(msgspec.Struct, frozen=True):
    """Gives the leader's publisher the list that was read and its followers."""

    term: Term
    endpoints: list[ListedEndpoint]
    followers: list[ListFollower]


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
        changed = latest is None or (latest.term, latest.endpoints) != (
            event.term,
            event.endpoints,
        )
        self._latest = event
        if changed:
            self._counter += 1
        message = EndpointList(event.term, self._counter, event.endpoints)
        sends = []
        sent_at = {}
        for follower in event.followers:
            sent_at[follower] = self._sent_at.get(follower, float("-inf"))
            if changed or now - sent_at[follower] >= RESEND_INTERVAL_S:
                sent_at[follower] = now
                sends.append(Send(follower.instance, message))
        self._sent_at = sent_at
        return sends


class EndpointFollower:
    """Stores the latest list that a leader has sent."""

    def __init__(self) -> None:
        self.list_received = False
        self.received_at = 0.0
        self._list_version = (Term(0), 0)
        self._by_service: dict[ServiceName, list[ListedEndpoint]] = {}
        self._names: set[EndpointId] = set()

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

    def list_accepting(self, service: ServiceName) -> list[ListedEndpoint]:
        """List the endpoints of a service that take new work."""
        return self._by_service.get(service, [])

    def list_names(self) -> set[EndpointId]:
        """List the names of all endpoints, leaving ones included."""
        return self._names
