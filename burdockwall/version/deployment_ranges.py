"""Check that an instance can put a decoded deployment in force.

Figures are added up, encoded for peers and sent in headers, so each has a range.
"""

import re
from collections.abc import Iterator, Mapping

from burdockwall.version.deployment import (
    PATH_SEPARATOR,
    Deployment,
    HostCustomer,
    HostRoute,
    HostService,
)

MAX_NUMBER = 2**63 - 1
MAX_COUNT = 10**12
MAX_TIME_S = 1e9
SHOWN_CHARACTERS = 80
COUNT = (0, MAX_COUNT)
RANK = (-MAX_COUNT, MAX_COUNT)
TIME_S = (0.0, MAX_TIME_S)
# What can't be in a header's value, or at its ends.
UNSENDABLE_PATTERN = re.compile(r"[\x00-\x1f\x7f]|\A[ \t]|[ \t]\Z")
TARGET_PATTERN = re.compile(r"[!-~]*")

Fault = tuple[str, str]
Ranges = Mapping[str, tuple[float, float]]

ROUTE_RANGES: Ranges = {
    "timeout_s": TIME_S,
    "retention_s": TIME_S,
    "objective_s": TIME_S,
    "rank": RANK,
    "max_attempts": COUNT,
}
LIMIT_RANGES: Ranges = {
    "body_bytes": COUNT,
    "head_bytes": COUNT,
    "head_s": TIME_S,
    "idle_s": TIME_S,
}
CUSTOMER_RANGES: Ranges = {"rank": RANK, "rate_per_s": COUNT, "burst": COUNT}
ENGINE_RANGES: Ranges = {"event_tokens": COUNT, "memory_tokens": COUNT}
COLD_RANGES: Ranges = {"start_s": TIME_S, "per_s": COUNT}


def list_faults(deployment: Deployment) -> Iterator[Fault]:
    """List the place of each fault, and the value and problem there."""
    place = "configuration"
    yield from _check(place, deployment, {"number": (0, MAX_NUMBER)})
    yield from _check(place, deployment.limits, LIMIT_RANGES)
    for route in deployment.routes:
        yield from _check_route(route)
    yield from _check_doubles(deployment)
    for service in deployment.services.values():
        yield from _check_service(service)
    for customer in deployment.customers:
        yield from _check_customer(customer)


def _check_route(route: HostRoute) -> Iterator[Fault]:
    place = f"route {_show(route.name)}"
    yield from _check(place, route, ROUTE_RANGES)
    for share in route.shares:
        yield from _check(f"{place} {_show(share.service)}", share, {"weight": COUNT})
    prefix = route.prefix
    if not prefix.startswith(PATH_SEPARATOR) or not prefix.endswith(PATH_SEPARATOR):
        yield place, f"the prefix {_show(prefix)!r} doesn't begin and end with a slash"


def _check_doubles(deployment: Deployment) -> Iterator[Fault]:
    """List the routes whose host and prefix an earlier one has; case is no matter."""
    seen: set[tuple[str, str]] = set()
    for route in deployment.routes:
        if (route.host, route.prefix) in seen:
            shown = _show(f"{route.host}{route.prefix}")
            yield f"route {_show(route.name)}", f"{shown} is another route's"
        seen.add((route.host, route.prefix))


def _check_service(service: HostService) -> Iterator[Fault]:
    place = f"service {_show(service.name)}"
    yield from _check(place, service, {"max_connections": COUNT})
    if service.engine is not None:
        yield from _check(place, service.engine, ENGINE_RANGES)
    if service.cold is not None:
        yield from _check(place, service.cold, COLD_RANGES)
    if not TARGET_PATTERN.fullmatch(service.health_path):
        yield place, f"the health path {_show(service.health_path)!r} is no path"


def _check_customer(customer: HostCustomer) -> Iterator[Fault]:
    place = f"customer {_show(customer.name)}"
    yield from _check(place, customer, CUSTOMER_RANGES)
    if UNSENDABLE_PATTERN.search(customer.name):
        yield place, f"the name {_show(customer.name)!r} can't be sent in a header"


def _check(place: str, item: object, ranges: Ranges) -> Iterator[Fault]:
    for name, (least, most) in ranges.items():
        value = getattr(item, name)
        if value is not None and not least <= value <= most:
            yield place, f"{name} is {_show(str(value))}, not {least} to {most}"


def _show(text: str) -> str:
    return text[:SHOWN_CHARACTERS]
