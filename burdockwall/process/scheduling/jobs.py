"""The events and actions of the scheduler."""

from enum import Enum

import msgspec

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


class Asset(msgspec.Struct, frozen=True):
    """What an engine must have loaded; empty fields match everything."""

    model: ModelName = ModelName("")
    adapter: str = ""
    version: str = ""

    def matches(self, loaded: "Asset") -> bool:
        """Return whether a loaded asset satisfies this one."""
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


class Target(msgspec.Struct, frozen=True):
    """An endpoint as the router sees it; without assets it serves all of them."""

    endpoint: EndpointId
    pool: PoolName
    failure_domain: FailureDomain
    assets: tuple[Asset, ...] = ()
    role: EndpointRole = EndpointRole.ANY
    moves_cache: bool = False


class Job(msgspec.Struct, frozen=True):
    """One call to be placed at an endpoint.

    Service is charged to `program`, the root program of the call; `key` names the
    history whose prefix an engine may have cached. A job is `limited` if it is kept
    from endpoints whose own rate limits are reached; it does not wait for ejected ones.
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
    limited: bool = False


class Result(Enum):
    """How a call ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Outcome(msgspec.Struct, frozen=True):
    """The end of a call; `latency_s` is measured from its start."""

    result: Result
    latency_s: float = 0.0
    cached_tokens: int | None = None
    output_tokens: int = 0


class Placement(msgspec.Struct, frozen=True):
    """The endpoint of a call, the reason, and what the engine is sent with it.

    `level` orders calls at an engine, the lowest first. `cache_source` is an endpoint
    from which the engine may import `moved_tokens` of the prefix.
    """

    endpoint: EndpointId
    reason: str
    level: int = 0
    expected_cached_tokens: int = 0
    cache_source: EndpointId | None = None
    moved_tokens: int = 0
    waited_s: float = 0.0


class TargetsInstalled(msgspec.Struct, frozen=True):
    """Replaces the scheduler's list of endpoints."""

    targets: tuple[Target, ...]


class InstancesCounted(msgspec.Struct, frozen=True):
    """Sets the number of instances that share the endpoints."""

    count: int


class Submit(msgspec.Struct, frozen=True):
    """Adds a job."""

    job: Job


class Cancel(msgspec.Struct, frozen=True):
    """Withdraws a job that has not started; a started one must be finished."""

    call: CallId


class Finish(msgspec.Struct, frozen=True):
    """Reports the end of a started job."""

    call: CallId
    outcome: Outcome


class EndProgram(msgspec.Struct, frozen=True):
    """Reports the end of a program and of the histories with these keys."""

    program: ProgramId
    keys: tuple[CacheKey, ...]


class ObserveLoad(msgspec.Struct, frozen=True):
    """Passes on a load report of an endpoint."""

    endpoint: EndpointId
    report: LoadReport


class ObserveCache(msgspec.Struct, frozen=True):
    """Passes on cache events of an endpoint."""

    endpoint: EndpointId
    events: tuple[CacheEvent, ...]


class Start(msgspec.Struct, frozen=True):
    """Asks the shell to run a job."""

    call: CallId
    placement: Placement


class Reject(msgspec.Struct, frozen=True):
    """Asks the shell to refuse a job that no endpoint serves."""

    call: CallId


class ReleaseCache(msgspec.Struct, frozen=True):
    """Asks the shell to let an engine drop a cached prefix."""

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
