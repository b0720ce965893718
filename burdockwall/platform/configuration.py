"""Decoder of the operator's configurations."""

import msgspec

from burdockwall.connection.json_text import JsonUnreadable, decode_json
from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.types import CustomerId, RouteName, ServiceName
from burdockwall.version.deployment import (
    ColdRule,
    Deployment,
    EngineParameters,
    HostCustomer,
    HostRoute,
    HostService,
    RequestKind,
    RequestLimits,
    ServiceShare,
)
from burdockwall.version.deployment_ranges import list_faults
from burdockwall.version.keys import compute_digest

MS_PER_S = 1000.0
ROUTE_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    # The latency objective; for a stream, up to its first event.
    target_latency_ms: float = 0.0
    # A rank; 0 is the most urgent.
    priority: int = 0
    service: str | None = None
    backends: list[_Share] = []
    # The most endpoints on which one attempt of a caller may run.
    max_attempts: int = 1
    # Whether turns are stored, so that later turns can continue them.
    retained: bool = False
    retention_s: float = 60.0
    # Open to callers without a key.
    public: bool = False
    resumable: bool = False
    sticky: bool = False
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct, rename="kebab"):
    slots: int = 1
    # The tokens that each event of a stream counts as.
    event_tokens: int = 1
    # The memory of an engine, in tokens.
    kv_capacity: int = 0


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    # The most connections to one endpoint from all instances together.
    max_conns: int = 64
    engine: _Engine | None = None
    health_path: str = ""
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] | None = None


class _Configuration(msgspec.Struct, rename="kebab"):
    # The operator's number; the configuration with the highest one is in force.
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_decoder = msgspec.json.Decoder(_Configuration)


def decode_deployment(data: bytes) -> Deployment:
    """Decode a configuration; raise InvalidFile with every fault found."""
    try:
        wire = decode_json(data, _decoder)
    except JsonUnreadable as error:
        fault = _build_fault("configuration", str(error))
        raise InvalidFile(Code.CONFIGURATION_INVALID, [fault]) from error
    faults = [*_check_routes(wire), *_check_services(wire), *_check_tenants(wire)]
    _raise_any(faults)
    return _convert(wire)


def decode_new(data: bytes) -> Deployment:
    """Decode what is not in force yet; raise InvalidFile if it could not be.

    What an earlier build has stored stays in force, so only this has ranges.
    """
    deployment = decode_deployment(data)
    _raise_any([_build_fault(*fault) for fault in list_faults(deployment)])
    return deployment


def _raise_any(faults: list[Fault]) -> None:
    if faults:
        raise InvalidFile(Code.CONFIGURATION_INVALID, faults)


def _convert(wire: _Configuration) -> Deployment:
    return Deployment(
        wire.version,
        tuple(_convert_route(route) for route in wire.routes),
        {ServiceName(each.name): _convert_service(each) for each in wire.services},
        tuple(_convert_tenant(tenant) for tenant in wire.tenants),
        RequestLimits(
            wire.limits.max_body_bytes,
            wire.limits.max_header_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _build_fault(place: str, problem: str) -> Fault:
    remedy = "Correct it and send the configuration again."
    return Fault(Code.CONFIGURATION_INVALID, place, problem, remedy)


def _list_shares(route: _Route) -> list[_Share]:
    if route.service is not None:
        return [_Share(route.service, 1)]
    return route.backends


def _check_routes(wire: _Configuration) -> list[Fault]:
    faults = []
    services = {service.name for service in wire.services}
    prefixes: set[tuple[str, str]] = set()
    for route in wire.routes:
        place = f"route {route.name}"
        shares = _list_shares(route)
        for share in shares:
            if share.service not in services:
                problem = f"service {share.service!r} is unknown"
                faults.append(_build_fault(place, problem))
            if share.weight < 0:
                problem = f"the weight of {share.service!r} is {share.weight}"
                faults.append(_build_fault(place, problem))
        if sum(share.weight for share in shares) <= 0:
            faults.append(_build_fault(place, "the weights add up to 0"))
        if route.timeout_ms <= 0:
            faults.append(_build_fault(place, f"the time-out is {route.timeout_ms}"))
        if route.route_kind not in ROUTE_KINDS:
            problem = f"the kind {route.route_kind!r} is unknown"
            faults.append(_build_fault(place, problem))
        if (route.host, route.path_prefix) in prefixes:
            problem = f"{route.host}{route.path_prefix} is another route's"
            faults.append(_build_fault(place, problem))
        prefixes.add((route.host, route.path_prefix))
    return faults


def _check_services(wire: _Configuration) -> list[Fault]:
    faults = []
    for service in wire.services:
        for field in ("cold_start_s", "cold_per_s"):
            value = getattr(service, field)
            if value < 0:
                problem = f"{field.replace('_', '-')} is {value}"
                faults.append(_build_fault(f"service {service.name}", problem))
    return faults


def _check_tenants(wire: _Configuration) -> list[Fault]:
    faults = []
    tenants_by_key: dict[str, str] = {}
    for tenant in wire.tenants:
        for key in tenant.api_keys:
            other = tenants_by_key.setdefault(key, tenant.name)
            if other != tenant.name:
                problem = f"a key is also held by {other}"
                faults.append(_build_fault(f"customer {tenant.name}", problem))
    return faults


def _convert_route(route: _Route) -> HostRoute:
    return HostRoute(
        name=RouteName(route.name),
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=ROUTE_KINDS[route.route_kind],
        timeout_s=route.timeout_ms / MS_PER_S,
        rank=route.priority,
        shares=tuple(
            ServiceShare(ServiceName(share.service), share.weight)
            for share in _list_shares(route)
        ),
        max_attempts=route.max_attempts or 1,
        retains_turns=route.retained,
        retention_s=route.retention_s,
        open=route.public,
        resumable=route.resumable,
        sticky=route.sticky,
        allowed_regions=_convert_regions(route.allowed_regions),
        objective_s=route.target_latency_ms / MS_PER_S,
    )


def _convert_regions(names: list[str] | None) -> frozenset[str] | None:
    return None if names is None else frozenset(names)


def _convert_service(service: _Service) -> HostService:
    engine = service.engine
    cold = None
    if service.cold_per_s:
        cold = ColdRule(service.cold_start_s, service.cold_per_s)
    parameters = None
    if engine is not None:
        parameters = EngineParameters(engine.event_tokens, engine.kv_capacity)
    return HostService(
        ServiceName(service.name),
        service.max_conns,
        parameters,
        cold,
        service.health_path,
    )


def _convert_tenant(tenant: _Tenant) -> HostCustomer:
    return HostCustomer(
        CustomerId(tenant.name),
        tuple(compute_digest(key) for key in tenant.api_keys),
        tenant.priority,
        tenant.rate_per_s,
        tenant.burst,
        _convert_regions(tenant.allowed_regions),
    )
