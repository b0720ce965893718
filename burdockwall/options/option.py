"""The description of an option, and the conversion of its text to a typed value."""

from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from burdockwall.types import Address, FailureDomain, InstanceId, Role


class Kind(Enum):
    """The type of an option's value."""

    TEXT = "text"
    INTEGER = "integer"
    NUMBER = "number"
    BOOLEAN = "yes or no"
    CHOICE = "choice"
    PATH = "path"
    ADDRESS = "host:port"
    NAMES = "names"
    PEERS = "name=host:port list"
    ADDRESSES = "host:port list"
    REGIONS = "domain=region list"


class Option(msgspec.Struct, frozen=True):
    """An option of the settings file, and the attribute of Settings that holds it.

    A numeric value must be between `low` and `high`, inclusive; None means no bound.
    """

    section: str
    name: str
    attribute: str
    kind: Kind
    unit: str
    help: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


_BOOLEANS = {
    "yes": True,
    "true": True,
    "on": True,
    "no": False,
    "false": False,
    "off": False,
}


def _convert_number(option: Option, text: str) -> float | int:
    value = int(text) if option.kind is Kind.INTEGER else float(text)
    low, high = option.low, option.high
    if (low is not None and value < low) or (high is not None and value > high):
        raise ValueError(f"is outside {low} to {high} {option.unit}".rstrip())
    return value


def _convert_address(text: str) -> Address:
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError("is not host:port")
    return Address(text)


def _convert_peers(text: str) -> dict[InstanceId, Address]:
    peers = {}
    for item in text.split():
        name, separator, address = item.partition("=")
        if not separator:
            raise ValueError(f"has {item!r}, which is not name=host:port")
        peers[InstanceId(name)] = _convert_address(address)
    return peers


def _convert_regions(text: str) -> dict[FailureDomain, str]:
    regions = {}
    for item in text.split():
        domain, separator, region = item.partition("=")
        if not separator or not domain or not region:
            raise ValueError(f"has {item!r}, which is not domain=region")
        regions[FailureDomain(domain)] = region
    return regions


def _convert_choice(option: Option, text: str) -> Any:
    if text not in option.choices:
        raise ValueError(f"is not one of {', '.join(option.choices)}")
    return Role(text) if option.attribute == "role" else text


def _convert_boolean(text: str) -> bool:
    if text.lower() not in _BOOLEANS:
        raise ValueError("is not yes or no")
    return _BOOLEANS[text.lower()]


def convert_option(option: Option, text: str) -> Any:
    """Convert an option's text to its typed value, or raise ValueError."""
    converters: dict[Kind, Callable[[str], Any]] = {
        Kind.TEXT: str,
        Kind.INTEGER: lambda value: _convert_number(option, value),
        Kind.NUMBER: lambda value: _convert_number(option, value),
        Kind.BOOLEAN: _convert_boolean,
        Kind.CHOICE: lambda value: _convert_choice(option, value),
        Kind.PATH: Path,
        Kind.ADDRESS: _convert_address,
        Kind.NAMES: lambda value: [InstanceId(name) for name in value.split()],
        Kind.PEERS: _convert_peers,
        Kind.REGIONS: _convert_regions,
        Kind.ADDRESSES: lambda value: [
            _convert_address(item) for item in value.split()
        ],
    }
    return converters[option.kind](text)
