"""Find what engines still hold for programs that are gone.

Each engine is swept by one instance. What an engine lists is checked with the
primaries of the shards named in the ids. A tag belongs to one life of a program and
a request id to one attempt, so what is gone once is gone for good and a late order
cannot hit a live program.
"""

import hashlib
from dataclasses import dataclass, field

from burdockwall.process.programs import calls
from burdockwall.types import EndpointId, InstanceId, ProgramTag, RequestId, ShardId

TAG_PREFIX = "p-"


@dataclass(frozen=True, slots=True)
class EngineListed:
    """Report an engine's own list and the number of its last cache event."""

    endpoint: EndpointId
    sequence: int
    tags: tuple[ProgramTag, ...]
    requests: tuple[RequestId, ...]


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """Report one cache event of an engine; events may be late, doubled or missing."""

    endpoint: EndpointId
    sequence: int
    tag: ProgramTag
    cached: bool


@dataclass(frozen=True, slots=True)
class GoneChecked:
    """Report which of the asked ids a shard's primary calls gone."""

    endpoint: EndpointId
    found: calls.GoneFound


@dataclass(frozen=True, slots=True)
class SweepTick:
    """Tell the sweep that time has passed, and what it sweeps."""

    endpoints: tuple[EndpointId, ...]
    instances: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class ListEngine:
    """Ask the shell for an engine's own list."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class CheckGone:
    """Ask the shell to ask a shard's primary what is gone."""

    endpoint: EndpointId
    shard: ShardId
    call: calls.FindGone


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Ask the shell to cancel a request at an engine."""

    endpoint: EndpointId
    request: RequestId


@dataclass(frozen=True, slots=True)
class DropCache:
    """Ask the shell to release a program's cache at an engine."""

    endpoint: EndpointId
    tag: ProgramTag


SweepEvent = EngineListed | CacheChanged | GoneChecked | SweepTick
SweepAction = ListEngine | CheckGone | CancelRequest | DropCache


@dataclass(slots=True)
class _Engine:
    listed_at: float
    sequence: int = 0
    tags: dict[ProgramTag, None] = field(default_factory=dict)


def parse_shard(name: str) -> ShardId | None:
    """Return the shard that an id names, or None for an id of another make."""
    shard, dot, _ = name.removeprefix(TAG_PREFIX).partition(".")
    return ShardId(int(shard)) if dot and shard.isdecimal() else None


def choose_sweeper(
    endpoint: EndpointId, instances: tuple[InstanceId, ...]
) -> InstanceId | None:
    """Choose the one instance that sweeps an engine, by rendezvous hashing."""

    def weigh(instance: InstanceId) -> bytes:
        return hashlib.sha256(f"{instance}\0{endpoint}".encode()).digest()

    return max(instances, key=weigh, default=None)


class Sweep:
    """Decide what to list, to check and to release."""

    def __init__(self, instance: InstanceId, interval_s: float) -> None:
        self.instance = instance
        self.interval_s = interval_s
        self._engines: dict[EndpointId, _Engine] = {}

    def handle(self, event: SweepEvent, now: float) -> list[SweepAction]:
        """Take an event and return what to ask or release."""
        match event:
            case SweepTick(endpoints=endpoints, instances=instances):
                return self._tick(endpoints, instances, now)
            case EngineListed():
                return self._take_list(event)
            case CacheChanged():
                return self._take_change(event, now)
            case GoneChecked(endpoint=endpoint, found=found):
                return self._release(endpoint, found)

    def _tick(
        self,
        endpoints: tuple[EndpointId, ...],
        instances: tuple[InstanceId, ...],
        now: float,
    ) -> list[SweepAction]:
        mine = [
            item
            for item in endpoints
            if choose_sweeper(item, instances) == self.instance
        ]
        self._engines = {
            item: self._engines.get(item, _Engine(float("-inf"))) for item in mine
        }
        actions: list[SweepAction] = []
        for endpoint, engine in self._engines.items():
            if now - engine.listed_at >= self.interval_s:
                engine.listed_at = now
                actions.append(ListEngine(endpoint))
        return actions

    def _take_list(self, listed: EngineListed) -> list[SweepAction]:
        engine = self._engines.get(listed.endpoint)
        if engine is None:
            return []
        engine.sequence = max(engine.sequence, listed.sequence)
        engine.tags = dict.fromkeys(listed.tags)
        return self._check(listed.endpoint, listed.tags, listed.requests)

    def _take_change(self, change: CacheChanged, now: float) -> list[SweepAction]:
        engine = self._engines.get(change.endpoint)
        if engine is None or change.sequence <= engine.sequence:
            # Late or doubled: the list or a later event has told already.
            return []
        if change.sequence > engine.sequence + 1:
            engine.listed_at = now
            return [ListEngine(change.endpoint)]
        engine.sequence = change.sequence
        if change.cached:
            engine.tags[change.tag] = None
        else:
            engine.tags.pop(change.tag, None)
        return []

    def _check(
        self,
        endpoint: EndpointId,
        tags: tuple[ProgramTag, ...],
        requests: tuple[RequestId, ...],
    ) -> list[SweepAction]:
        by_shard: dict[ShardId, calls.FindGone] = {}
        for tag in tags:
            shard = parse_shard(tag)
            if shard is not None:
                by_shard.setdefault(shard, calls.FindGone([], [])).tags.append(tag)
        for request in requests:
            shard = parse_shard(request)
            if shard is not None:
                call = by_shard.setdefault(shard, calls.FindGone([], []))
                call.requests.append(request)
        return [CheckGone(endpoint, shard, call) for shard, call in by_shard.items()]

    def _release(
        self, endpoint: EndpointId, found: calls.GoneFound
    ) -> list[SweepAction]:
        cancels = [CancelRequest(endpoint, item) for item in found.requests]
        drops = [DropCache(endpoint, tag) for tag in found.tags]
        return [*cancels, *drops]
