"""Define the events and actions of the scheduler."""

from dataclasses import dataclass
from enum import Enum

from burdockwall.process.scheduling.reports import CacheEvent, CacheKey, LoadReport
from burdockwall.types import (
    CallId,
    CustomerId,
    EndpointId,
    EndpointRole,
    FailureDomain,
    ModelName,
    PoolName,
    PriorityClass,
    ProgramId,
    RouteKind,
)


@dataclass(frozen=True, slots=True)
class Asset:
    """Name what an engine must have loaded; empty fields match everything."""

    model: ModelName = ModelName("")
    adapter: str = ""
    version: str = ""

    def matches(self, loaded: "Asset") -> bool:
        """Tell whether a loaded asset serves this one."""
        return (
            self.model in ("", loaded.model)
            and self.adapter in ("", loaded.adapter)
            and self.version in ("", loaded.version)
        )


def parse_asset(text: str) -> Asset:
    """Parse MODEL, MODEL+ADAPTER, MODEL@VERSION or MODEL+ADAPTER@VERSION."""
    rest, _, version = text.partition("@")
    model, _, adapter = rest.partition("+")
    return Asset(ModelName(model), adapter, version)


@dataclass(frozen=True, slots=True)
class Target:
    """Describe an endpoint as the router sees it; no asset means all of them."""

    endpoint: EndpointId
    pool: PoolName
    failure_domain: FailureDomain
    assets: tuple[Asset, ...] = ()
    role: EndpointRole = EndpointRole.ANY
    moves_cache: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """Describe one call that waits for an endpoint.

    `program` is the root program that the call counts to; `key` names the history
    whose prefix an engine may have cached.
    """

    call: CallId
    pool: PoolName
    customer: CustomerId
    program: ProgramId
    key: CacheKey
    priority: PriorityClass = PriorityClass.NORMAL
    weight: float = 1.0
    kind: RouteKind = RouteKind.MODEL
    prompt_tokens: int = 0
    asset: Asset = Asset()
    repeatable: bool = True
    excluded: frozenset[EndpointId] = frozenset()


class Result(Enum):
    """Name how a call ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Describe how a call ended; `latency_s` runs from its start."""

    result: Result
    latency_s: float = 0.0
    cached_tokens: int | None = None
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """State where a call runs, why, and what the engine is told.

    `level` orders calls at an engine, the lowest first. `cache_source` is an
    endpoint to import the prefix of `moved_tokens` from.
    """

    endpoint: EndpointId
    reason: str
    level: int = 0
    expected_cached_tokens: int = 0
    cache_source: EndpointId | None = None
    moved_tokens: int = 0
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetsInstalled:
    """Tell the scheduler which endpoints there are."""

    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class InstancesCounted:
    """Tell the scheduler how many instances share the endpoints."""

    count: int


@dataclass(frozen=True, slots=True)
class Submit:
    """Queue a job."""

    job: Job


@dataclass(frozen=True, slots=True)
class Cancel:
    """Drop a job that has not started; a started one must be finished."""

    call: CallId


@dataclass(frozen=True, slots=True)
class Finish:
    """Report the end of a started job."""

    call: CallId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class EndProgram:
    """Tell that a program, with the histories under these keys, is over."""

    program: ProgramId
    keys: tuple[CacheKey, ...]


@dataclass(frozen=True, slots=True)
class ObserveLoad:
    """Take a load report of an endpoint."""

    endpoint: EndpointId
    report: LoadReport


@dataclass(frozen=True, slots=True)
class ObserveCache:
    """Take cache events of an endpoint."""

    endpoint: EndpointId
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class Start:
    """Ask the shell to run a job."""

    call: CallId
    placement: Placement


@dataclass(frozen=True, slots=True)
class Reject:
    """Ask the shell to refuse a job that no endpoint serves."""

    call: CallId


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Ask the shell to have an engine drop a prefix."""

    endpoint: EndpointId
    key: CacheKey


Event = (
    TargetsInstalled
    | InstancesCounted
    | Submit
    | Cancel
    | Finish
    | EndProgram
    | ObserveLoad
    | ObserveCache
)
Action = Start | Reject | ReleaseCache
