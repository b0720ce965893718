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
    platform_address: Address = Address("")
    election_timeout_s: float = 1.5
    first_operator: str = ""
    first_operator_digest: str = ""
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
    retry_share: float = 0.2
    retry_reserve: float = 20.0
    retry_window_s: float = 10.0
    retry_backoff_base_s: float = 0.05
    retry_backoff_limit_s: float = 2.0
    limit_wait_s: float = 0.4
    limit_immediate_s: float = 0.2
    limit_prefetch_s: float = 0.8
    limit_horizon_s: float = 0.25
    limit_idle_s: float = 0.2
    limit_repeat_s: float = 0.1
    limit_clock_margin: float = 0.0005
    open_rate_per_s: float = 1000.0
    open_burst: int = 1000
    admission_limit: int = 512
    admission_reserve: float = 0.05
    body_memory_bytes: int = 268_435_456
    body_silence_s: float = 10.0
    caller_idle_s: float = 30.0
    caller_certificate: Path | None = None
    caller_key: Path | None = None
    peer_certificate: Path | None = None
    peer_key: Path | None = None
    peer_authority: Path | None = None
    peer_plaintext: bool = False
    abandon_grace_s: float = 5.0
    stream_keep_s: float = 30.0
    program_lease_s: float = 1_800.0
    program_grace_s: float = 30.0
    program_retention_s: float = 3_600.0
    outcome_retention_s: float = 86_400.0
    call_lease_s: float = 5.0
    program_depth: int = 8
    program_fan_out: int = 32
    program_family: int = 256
    program_turns: int = 1_000
    program_history_bytes: int = 8_388_608
    budget_tokens: int = 1_000_000
    budget_calls: int = 2_000
    budget_cost: float = 1_000_000.0
    budget_time_s: float = 86_400.0
    history_cache_bytes: int = 33_554_432
    shard_records: int = 20_000
    shard_tombstones: int = 4_000_000
    sweep_interval_s: float = 10.0
    cancel_limit_s: float = 30.0
    schedule_routing: str = "affinity"
    schedule_order: str = "attained_service"
    schedule_window: str = "shared"
    schedule_endpoint_calls: int = 24
    schedule_claim_factor: float = 2.0
    schedule_instances: int = 6
    schedule_pass_priorities: bool = True
    schedule_release_cache: bool = True
    schedule_prefill_token_s: float = 0.000125
    schedule_move_token_s: float = 0.00001
    schedule_output_token_s: float = 0.002
    schedule_load_call_s: float = 0.05
    schedule_far_s: float = 0.003
    schedule_ageing_s: float = 20.0
    schedule_ageing_every: int = 8
    schedule_service_quantum_s: float = 0.5
    schedule_requeue_s: float = 0.5
    schedule_prefix_records: int = 20000
    schedule_prefix_doubt_s: float = 120.0
    schedule_pause_hold_s: float = 30.0
    schedule_failures_to_eject: int = 3
    schedule_slow_ratio: float = 3.0
    schedule_slow_samples: int = 10
    schedule_eject_s: float = 5.0
    schedule_eject_limit_s: float = 60.0
    schedule_ejected_share: float = 0.5
    schedule_queue_limit_s: float = 30.0
    schedule_poll_s: float = 0.5


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
        "control",
        "election_timeout",
        "election_timeout_s",
        Kind.NUMBER,
        "s",
        "Silence of the leader after which another is elected.",
        0.5,
        60,
    ),
    Option(
        "operators",
        "name",
        "first_operator",
        Kind.TEXT,
        "",
        "Operator who may change everything, defined while there is none.",
    ),
    Option(
        "operators",
        "digest",
        "first_operator_digest",
        Kind.TEXT,
        "",
        "SHA-256 of that operator's token, in hex digits.",
    ),
    Option(
        "platform",
        "address",
        "platform_address",
        Kind.ADDRESS,
        "",
        "Where the platform publishes its list of instances; unset: no list.",
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
        "body_memory",
        "body_memory_bytes",
        Kind.INTEGER,
        "bytes",
        "Most bytes of request bodies held at once.",
        1024,
        68_719_476_736,
    ),
    Option(
        "callers",
        "body_silence",
        "body_silence_s",
        Kind.NUMBER,
        "s",
        "Longest wait for the next part of a request body.",
        0.1,
        3600,
    ),
    Option(
        "callers",
        "idle",
        "caller_idle_s",
        Kind.NUMBER,
        "s",
        "How long a caller's connection may stay without a request.",
        1,
        86_400,
    ),
    Option(
        "tls",
        "caller_certificate",
        "caller_certificate",
        Kind.PATH,
        "",
        "Certificate of the caller and operator ports (PEM).",
    ),
    Option(
        "tls",
        "caller_key",
        "caller_key",
        Kind.PATH,
        "",
        "Private key of the caller and operator ports (PEM).",
    ),
    Option(
        "tls",
        "peer_certificate",
        "peer_certificate",
        Kind.PATH,
        "",
        "Certificate that this instance shows to other instances (PEM).",
    ),
    Option(
        "tls",
        "peer_key",
        "peer_key",
        Kind.PATH,
        "",
        "Private key of the certificate for other instances (PEM).",
    ),
    Option(
        "tls",
        "peer_authority",
        "peer_authority",
        Kind.PATH,
        "",
        "Authority that signed the certificates of all instances (PEM).",
    ),
    Option(
        "tls",
        "peer_plaintext",
        "peer_plaintext",
        Kind.BOOLEAN,
        "",
        "Whether instances may talk to each other without TLS.",
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
        "programs",
        "lease",
        "program_lease_s",
        Kind.NUMBER,
        "s",
        "How long a program may be idle before it has lapsed.",
        1,
        604_800,
    ),
    Option(
        "programs",
        "grace",
        "program_grace_s",
        Kind.NUMBER,
        "s",
        "Time from a caller's leaving until its program is abandoned.",
        0,
        86_400,
    ),
    Option(
        "programs",
        "retention",
        "program_retention_s",
        Kind.NUMBER,
        "s",
        "How long an ended program can still be read.",
        1,
        604_800,
    ),
    Option(
        "programs",
        "outcome_retention",
        "outcome_retention_s",
        Kind.NUMBER,
        "s",
        "How long the outcome of an idempotency key is kept; then the key is refused.",
        1,
        31_536_000,
    ),
    Option(
        "programs",
        "call_lease",
        "call_lease_s",
        Kind.NUMBER,
        "s",
        "Silence after which a call under way counts as dead.",
        1,
        3_600,
    ),
    Option(
        "programs",
        "depth",
        "program_depth",
        Kind.INTEGER,
        "",
        "Deepest level of sub-agents.",
        0,
        64,
    ),
    Option(
        "programs",
        "fan_out",
        "program_fan_out",
        Kind.INTEGER,
        "",
        "Most sub-agents of one program.",
        0,
        1_024,
    ),
    Option(
        "programs",
        "family",
        "program_family",
        Kind.INTEGER,
        "",
        "Most programs under one root program.",
        1,
        65_536,
    ),
    Option(
        "programs",
        "turns",
        "program_turns",
        Kind.INTEGER,
        "",
        "Most turns of one program.",
        1,
        100_000,
    ),
    Option(
        "programs",
        "history",
        "program_history_bytes",
        Kind.INTEGER,
        "bytes",
        "Largest compressed history of one program.",
        1_024,
        1_073_741_824,
    ),
    Option(
        "programs",
        "budget_tokens",
        "budget_tokens",
        Kind.INTEGER,
        "tokens",
        "Tokens that a program may generate unless its caller says less.",
        1,
        1_000_000_000,
    ),
    Option(
        "programs",
        "budget_calls",
        "budget_calls",
        Kind.INTEGER,
        "",
        "Calls of a program unless its caller says less.",
        1,
        1_000_000,
    ),
    Option(
        "programs",
        "budget_cost",
        "budget_cost",
        Kind.NUMBER,
        "",
        "Sum of route costs of a program unless its caller says less.",
        0,
        1_000_000_000,
    ),
    Option(
        "programs",
        "budget_time",
        "budget_time_s",
        Kind.NUMBER,
        "s",
        "Longest life of a program unless its caller says less.",
        1,
        2_592_000,
    ),
    Option(
        "programs",
        "history_cache",
        "history_cache_bytes",
        Kind.INTEGER,
        "bytes",
        "Histories that an entry keeps to ask only for newer turns.",
        0,
        4_294_967_296,
    ),
    Option(
        "programs",
        "shard_records",
        "shard_records",
        Kind.INTEGER,
        "",
        "Most programs and outcomes in one shard.",
        1,
        10_000_000,
    ),
    Option(
        "programs",
        "shard_tombstones",
        "shard_tombstones",
        Kind.INTEGER,
        "",
        "Most expired keys that a shard remembers.",
        1,
        100_000_000,
    ),
    Option(
        "programs",
        "sweep",
        "sweep_interval_s",
        Kind.NUMBER,
        "s",
        "Interval at which each engine is asked what it holds.",
        0.1,
        3_600,
    ),
    Option(
        "programs",
        "cancel_limit",
        "cancel_limit_s",
        Kind.NUMBER,
        "s",
        "How long a cancellation is repeated before the sweep takes over.",
        0.1,
        3_600,
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
    Option(
        "retries",
        "share",
        "retry_share",
        Kind.NUMBER,
        "",
        "Retries allowed for each recent request of a pool and customer.",
        0,
        1,
    ),
    Option(
        "retries",
        "reserve",
        "retry_reserve",
        Kind.NUMBER,
        "",
        "Retries that a window allows without any request.",
        0,
        1000,
    ),
    Option(
        "retries",
        "window",
        "retry_window_s",
        Kind.NUMBER,
        "s",
        "Time over which requests and retries are counted.",
        0.1,
        600,
    ),
    Option(
        "retries",
        "backoff_base",
        "retry_backoff_base_s",
        Kind.NUMBER,
        "s",
        "Longest wait before the first retry; doubles with each further one.",
        0.001,
        10,
    ),
    Option(
        "retries",
        "backoff_limit",
        "retry_backoff_limit_s",
        Kind.NUMBER,
        "s",
        "Longest wait before any retry.",
        0.001,
        60,
    ),
    Option(
        "limits",
        "wait",
        "limit_wait_s",
        Kind.NUMBER,
        "s",
        "Longest wait of a request for a grant of its customer's rate.",
        0.01,
        0.6,
    ),
    Option(
        "limits",
        "immediate",
        "limit_immediate_s",
        Kind.NUMBER,
        "s",
        "How long a grant for a waiting request stays valid.",
        0.01,
        0.4,
    ),
    Option(
        "limits",
        "prefetch",
        "limit_prefetch_s",
        Kind.NUMBER,
        "s",
        "How long a grant for expected requests stays valid.",
        0.05,
        1.0,
    ),
    Option(
        "limits",
        "horizon",
        "limit_horizon_s",
        Kind.NUMBER,
        "s",
        "Time for which an instance asks grants ahead.",
        0,
        1.0,
    ),
    Option(
        "limits",
        "idle",
        "limit_idle_s",
        Kind.NUMBER,
        "s",
        "Time without a request after which grants are given back.",
        0.05,
        1.0,
    ),
    Option(
        "limits",
        "repeat",
        "limit_repeat_s",
        Kind.NUMBER,
        "s",
        "Wait for an answer before a demand is sent again.",
        0.01,
        0.4,
    ),
    Option(
        "limits",
        "clock_margin",
        "limit_clock_margin",
        Kind.NUMBER,
        "",
        "Largest difference of a clock's rate from true time, as a share.",
        0,
        0.1,
    ),
    Option(
        "limits",
        "open_rate",
        "open_rate_per_s",
        Kind.NUMBER,
        "requests/s",
        "Rate of each route open to all.",
        0.001,
        1000000,
    ),
    Option(
        "limits",
        "open_burst",
        "open_burst",
        Kind.INTEGER,
        "requests",
        "Burst of each route open to all.",
        1,
        1000000,
    ),
    Option(
        "admission",
        "limit",
        "admission_limit",
        Kind.INTEGER,
        "requests",
        "Most requests that wait for one pool on this instance.",
        1,
        100_000,
    ),
    Option(
        "admission",
        "reserve",
        "admission_reserve",
        Kind.NUMBER,
        "",
        "Share of the places that each class keeps when the queue is full.",
        0,
        0.25,
    ),
    Option(
        "scheduling",
        "routing",
        "schedule_routing",
        Kind.CHOICE,
        "",
        "How an endpoint is chosen.",
        choices=("affinity", "least_outstanding", "round_robin"),
    ),
    Option(
        "scheduling",
        "order",
        "schedule_order",
        Kind.CHOICE,
        "",
        "How waiting calls are ordered.",
        choices=("attained_service", "program_fcfs", "fcfs"),
    ),
    Option(
        "scheduling",
        "window",
        "schedule_window",
        Kind.CHOICE,
        "",
        "How calls let into an endpoint are bounded.",
        choices=("shared", "split", "unlimited"),
    ),
    Option(
        "scheduling",
        "endpoint_calls",
        "schedule_endpoint_calls",
        Kind.INTEGER,
        "calls",
        "Most calls at an endpoint from all instances.",
        1,
        4096,
    ),
    Option(
        "scheduling",
        "claim_factor",
        "schedule_claim_factor",
        Kind.NUMBER,
        "",
        "Even shares of the free places that an instance may claim.",
        0.1,
        1000,
    ),
    Option(
        "scheduling",
        "instances",
        "schedule_instances",
        Kind.INTEGER,
        "",
        "Instances that share endpoints, until the member list is known.",
        1,
        1000,
    ),
    Option(
        "scheduling",
        "pass_priorities",
        "schedule_pass_priorities",
        Kind.BOOLEAN,
        "",
        "Whether engines are told the order of calls.",
    ),
    Option(
        "scheduling",
        "release_cache",
        "schedule_release_cache",
        Kind.BOOLEAN,
        "",
        "Whether engines are told to drop unused prefixes.",
    ),
    Option(
        "scheduling",
        "prefill_token",
        "schedule_prefill_token_s",
        Kind.NUMBER,
        "s",
        "Time of an engine to prefill one token.",
        0,
        1,
    ),
    Option(
        "scheduling",
        "move_token",
        "schedule_move_token_s",
        Kind.NUMBER,
        "s",
        "Time to move the cache of one token.",
        0,
        1,
    ),
    Option(
        "scheduling",
        "output_token",
        "schedule_output_token_s",
        Kind.NUMBER,
        "s",
        "Share of an engine taken by one generated token.",
        0,
        1,
    ),
    Option(
        "scheduling",
        "load_call",
        "schedule_load_call_s",
        Kind.NUMBER,
        "s",
        "Delay that one more call causes at an engine.",
        0,
        60,
    ),
    Option(
        "scheduling",
        "far",
        "schedule_far_s",
        Kind.NUMBER,
        "s",
        "Cost of an endpoint in another failure domain.",
        0,
        60,
    ),
    Option(
        "scheduling",
        "ageing",
        "schedule_ageing_s",
        Kind.NUMBER,
        "s",
        "Wait after which a call may pass its class.",
        0.1,
        3600,
    ),
    Option(
        "scheduling",
        "ageing_every",
        "schedule_ageing_every",
        Kind.INTEGER,
        "calls",
        "One start in so many goes to a call that has aged.",
        1,
        1000,
    ),
    Option(
        "scheduling",
        "service_quantum",
        "schedule_service_quantum_s",
        Kind.NUMBER,
        "s",
        "Service that raises a program by its first level.",
        0.01,
        3600,
    ),
    Option(
        "scheduling",
        "requeue",
        "schedule_requeue_s",
        Kind.NUMBER,
        "s",
        "Wait after which another endpoint is considered.",
        0.01,
        60,
    ),
    Option(
        "scheduling",
        "prefix_records",
        "schedule_prefix_records",
        Kind.INTEGER,
        "",
        "Most histories whose place is remembered.",
        1,
        1000000,
    ),
    Option(
        "scheduling",
        "prefix_doubt",
        "schedule_prefix_doubt_s",
        Kind.NUMBER,
        "s",
        "Time after which an unconfirmed prefix is doubted.",
        1,
        86400,
    ),
    Option(
        "scheduling",
        "pause_hold",
        "schedule_pause_hold_s",
        Kind.NUMBER,
        "s",
        "Pause of a program during which its cache is held.",
        0,
        3600,
    ),
    Option(
        "scheduling",
        "failures_to_eject",
        "schedule_failures_to_eject",
        Kind.INTEGER,
        "calls",
        "Failures in a row that eject an endpoint.",
        1,
        1000,
    ),
    Option(
        "scheduling",
        "slow_ratio",
        "schedule_slow_ratio",
        Kind.NUMBER,
        "",
        "Pace over the pool's pace that ejects an endpoint.",
        1.1,
        100,
    ),
    Option(
        "scheduling",
        "slow_samples",
        "schedule_slow_samples",
        Kind.INTEGER,
        "calls",
        "Calls before an endpoint is judged by its pace.",
        1,
        10000,
    ),
    Option(
        "scheduling",
        "eject",
        "schedule_eject_s",
        Kind.NUMBER,
        "s",
        "First time out of an ejected endpoint; it doubles.",
        0.1,
        3600,
    ),
    Option(
        "scheduling",
        "eject_limit",
        "schedule_eject_limit_s",
        Kind.NUMBER,
        "s",
        "Longest time out of an ejected endpoint.",
        0.1,
        86400,
    ),
    Option(
        "scheduling",
        "ejected_share",
        "schedule_ejected_share",
        Kind.NUMBER,
        "",
        "Largest share of a pool that is ejected at once.",
        0,
        0.9,
    ),
    Option(
        "scheduling",
        "queue_limit",
        "schedule_queue_limit_s",
        Kind.NUMBER,
        "s",
        "Longest wait of a call for an endpoint.",
        0.1,
        3600,
    ),
    Option(
        "scheduling",
        "poll",
        "schedule_poll_s",
        Kind.NUMBER,
        "s",
        "Interval between load and cache reports asked for.",
        0.05,
        3600,
    ),
)

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
    faults.extend(check_together(settings, source))
    if faults:
        raise InvalidFile(Code.SETTINGS_INVALID, faults)
    return settings


def check_together(settings: Settings, source: str) -> list[Fault]:
    """Find the faults that show only when options are read together."""
    faults = []
    caller = (settings.caller_certificate, settings.caller_key)
    peer = (settings.peer_certificate, settings.peer_key, settings.peer_authority)
    if any(caller) and not all(caller):
        place = f"{source}: [tls] caller_certificate, caller_key"
        problem = "one is given without the other"
        remedy = "Give both, or neither."
        faults.append(Fault(Code.SETTINGS_INVALID, place, problem, remedy))
    if any(peer) and not all(peer):
        place = f"{source}: [tls] peer_certificate, peer_key, peer_authority"
        problem = "some are given without the others"
        remedy = "Give all three, or none."
        faults.append(Fault(Code.SETTINGS_INVALID, place, problem, remedy))
    if settings.peers and not all(peer) and not settings.peer_plaintext:
        place = f"{source}: [peers] instances"
        problem = "other instances are named, but neither TLS nor plaintext is set"
        remedy = "Set [tls] peer_certificate, peer_key and peer_authority, "
        remedy += "or peer_plaintext = yes."
        faults.append(Fault(Code.SETTINGS_INVALID, place, problem, remedy))
    digest = settings.first_operator_digest
    if bool(settings.first_operator) != bool(digest) or len(digest) not in (0, 64):
        place = f"{source}: [operators] name, digest"
        problem = "one is given without the other, or the digest is not 64 hex digits"
        remedy = "Give a name and the SHA-256 of a token, or neither."
        faults.append(Fault(Code.SETTINGS_INVALID, place, problem, remedy))
    return faults


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
