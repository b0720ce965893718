"""The configuration as data classes, with its conversion to and from INI text.

Operators build a Configuration in Python, print it and submit the printed text. The
same Configuration always prints the same bytes.
"""

import configparser
import io
from collections.abc import Iterator
from enum import Enum
from typing import Any, get_type_hints

import msgspec

from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.types import (
    Address,
    CustomerId,
    EndpointId,
    EndpointRole,
    FailureDomain,
    ModelName,
    PoolName,
    PriorityClass,
    RouteKind,
    RouteName,
)


class Customer(msgspec.Struct, frozen=True):
    """A customer: requests per second, burst in requests, and fair-share weight."""

    name: CustomerId
    rate_per_s: float = 10.0
    burst: int = 20
    weight: float = 1.0


class Pool(msgspec.Struct, frozen=True):
    """A set of endpoints that are interchangeable for a route."""

    name: PoolName
    kind: RouteKind = RouteKind.MODEL


class Endpoint(msgspec.Struct, frozen=True):
    """An endpoint: its address, and the requests that it serves.

    `assets` lists the models that it serves, each as MODEL, MODEL+ADAPTER,
    MODEL@VERSION or MODEL+ADAPTER@VERSION; if empty, it serves everything.
    """

    name: EndpointId
    pool: PoolName
    address: Address
    failure_domain: FailureDomain = FailureDomain("a")
    checks_orders: bool = False
    tls: bool = False
    assets: tuple[str, ...] = ()
    role: EndpointRole = EndpointRole.ANY
    moves_cache: bool = False


class Route(msgspec.Struct, frozen=True):
    """A route from a path, and optionally a model, to a pool.

    An empty `customers` admits every customer; `open` admits callers without a key.
    """

    name: RouteName
    path: str
    pool: PoolName
    kind: RouteKind = RouteKind.MODEL
    model: ModelName = ModelName("")
    open: bool = False
    repeatable: bool = True
    priority: PriorityClass = PriorityClass.NORMAL
    customers: tuple[CustomerId, ...] = ()
    cost: float = 1.0
    adapter: str = ""
    version: str = ""


class Configuration(msgspec.Struct, frozen=True):
    """Everything that operators configure; parsed tuples are sorted by name."""

    customers: tuple[Customer, ...] = ()
    pools: tuple[Pool, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    routes: tuple[Route, ...] = ()


Item = Customer | Pool | Endpoint | Route

SECTION_TYPES: dict[str, type[Item]] = {
    "customer": Customer,
    "pool": Pool,
    "endpoint": Endpoint,
    "route": Route,
}
_SECTION_FIELDS = {
    "customer": "customers",
    "pool": "pools",
    "endpoint": "endpoints",
    "route": "routes",
}
_TYPE_HINTS: dict[str, dict[str, Any]] = {
    word: get_type_hints(item_type) for word, item_type in SECTION_TYPES.items()
}
_BOOLEAN_WORDS = {"yes": True, "no": False}


def _print_value(value: object) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case Enum():
            return str(value.value)
        case tuple():
            return " ".join(str(item) for item in value)
        case _:
            return str(value)


def _list_items(configuration: Configuration) -> Iterator[tuple[str, Item]]:
    for section, attribute in _SECTION_FIELDS.items():
        items: tuple[Item, ...] = getattr(configuration, attribute)
        for item in sorted(items, key=lambda item: item.name):
            yield section, item


def print_configuration(configuration: Configuration) -> str:
    """Print a configuration as the INI text that is submitted."""
    parser = configparser.ConfigParser(interpolation=None)
    for section, item in _list_items(configuration):
        values = {
            name: _print_value(getattr(item, name))
            for name in item.__struct_fields__
            if name != "name"
        }
        parser[f"{section} {item.name}"] = values
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def _convert_value(type_hint: Any, text: str) -> object:
    base = getattr(type_hint, "__supertype__", type_hint)
    if base is bool:
        if text not in _BOOLEAN_WORDS:
            raise ValueError("is not yes or no")
        return _BOOLEAN_WORDS[text]
    if isinstance(base, type) and issubclass(base, Enum):
        return base(text)
    if getattr(base, "__origin__", None) is tuple:
        return tuple(text.split())
    return base(text)


class _ItemReader:
    """Reads the items of one configuration text and collects its faults."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.faults: list[Fault] = []

    def report(self, place: str, problem: str, remedy: str) -> None:
        """Add a fault at a place in the text."""
        place = f"{self.source}: {place}"
        fault = Fault(Code.CONFIGURATION_INVALID, place, problem, remedy)
        self.faults.append(fault)

    def read_item(self, section: str, values: dict[str, str]) -> Item | None:
        """Build the item that a section describes; report faults and return None."""
        word, _, name = section.partition(" ")
        item_type = SECTION_TYPES.get(word)
        if item_type is None or not name:
            words = ", ".join(SECTION_TYPES)
            self.report(f"[{section}]", "the section is unknown", f"Use {words} NAME.")
            return None
        hints = _TYPE_HINTS[word]
        converted: dict[str, Any] = {"name": name}
        for option, text in values.items():
            if option not in hints or option == "name":
                self.report(
                    f"[{section}] {option}", "the option is unknown", "Remove it."
                )
                continue
            try:
                converted[option] = _convert_value(hints[option], text)
            except ValueError as error:
                self.report(
                    f"[{section}] {option}",
                    f"the value {text!r} is not valid ({error})",
                    "Correct the value.",
                )
        try:
            return item_type(**converted)
        except TypeError as error:
            self.report(f"[{section}]", str(error), "Add the missing option.")
            return None


def _check_items(configuration: Configuration, reader: _ItemReader) -> None:
    pools = {pool.name for pool in configuration.pools}
    customers = {customer.name for customer in configuration.customers}
    for endpoint in configuration.endpoints:
        if endpoint.pool not in pools:
            place = f"[endpoint {endpoint.name}] pool"
            reader.report(place, f"no pool {endpoint.pool!r}", "Define the pool.")
    for route in configuration.routes:
        place = f"[route {route.name}]"
        if route.pool not in pools:
            reader.report(
                f"{place} pool", f"no pool {route.pool!r}", "Define the pool."
            )
        if not route.path.startswith("/"):
            reader.report(
                f"{place} path", f"{route.path!r} has no slash", "Begin it with /."
            )
        for name in route.customers:
            if name not in customers:
                reader.report(
                    f"{place} customers", f"no customer {name!r}", "Define it."
                )
    for customer in configuration.customers:
        if customer.rate_per_s <= 0 or customer.burst < 1 or customer.weight <= 0:
            reader.report(
                f"[customer {customer.name}]",
                "rate_per_s, burst and weight must be positive",
                "Correct the values.",
            )


def parse_configuration(text: str, source: str = "configuration") -> Configuration:
    """Parse a submitted text; raise InvalidFile with every fault found."""
    reader = _ItemReader(source)
    configuration = join_items(_read_items(text, reader))
    _check_items(configuration, reader)
    if reader.faults:
        raise InvalidFile(Code.CONFIGURATION_INVALID, reader.faults)
    return configuration


def parse_items(text: str) -> dict[str, Item]:
    """Parse sections of an accepted text without checking their references."""
    reader = _ItemReader("accepted configuration")
    items = _read_items(text, reader)
    if reader.faults:
        raise InvalidFile(Code.CONFIGURATION_INVALID, reader.faults)
    return items


def _read_items(text: str, reader: _ItemReader) -> dict[str, Item]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, reader.source)
    except configparser.Error as error:
        reader.report("text", str(error).replace("\n", " "), "Correct the syntax.")
        raise InvalidFile(Code.CONFIGURATION_INVALID, reader.faults) from error
    items = {}
    for section in parser.sections():
        item = reader.read_item(section, dict(parser.items(section)))
        if item is not None:
            items[section] = item
    return items


def join_items(items: dict[str, Item]) -> Configuration:
    """Build a configuration from its items, which are keyed by section."""
    groups: dict[str, list[Any]] = {name: [] for name in _SECTION_FIELDS.values()}
    for section, item in items.items():
        groups[_SECTION_FIELDS[section.partition(" ")[0]]].append(item)
    return Configuration(
        **{
            name: tuple(sorted(group, key=lambda item: item.name))
            for name, group in groups.items()
        }
    )


def check_configuration(configuration: Configuration) -> None:
    """Check references, paths and rates; raise InvalidFile with every fault found."""
    reader = _ItemReader("configuration")
    _check_items(configuration, reader)
    if reader.faults:
        raise InvalidFile(Code.CONFIGURATION_INVALID, reader.faults)
