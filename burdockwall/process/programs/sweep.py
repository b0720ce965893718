"""Find requests and caches that engines still hold for ended programs.

Each engine is swept by one instance. It lists the engine's requests and cached
programs, and checks them with the primaries of the shards named in their ids. A tag
is never reused when its program id is, and a request id belongs to one attempt. What
has ended therefore never runs again, and a delayed order cannot hit a live program.
"""

import hashlib

import msgspec

from burdockwall.process.programs import calls
from burdockwall.types import EndpointId, InstanceId, ProgramTag, RequestId, ShardId

TAG_PREFIX = "p-"


class EngineListed(msgspec.Struct, frozen=True):
    """Reports an engine's own list and the number of its last cache event."""

    endpoint: EndpointId
    sequence: int
    tags: tuple[ProgramTag, ...]
    requests: tuple[RequestId, ...]


class CacheChanged(msgspec.Struct, frozen=True):
    """Reports a cache event of an engine; events may be late, duplicated or lost."""

    endpoint: EndpointId
    sequence: int
    tag: ProgramTag
    cached: bool


class IdsChecked(msgspec.Struct, frozen=True):
    """Reports which of the checked ids have ended, by their shard's primary."""

    endpoint: EndpointId
    ended: calls.EndedIds


class SweepTick(msgspec.Struct, frozen=True):
    """Reports that time has passed, and the current endpoints and instances."""

    endpoints: tuple[EndpointId, ...]
    instances: tuple[InstanceId, ...]


class ListEngine(msgspec.Struct, frozen=True):
    """Asks the shell for an engine's own list."""

    endpoint: EndpointId


class CheckIds(msgspec.Struct, frozen=True):
    """Asks the shell to check with a shard's primary which ids have ended."""

    endpoint: EndpointId
    shard: ShardId
    call: calls.FindEnded


class CancelRequest(msgspec.Struct, frozen=True):
    """Asks the shell to cancel a request at an engine."""

    endpoint: EndpointId
    request: RequestId


class DropCache(msgspec.Struct, frozen=True):
    """Asks the shell to release a program's cache at an engine."""

    endpoint: EndpointId
    tag: ProgramTag


SweepEvent = EngineListed | CacheChanged | IdsChecked | SweepTick
SweepAction = ListEngine | CheckIds | CancelRequest | DropCache


class _Engine(msgspec.Struct):
    listed_at: float
    sequence: int = 0
    tags: dict[ProgramTag, None] = msgspec.field(default_factory=dict)


def parse_shard(name: str) -> ShardId | None:
    """Return the shard that an id names, or None if the id has another format."""
    shard, dot, _ = name.removeprefix(TAG_PREFIX).partition(".")
    return ShardId(int(shard)) if dot and shard.isdecimal() else None


def choose_sweeper(
    endpoint: EndpointId, instances: tuple[InstanceId, ...]
) -> InstanceId | None:
    """Choose the one instance that sweeps an engine, by rendezvous hashing."""

    def hash_pair(instance: InstanceId) -> bytes:
        return hashlib.sha256(f"{instance}\0{endpoint}".encode()).digest()

    return max(instances, key=hash_pair, default=None)


class Sweep:
    """Decides which engines to list, what to check, and what to release."""

    def __init__(self, instance: InstanceId, interval_s: float) -> None:
        self.instance = instance
        self.interval_s = interval_s
        self._engines: dict[EndpointId, _Engine] = {}

    def handle(self, event: SweepEvent, now: float) -> list[SweepAction]:
        """Handle an event and return the actions to perform."""
        match event:
            case SweepTick(endpoints=endpoints, instances=instances):
                return self._tick(endpoints, instances, now)
            case EngineListed():
                return self._handle_list(event)
            case CacheChanged():
                return self._handle_change(event, now)
            case IdsChecked(endpoint=endpoint, ended=ended):
                return self._release(endpoint, ended)

    def _tick(
        self,
        endpoints: tuple[EndpointId, ...],
        instances: tuple[InstanceId, ...],
        now: float,
    ) -> list[SweepAction]:
        swept = [
            item
            for item in endpoints
            if choose_sweeper(item, instances) == self.instance
        ]
        self._engines = {
            item: self._engines.get(item, _Engine(float("-inf"))) for item in swept
        }
        actions: list[SweepAction] = []
        for endpoint, engine in self._engines.items():
            if now - engine.listed_at >= self.interval_s:
                engine.listed_at = now
                actions.append(ListEngine(endpoint))
        return actions

    def _handle_list(self, listed: EngineListed) -> list[SweepAction]:
        engine = self._engines.get(listed.endpoint)
        if engine is None:
            return []
        engine.sequence = max(engine.sequence, listed.sequence)
        engine.tags = dict.fromkeys(listed.tags)
        return self._check(listed.endpoint, listed.tags, listed.requests)

    def _handle_change(self, change: CacheChanged, now: float) -> list[SweepAction]:
        engine = self._engines.get(change.endpoint)
        if engine is None or change.sequence <= engine.sequence:
            # A late or duplicated event: the engine's list or a later event has
            # included the change already.
            return []
        if change.sequence > engine.sequence + 1:
            # An event was lost, so the engine's list is needed.
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
        by_shard: dict[ShardId, calls.FindEnded] = {}
        for tag in tags:
            shard = parse_shard(tag)
            if shard is not None:
                by_shard.setdefault(shard, calls.FindEnded([], [])).tags.append(tag)
        for request in requests:
            shard = parse_shard(request)
            if shard is not None:
                call = by_shard.setdefault(shard, calls.FindEnded([], []))
                call.requests.append(request)
        return [CheckIds(endpoint, shard, call) for shard, call in by_shard.items()]

    def _release(
        self, endpoint: EndpointId, ended: calls.EndedIds
    ) -> list[SweepAction]:
        cancels = [CancelRequest(endpoint, item) for item in ended.requests]
        drops = [DropCache(endpoint, tag) for tag in ended.tags]
        return [*cancels, *drops]
