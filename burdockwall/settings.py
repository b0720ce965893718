"""Hold every setting of a process, with its default, and read them from INI."""

import configparser
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.types import Address, FailureDomain, InstanceId, Role


@dataclass(slots=True)
class Settings:
    """Hold every setting of one process; attributes are documented in OPTIONS."""

    instance_id: InstanceId = InstanceId("entry-1")
    role: Role = Role.BOTH
    failure_domain: FailureDomain = FailureDomain("a")
    region: str = "region-1"
    data_folder: Path | None = None
    caller_address: Address = Address("127.0.0.1:8080")
    operator_address: Address = Address("127.0.0.1:8081")
    peer_address: Address = Address("127.0.0.1:8082")
    peers: dict[InstanceId, Address] = field(default_factory=dict)
    control_instances: list[InstanceId] = field(default_factory=list)
    log_level: str = "info"
    log_format: str = "json"
    max_body_bytes: int = 8_388_608
    resolve_ttl_s: float = 10.0
    drain_hold_s: float = 5.0
    drain_limit_s: float = 60.0
    tick_interval_s: float = 0.1
    peer_silence_s: float = 2.0
    endpoint_connect_s: float = 1.0
    endpoint_silence_s: float = 10.0
    endpoint_attempts: int = 3
    abandon_grace_s: float = 5.0
    stream_keep_s: float = 30.0


class Kind(Enum):
    """Name the type of an option's value."""

    TEXT = "text"
    INTEGER = "integer"
    NUMBER = "number"
    BOOLEAN = "yes or no"
    CHOICE = "choice"
    PATH = "path"
    ADDRESS = "host:port"
    NAMES = "names"
    PEERS = "name=host:port list"


@dataclass(frozen=True, slots=True)
class Option:
    """Map one option of the file to an attribute of Settings."""

    section: str
    name: str
    attribute: str
    kind: Kind
    unit: str
    help: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


OPTIONS: tuple[Option, ...] = (
    Option("instance", "id", "instance_id", Kind.TEXT, "", "Name of this instance."),
    Option(
        "instance",
        "role",
        "role",
        Kind.CHOICE,
        "",
        "What this process does.",
        choices=tuple(role.value for role in Role),
    ),
    Option(
        "instance",
        "failure_domain",
        "failure_domain",
        Kind.TEXT,
        "",
        "Failure domain in which this instance runs.",
    ),
    Option("instance", "region", "region", Kind.TEXT, "", "Region of this instance."),
    Option(
        "instance",
        "data_folder",
        "data_folder",
        Kind.PATH,
        "",
        "Folder for durable state; unset on an instance without a disk.",
    ),
    Option(
        "listen",
        "caller",
        "caller_address",
        Kind.ADDRESS,
        "",
        "Address that callers connect to.",
    ),
    Option(
        "listen",
        "operator",
        "operator_address",
        Kind.ADDRESS,
        "",
        "Address for operators: status, metrics, changes.",
    ),
    Option(
        "listen",
        "peer",
        "peer_address",
        Kind.ADDRESS,
        "",
        "Address for other instances.",
    ),
    Option(
        "peers",
        "instances",
        "peers",
        Kind.PEERS,
        "",
        "Other instances and their peer addresses.",
    ),
    Option(
        "peers",
        "control",
        "control_instances",
        Kind.NAMES,
        "",
        "Instances that hold the control state.",
    ),
    Option(
        "peers",
        "silence",
        "peer_silence_s",
        Kind.NUMBER,
        "s",
        "Longest wait for an acknowledgement before a connection is replaced.",
        0.1,
        60,
    ),
    Option(
        "log",
        "level",
        "log_level",
        Kind.CHOICE,
        "",
        "Least severe level that is written.",
        choices=("debug", "info", "notice", "warning", "error"),
    ),
    Option(
        "log",
        "format",
        "log_format",
        Kind.CHOICE,
        "",
        "Shape of a log line.",
        choices=("json", "text"),
    ),
    Option(
        "callers",
        "max_body",
        "max_body_bytes",
        Kind.INTEGER,
        "bytes",
        "Largest request body.",
        1024,
        1_073_741_824,
    ),
    Option(
        "callers",
        "resolve_ttl",
        "resolve_ttl_s",
        Kind.NUMBER,
        "s",
        "How long a caller may keep the addresses it was given.",
        0.1,
        3600,
    ),
    Option(
        "callers",
        "abandon_grace",
        "abandon_grace_s",
        Kind.NUMBER,
        "s",
        "Time in which a caller that left may come back to its answer.",
        0,
        3600,
    ),
    Option(
        "callers",
        "stream_keep",
        "stream_keep_s",
        Kind.NUMBER,
        "s",
        "How long the events of a whole answer are kept for a caller to rejoin.",
        0,
        3600,
    ),
    Option(
        "drain",
        "hold",
        "drain_hold_s",
        Kind.NUMBER,
        "s",
        "Time from leaving `resolve` until new requests are refused.",
        0,
        3600,
    ),
    Option(
        "drain",
        "limit",
        "drain_limit_s",
        Kind.NUMBER,
        "s",
        "Longest wait for requests under way before the process ends.",
        0,
        86_400,
    ),
    Option(
        "process",
        "tick",
        "tick_interval_s",
        Kind.NUMBER,
        "s",
        "Interval between clock events of the state machines.",
        0.01,
        10,
    ),
    Option(
        "endpoints",
        "connect",
        "endpoint_connect_s",
        Kind.NUMBER,
        "s",
        "Longest wait for a connection to an endpoint.",
        0.01,
        60,
    ),
    Option(
        "endpoints",
        "silence",
        "endpoint_silence_s",
        Kind.NUMBER,
        "s",
        "Longest wait for the next byte of an answer.",
        0.1,
        3600,
    ),
    Option(
        "endpoints",
        "attempts",
        "endpoint_attempts",
        Kind.INTEGER,
        "",
        "Most attempts for one repeatable request.",
        1,
        10,
    ),
)

_BOOLEANS = {"yes": True, "true": True, "on": True, "no": False, "false": False}


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
    }
    return converters[option.kind](text)


def find_option(section: str, name: str) -> Option | None:
    """Return the option of a section by its name, or None."""
    for option in OPTIONS:
        if option.section == section and option.name == name:
            return option
    return None


def parse_settings(text: str, source: str) -> Settings:
    """Parse settings from INI text; raise InvalidFile with every fault found."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        problem = str(error).replace("\n", " ")
        fault = Fault(Code.SETTINGS_INVALID, source, problem, "Correct the syntax.")
        raise InvalidFile(Code.SETTINGS_INVALID, [fault]) from error
    settings = Settings()
    faults = []
    for section in parser.sections():
        for name, value in parser.items(section):
            place = f"{source}: [{section}] {name}"
            option = find_option(section, name)
            if option is None:
                remedy = "Remove it, or see docs/SETTINGS.md for the names."
                problem = "the option is unknown"
                faults.append(Fault(Code.SETTINGS_INVALID, place, problem, remedy))
                continue
            try:
                setattr(settings, option.attribute, convert_option(option, value))
            except ValueError as error:
                problem = f"the value {value!r} {error}"
                remedy = f"Give a value of type {option.kind.value}."
                faults.append(Fault(Code.SETTINGS_INVALID, place, problem, remedy))
    if faults:
        raise InvalidFile(Code.SETTINGS_INVALID, faults)
    return settings


def read_settings(path: Path) -> Settings:
    """Read settings from a file; raise InvalidFile with every fault found."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(
            Code.SETTINGS_INVALID, str(path), str(error), "Name a readable file."
        )
        raise InvalidFile(Code.SETTINGS_INVALID, [fault]) from error
    return parse_settings(text, str(path))
