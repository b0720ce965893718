"""A numbered configuration whose routes are found by host and path prefix."""

import hashlib
from collections.abc import Iterable
from enum import Enum

import msgspec

from burdockwall.types import (
    CustomerId,
    DocumentName,
    KeyDigest,
    RouteName,
    ServiceName,
)

DEPLOYMENT = DocumentName("deployment")
PATH_SEPARATOR = "/"


class RequestKind(Enum):
    """The kind of a route's requests: repeatable, unrepeatable or streaming."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests, by weight."""

    service: ServiceName
    weight: int


class HostRoute(msgspec.Struct, frozen=True):
    """A route of a host; rank 0 is the most urgent, and times are in seconds.

    `max_attempts` bounds the endpoints on which one request may run. With
    `retains_turns`, a turn is stored for `retention_s` and later turns continue it. A
    caller may take up a broken stream of a `resumable` route after its last event.
    `objective_s` is the time within which an answer should begin, or 0.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    rank: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    retains_turns: bool
    retention_s: float
    open: bool
    resumable: bool = False
    # Requests on the same object go to one endpoint.
    sticky: bool = False
    # Names of regions; None if every region is allowed.
    allowed_regions: frozenset[str] | None = None
    objective_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.SAFE


class EngineParameters(msgspec.Struct, frozen=True):
    """The engines of a service; a stream's event counts as `event_tokens` tokens.

    The requests that run on one engine share a memory of `memory_tokens`, or 0 if the
    configuration does not give it.
    """

    event_tokens: int
    memory_tokens: int = 0


class ColdRule(msgspec.Struct, frozen=True):
    """How long a new endpoint stays cold, and what it takes from all instances."""

    start_s: float
    per_s: float


class HostService(msgspec.Struct, frozen=True):
    """A service; all instances share `max_connections` to one endpoint.

    Without a `cold` rule its endpoints count as warm from their start.
    """

    name: ServiceName
    max_connections: int
    engine: EngineParameters | None = None
    cold: ColdRule | None = None
    health_path: str = ""


class HostCustomer(msgspec.Struct, frozen=True):
    """A customer; without a rate it has no limit."""

    name: CustomerId
    keys: tuple[KeyDigest, ...]
    rank: int | None
    rate_per_s: float
    burst: float
    # Names of regions; None if every region is allowed.
    allowed_regions: frozenset[str] | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """What a request of a caller may take, and how long its connection may be idle."""

    body_bytes: int = 4_194_304
    head_bytes: int = 16_384
    head_s: float = 3.0
    idle_s: float = 15.0


class Deployment(msgspec.Struct, frozen=True):
    """A numbered configuration."""

    number: int
    routes: tuple[HostRoute, ...]
    services: dict[ServiceName, HostService]
    customers: tuple[HostCustomer, ...]
    limits: RequestLimits = RequestLimits()


class DeploymentView(msgspec.Struct):
    """Finds the routes, customers and services of one configuration."""

    deployment: Deployment
    _routes: dict[tuple[str, str], HostRoute] = msgspec.field(default_factory=dict)
    _customers: dict[KeyDigest, HostCustomer] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.deployment.routes:
            self._routes[route.host, route.prefix] = route
        for customer in self.deployment.customers:
            for key in customer.keys:
                self._customers[key] = customer

    @property
    def number(self) -> int:
        """Return the operator's number of the configuration."""
        return self.deployment.number

    def find_route(self, host: str, path: str) -> HostRoute | None:
        """Return the route of the host with the longest prefix of the path."""
        end = path.rfind(PATH_SEPARATOR)
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(PATH_SEPARATOR, 0, end)
        return None

    def find_customer(self, key: KeyDigest) -> HostCustomer | None:
        """Return the customer that holds a key."""
        return self._customers.get(key)

    def get_service(self, name: ServiceName) -> HostService:
        """Return a service that a route names."""
        return self.deployment.services[name]

    def list_cold_rules(self) -> dict[ServiceName, ColdRule]:
        """List the rules of the services whose endpoints may be cold."""
        return list_cold_rules(self.deployment)


def list_cold_rules(deployment: Deployment) -> dict[ServiceName, ColdRule]:
    """List the rules of the services whose endpoints may be cold."""
    return {
        name: service.cold
        for name, service in deployment.services.items()
        if service.cold is not None
    }


def choose_service(shares: Iterable[ServiceShare], request_id: str) -> ServiceName:
    """Choose a service by weight; the same request id always gets the same one."""
    weighted = [share for share in shares if share.weight > 0]
    total = sum(share.weight for share in weighted)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") % total
    for share in weighted:
        point -= share.weight
        if point < 0:
            return share.service
    return weighted[-1].service
