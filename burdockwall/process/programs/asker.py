"""Ask the primaries of shards, again and again until one answers."""

from dataclasses import dataclass

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.programs import calls
from burdockwall.process.programs.messages import CallRevoked, RecordAnswer, RecordCall
from burdockwall.types import RequestId, ShardId
from burdockwall.version.shards import ShardMap, ShardsInstalled

REPEAT_S = 0.3
RENEW_INTERVAL_S = 1.0
ASKER_MESSAGES: tuple[type[Message], ...] = (RecordAnswer, CallRevoked)


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the primary of a shard; the token is unique to the call."""

    token: RequestId
    shard: ShardId
    call: calls.AnyCall


@dataclass(frozen=True, slots=True)
class Forget:
    """Stop asking; nobody waits for the answer any more."""

    token: RequestId


@dataclass(frozen=True, slots=True)
class Hold:
    """Renew a running call at its shard until it is released."""

    request: RequestId
    shard: ShardId


@dataclass(frozen=True, slots=True)
class Release:
    """Stop renewing a call."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Complete:
    """Hand an answer to the one who waits for it."""

    token: RequestId
    answer: calls.AnyAnswer


@dataclass(frozen=True, slots=True)
class Revoke:
    """Tell that a held call no longer runs in its record."""

    request: RequestId


@dataclass(slots=True)
class _Open:
    shard: ShardId
    call: calls.AnyCall
    sent_at: float


AskerEvent = Tick | Receive | ShardsInstalled | Ask | Forget | Hold | Release
AskerAction = Send | Complete | Revoke


class RecordAsker:
    """Repeat open calls, and renew the calls that this instance runs."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.shards = ShardMap()
        self.held: dict[RequestId, ShardId] = {}
        self._open: dict[RequestId, _Open] = {}
        self._renewals: set[RequestId] = set()
        self._renewed_at = 0.0
        self._last = 0

    def handle(self, event: AskerEvent, now: float) -> list[AskerAction]:
        """Take an event and return what to send or complete."""
        match event:
            case Ask(token=token, shard=shard, call=call):
                self._open[token] = _Open(shard, call, now)
                return self._send(token, self._open[token], now)
            case Forget(token=token):
                self._open.pop(token, None)
                return []
            case Hold(request=request, shard=shard):
                self.held[request] = shard
                return []
            case Release(request=request):
                self.held.pop(request, None)
                return []
            case ShardsInstalled(shards=shards):
                return self._install(shards, now)
            case Receive(message=RecordAnswer(token=token, answer=answer)):
                return self._complete(token, answer)
            case Receive(message=CallRevoked(request=request)):
                return [Revoke(request)] if request in self.held else []
            case Tick():
                return [*self._repeat(now), *self._renew(now)]
            case _:
                return []

    def _send(self, token: RequestId, item: _Open, now: float) -> list[AskerAction]:
        item.sent_at = now
        view = self.shards.get_view(item.shard)
        if view is None:
            return []
        return [Send(view.primary, RecordCall(token, item.shard, item.call))]

    def _install(self, shards: ShardMap, now: float) -> list[AskerAction]:
        former = self.shards
        self.shards = shards
        actions: list[AskerAction] = []
        for token, item in self._open.items():
            view = shards.get_view(item.shard)
            if view is not None and view != former.get_view(item.shard):
                actions += self._send(token, item, now)
        return actions

    def _complete(self, token: RequestId, answer: calls.AnyAnswer) -> list[AskerAction]:
        if self._open.pop(token, None) is None:
            return []
        if token not in self._renewals:
            return [Complete(token, answer)]
        self._renewals.discard(token)
        if not isinstance(answer, calls.GoneFound):
            return []
        return [Revoke(item) for item in answer.requests if item in self.held]

    def _repeat(self, now: float) -> list[AskerAction]:
        actions: list[AskerAction] = []
        for token, item in self._open.items():
            if now - item.sent_at >= REPEAT_S:
                actions += self._send(token, item, now)
        return actions

    def _renew(self, now: float) -> list[AskerAction]:
        if not self.held or now - self._renewed_at < RENEW_INTERVAL_S:
            return []
        self._renewed_at = now
        for token in self._renewals:
            self._open.pop(token, None)
        self._renewals.clear()
        shards: dict[ShardId, list[RequestId]] = {}
        for request, shard in self.held.items():
            shards.setdefault(shard, []).append(request)
        actions: list[AskerAction] = []
        for shard, requests in shards.items():
            self._last += 1
            token = RequestId(f"{self.prefix}.renew.{self._last}")
            self._renewals.add(token)
            item = _Open(shard, calls.RenewCalls(requests), now)
            self._open[token] = item
            actions += self._send(token, item, now)
        return actions
