"""Hold one version of the control state in the shape that requests need."""

from dataclasses import dataclass

from burdockwall.errors import Code, RequestRefused
from burdockwall.types import (
    CustomerId,
    EndpointId,
    KeyDigest,
    ModelName,
    PoolName,
    RouteKind,
    RouteName,
    Version,
)
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Route,
    parse_configuration,
)
from burdockwall.version.keys import compute_digest


@dataclass(frozen=True, slots=True)
class View:
    """Index one version of the state by what a request asks for."""

    version: Version
    configuration: Configuration
    keys: dict[KeyDigest, CustomerId]
    customers: dict[CustomerId, Customer]
    pools: dict[PoolName, tuple[Endpoint, ...]]
    endpoints: dict[EndpointId, Endpoint]
    routes: dict[RouteName, Route]

    def find_customer(self, key: str) -> Customer:
        """Return the customer of a key, or raise RequestRefused."""
        digest = compute_digest(key)
        name = self.keys.get(digest)
        if name is None or name not in self.customers:
            raise RequestRefused(Code.KEY_REFUSED)
        # The lookup is by digest, so its timing tells nothing about a key.
        return self.customers[name]

    def find_route(self, path: str, model: ModelName) -> Route:
        """Return the route with the longest matching path, or raise."""
        best: Route | None = None
        for route in self.configuration.routes:
            if not _matches(route, path, model):
                continue
            if best is None or len(route.path) > len(best.path):
                best = route
        if best is None:
            raise RequestRefused(Code.NO_ROUTE, f"no route for {path!r}")
        return best

    def find_model_route(self, path: str) -> bool:
        """Tell whether some route of a model engine has exactly this path."""
        return any(
            route.kind is RouteKind.MODEL and route.path == path
            for route in self.configuration.routes
        )


def _matches(route: Route, path: str, model: ModelName) -> bool:
    if route.kind is RouteKind.MODEL:
        return route.path == path and route.model in ("", model)
    return path == route.path or path.startswith(route.path.rstrip("/") + "/")


def build_view(version: Version, text: str, keys: dict[KeyDigest, CustomerId]) -> View:
    """Build the view of a version from its configuration text and key digests."""
    configuration = parse_configuration(text)
    pools: dict[PoolName, tuple[Endpoint, ...]] = {
        pool.name: () for pool in configuration.pools
    }
    for endpoint in configuration.endpoints:
        pools[endpoint.pool] += (endpoint,)
    return View(
        version=version,
        configuration=configuration,
        keys=keys,
        customers={item.name: item for item in configuration.customers},
        pools=pools,
        endpoints={item.name: item for item in configuration.endpoints},
        routes={item.name: item for item in configuration.routes},
    )


def build_empty_view() -> View:
    """Build the view of version 0, which admits nothing."""
    return build_view(Version(0), "", {})
