"""Send calls to the primaries of shards, and resend them until one answers."""

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.programs import calls
from burdockwall.process.programs.messages import CallRevoked, RecordAnswer, RecordCall
from burdockwall.types import RequestId, ShardId
from burdockwall.version.shards import ShardMap, ShardsInstalled

RESEND_S = 0.3
RENEW_INTERVAL_S = 1.0
REQUESTER_MESSAGES: tuple[type[Message], ...] = (RecordAnswer, CallRevoked)


class StartCall(msgspec.Struct, frozen=True):
    """Send a call to the primary of a shard; the token is unique to the call."""

    token: RequestId
    shard: ShardId
    call: calls.AnyCall


class AbandonCall(msgspec.Struct, frozen=True):
    """Stop sending a call; nothing waits for its answer any more."""

    token: RequestId


class StartRenewing(msgspec.Struct, frozen=True):
    """Renew a running call at its shard until StopRenewing."""

    request: RequestId
    shard: ShardId


class StopRenewing(msgspec.Struct, frozen=True):
    """Stop renewing a call."""

    request: RequestId


class CompleteCall(msgspec.Struct, frozen=True):
    """Pass an answer to the task that waits for it."""

    token: RequestId
    answer: calls.AnyAnswer


class RevokeCall(msgspec.Struct, frozen=True):
    """Tell the owner that a renewed call no longer runs in its record."""

    request: RequestId


class _PendingCall(msgspec.Struct):
    shard: ShardId
    call: calls.AnyCall
    sent_at: float


RequesterEvent = (
    Tick
    | Receive
    | ShardsInstalled
    | StartCall
    | AbandonCall
    | StartRenewing
    | StopRenewing
)
RequesterAction = Send | CompleteCall | RevokeCall


class RecordRequester:
    """Resends unanswered calls, and renews the calls that this instance runs."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.shards = ShardMap()
        self.renewed_calls: dict[RequestId, ShardId] = {}
        self._pending: dict[RequestId, _PendingCall] = {}
        self._renewal_tokens: set[RequestId] = set()
        self._renewed_at = 0.0
        self._renewal_count = 0

    def handle(self, event: RequesterEvent, now: float) -> list[RequesterAction]:
        """Handle an event and return the actions to perform."""
        match event:
            case StartCall(token=token, shard=shard, call=call):
                self._pending[token] = _PendingCall(shard, call, now)
                return self._send(token, self._pending[token], now)
            case AbandonCall(token=token):
                self._pending.pop(token, None)
                return []
            case StartRenewing(request=request, shard=shard):
                self.renewed_calls[request] = shard
                return []
            case StopRenewing(request=request):
                self.renewed_calls.pop(request, None)
                return []
            case ShardsInstalled(shards=shards):
                return self._install(shards, now)
            case Receive(message=RecordAnswer(token=token, answer=answer)):
                return self._complete(token, answer)
            case Receive(message=CallRevoked(request=request)):
                return [RevokeCall(request)] if request in self.renewed_calls else []
            case Tick():
                return [*self._resend_pending(now), *self._renew(now)]
            case _:
                return []

    def _send(
        self, token: RequestId, pending: _PendingCall, now: float
    ) -> list[RequesterAction]:
        pending.sent_at = now
        view = self.shards.get_view(pending.shard)
        if view is None:
            return []
        return [Send(view.primary, RecordCall(token, pending.shard, pending.call))]

    def _install(self, shards: ShardMap, now: float) -> list[RequesterAction]:
        previous = self.shards
        self.shards = shards
        actions: list[RequesterAction] = []
        for token, pending in self._pending.items():
            view = shards.get_view(pending.shard)
            if view is not None and view != previous.get_view(pending.shard):
                actions += self._send(token, pending, now)
        return actions

    def _complete(
        self, token: RequestId, answer: calls.AnyAnswer
    ) -> list[RequesterAction]:
        if self._pending.pop(token, None) is None:
            return []
        if token not in self._renewal_tokens:
            return [CompleteCall(token, answer)]
        self._renewal_tokens.discard(token)
        if not isinstance(answer, calls.EndedIds):
            return []
        return [
            RevokeCall(item) for item in answer.requests if item in self.renewed_calls
        ]

    def _resend_pending(self, now: float) -> list[RequesterAction]:
        actions: list[RequesterAction] = []
        for token, pending in self._pending.items():
            if now - pending.sent_at >= RESEND_S:
                actions += self._send(token, pending, now)
        return actions

    def _renew(self, now: float) -> list[RequesterAction]:
        if not self.renewed_calls or now - self._renewed_at < RENEW_INTERVAL_S:
            return []
        self._renewed_at = now
        for token in self._renewal_tokens:
            self._pending.pop(token, None)
        self._renewal_tokens.clear()
        shards: dict[ShardId, list[RequestId]] = {}
        for request, shard in self.renewed_calls.items():
            shards.setdefault(shard, []).append(request)
        actions: list[RequesterAction] = []
        for shard, requests in shards.items():
            self._renewal_count += 1
            token = RequestId(f"{self.prefix}.renew.{self._renewal_count}")
            self._renewal_tokens.add(token)
            pending = _PendingCall(shard, calls.RenewCalls(requests), now)
            self._pending[token] = pending
            actions += self._send(token, pending, now)
        return actions
