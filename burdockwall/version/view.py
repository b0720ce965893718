"""One version of the control state, indexed for the lookups of requests."""

import msgspec
from msgspec.structs import replace

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
    Item,
    Route,
    join_items,
    parse_configuration,
    parse_items,
)
from burdockwall.version.keys import compute_digest

DEFAULT_SECTION = "DEFAULT"


class View(msgspec.Struct, frozen=True):
    """One version of the control state, with an index for each lookup."""

    version: Version
    configuration: Configuration
    keys: dict[KeyDigest, CustomerId]
    customers: dict[CustomerId, Customer]
    pools: dict[PoolName, tuple[Endpoint, ...]]
    endpoints: dict[EndpointId, Endpoint]
    routes: dict[RouteName, Route]

    def find_customer(self, key: str) -> Customer:
        """Return the customer of a key, or raise RequestRefused."""
        # The lookup is by digest, so its timing reveals nothing about a key.
        digest = compute_digest(key)
        name = self.keys.get(digest)
        if name is None or name not in self.customers:
            raise RequestRefused(Code.KEY_REFUSED)
        return self.customers[name]

    def find_route(self, path: str, model: ModelName) -> Route:
        """Return the route with the longest matching path, or raise RequestRefused."""
        best: Route | None = None
        for route in self.configuration.routes:
            if not _route_matches(route, path, model):
                continue
            if best is None or len(route.path) > len(best.path):
                best = route
        if best is None:
            raise RequestRefused(Code.NO_ROUTE, f"no route for {path!r}")
        return best

    def has_model_route(self, path: str) -> bool:
        """Return whether a route of a model engine has exactly this path."""
        return any(
            route.kind is RouteKind.MODEL and route.path == path
            for route in self.configuration.routes
        )


def _route_matches(route: Route, path: str, model: ModelName) -> bool:
    if route.kind is RouteKind.MODEL:
        return route.path == path and route.model in ("", model)
    return path == route.path or path.startswith(route.path.rstrip("/") + "/")


def build_view(version: Version, text: str, keys: dict[KeyDigest, CustomerId]) -> View:
    """Build the view of a version from its configuration text and key digests."""
    return _index_configuration(version, parse_configuration(text), keys)


def _index_configuration(
    version: Version, configuration: Configuration, keys: dict[KeyDigest, CustomerId]
) -> View:
    pools: dict[PoolName, list[Endpoint]] = {
        pool.name: [] for pool in configuration.pools
    }
    for endpoint in configuration.endpoints:
        pools[endpoint.pool].append(endpoint)
    return View(
        version=version,
        configuration=configuration,
        keys=keys,
        customers={item.name: item for item in configuration.customers},
        pools={name: tuple(members) for name, members in pools.items()},
        endpoints={item.name: item for item in configuration.endpoints},
        routes={item.name: item for item in configuration.routes},
    )


class ViewBuilder:
    """Builds the views of successive versions; parses only the changed sections."""

    def __init__(self) -> None:
        self._sections: dict[str, str] = {}
        self._items: dict[str, Item] = {}
        self._view = build_empty_view()

    def build(
        self,
        version: Version,
        sections: dict[str, str],
        keys: dict[KeyDigest, CustomerId],
    ) -> View:
        """Build the view of a version from its sections and key digests."""
        if sections is self._sections:
            self._view = replace(self._view, version=version, keys=keys)
            return self._view
        if DEFAULT_SECTION in sections:
            # Options of the default section apply to all sections: parse them all.
            self._items = parse_items("".join(sections.values()))
        else:
            self._parse_changed(sections)
        self._view = _index_configuration(version, join_items(self._items), keys)
        # Last, since sections that were built are not built again.
        self._sections = sections
        return self._view

    def _parse_changed(self, sections: dict[str, str]) -> None:
        previous = {} if DEFAULT_SECTION in self._sections else self._sections
        changed = [
            text
            for name, text in sections.items()
            if name and previous.get(name) != text
        ]
        items = self._items | parse_items("".join(changed))
        self._items = {name: item for name, item in items.items() if name in sections}


def build_empty_view() -> View:
    """Build the view of version 0, which admits no request."""
    return build_view(Version(0), "", {})
