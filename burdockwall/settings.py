"""The settings of a process, their defaults, and their parsing from INI text."""

import configparser
from dataclasses import dataclass, field
from pathlib import Path

from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.options import convert_option, find_option
from burdockwall.types import Address, FailureDomain, InstanceId, Role

DIGEST_DIGITS = 64


@dataclass(slots=True)
class Settings:
    """Every setting of one process; OPTIONS documents the attributes."""

    instance_id: InstanceId = InstanceId("entry-1")
    instance_name: str = ""
    role: Role = Role.BOTH
    failure_domain: FailureDomain = FailureDomain("a")
    region: str = "region-1"
    regions: dict[FailureDomain, str] = field(default_factory=dict)
    data_folder: Path | None = None
    store_limit_bytes: int = 134_217_728
    machine_memory_mb: int = 1024
    machine_descriptors: int = 0
    machine_disk_mb: int = 0
    caller_address: Address = Address("127.0.0.1:8080")
    operator_address: Address = Address("127.0.0.1:8081")
    peer_address: Address = Address("127.0.0.1:8082")
    ready_address: Address = Address("")
    directory_address: Address = Address("")
    metrics_address: Address = Address("")
    peers: dict[InstanceId, Address] = field(default_factory=dict)
    control_instances: list[InstanceId] = field(default_factory=list)
    seeds: list[Address] = field(default_factory=list)
    named_by_address: bool = False
    first_start: bool = False
    tolerated_losses: int = 1
    platform_address: Address = Address("")
    list_lag_s: float = 0.8
    election_timeout_s: float = 1.5
    first_operator: str = ""
    first_operator_digest: str = ""
    operators_open: bool = False
    log_level: str = "info"
    log_format: str = "json"
    max_body_bytes: int = 8_388_608
    resolve_ttl_s: float = 10.0
    denial_valid_ms: float = 0.0
    drain_hold_s: float = 5.0
    drain_limit_s: float = 60.0
    drain_grace_s: float = 0.0
    tick_interval_s: float = 0.1
    peer_silence_s: float = 2.0
    endpoint_connect_s: float = 1.0
    endpoint_silence_s: float = 10.0
    endpoint_stall_s: float = 60.0
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
    limit_silence_s: float = 0.3
    limit_program_wait_s: float = 0.0
    limit_clock_margin: float = 0.0005
    limit_excess_window_s: float = 5.0
    limit_excess_share: float = 0.0
    limit_excess_requests: float = 0.0
    limit_cold_overrun: float = 1.5
    limit_cold_slack: float = 5.0
    limits_counted_over_window: bool = False
    open_rate_per_s: float = 1000.0
    open_burst: int = 1000
    admission_limit: int = 512
    admission_reserve: float = 0.05
    body_memory_bytes: int = 0
    body_silence_s: float = 10.0
    caller_idle_s: float = 30.0
    caller_head_s: float = 10.0
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
    schedule_placement: str = "counts"
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
            faults.extend(_set_option(settings, section, name, value, place))
    faults.extend(check_combinations(settings, source))
    if faults:
        raise InvalidFile(Code.SETTINGS_INVALID, faults)
    return settings


def _set_option(
    settings: Settings, section: str, name: str, value: str, place: str
) -> list[Fault]:
    option = find_option(section, name)
    if option is None:
        remedy = "Remove it, or see docs/SETTINGS.md for the names."
        problem = "the option is unknown"
        return [Fault(Code.SETTINGS_INVALID, place, problem, remedy)]
    try:
        setattr(settings, option.attribute, convert_option(option, value))
    except ValueError as error:
        problem = f"the value {value!r} {error}"
        remedy = f"Give a value of type {option.kind.value}."
        return [Fault(Code.SETTINGS_INVALID, place, problem, remedy)]
    return []


def _build_fault(place: str, problem: str, remedy: str) -> Fault:
    return Fault(Code.SETTINGS_INVALID, place, problem, remedy)


def check_combinations(settings: Settings, source: str) -> list[Fault]:
    """Find the faults of options that are valid alone but not in combination."""
    return [
        *_check_certificates(settings, source),
        *_check_peers(settings, source),
        *_check_operator(settings, source),
    ]


def _check_certificates(settings: Settings, source: str) -> list[Fault]:
    faults = []
    caller = (settings.caller_certificate, settings.caller_key)
    peer = (settings.peer_certificate, settings.peer_key, settings.peer_authority)
    if any(caller) and not all(caller):
        place = f"{source}: [tls] caller_certificate, caller_key"
        problem = "one is given without the other"
        faults.append(_build_fault(place, problem, "Give both, or neither."))
    if any(peer) and not all(peer):
        place = f"{source}: [tls] peer_certificate, peer_key, peer_authority"
        problem = "some are given without the others"
        faults.append(_build_fault(place, problem, "Give all three, or none."))
    return faults


def _check_peers(settings: Settings, source: str) -> list[Fault]:
    peer = (settings.peer_certificate, settings.peer_key, settings.peer_authority)
    if not settings.peers or all(peer) or settings.peer_plaintext:
        return []
    place = f"{source}: [peers] instances"
    problem = "other instances are named, but neither TLS nor plaintext is set"
    remedy = "Set [tls] peer_certificate, peer_key and peer_authority, "
    remedy += "or peer_plaintext = yes."
    return [_build_fault(place, problem, remedy)]


def _check_operator(settings: Settings, source: str) -> list[Fault]:
    digest = settings.first_operator_digest
    is_paired = bool(settings.first_operator) == bool(digest)
    if is_paired and len(digest) in (0, DIGEST_DIGITS):
        return []
    place = f"{source}: [operators] name, digest"
    problem = "one is given without the other, or the digest is not 64 hex digits"
    remedy = "Give a name and the SHA-256 of a token, or neither."
    return [_build_fault(place, problem, remedy)]


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
