"""Model an engine or plain service on virtual time, at its interface only.

Continuous batching is a fluid: between two events the batch is constant, so every
sequence decodes at one token a step and the first prefill gets one chunk a step.
"""

from dataclasses import dataclass, field
from typing import NewType

from burdockwall.process.scheduling.reports import (
    CacheChange,
    CacheEvent,
    CacheKey,
    LoadReport,
)

ModelCall = NewType("ModelCall", int)
BLOCK_TOKENS = 16
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Set the speed and memory of an engine."""

    step_s: float = 0.02
    sequence_s: float = 0.00025
    prefill_token_s: float = 0.000125
    move_token_s: float = 0.00001
    chunk_tokens: int = 1024
    batch_limit: int = 32
    memory_tokens: int = 200_000
    honours_priorities: bool = True


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Describe one call; `offset` tokens of the answer are known to the caller."""

    call: ModelCall
    key: CacheKey
    shared_key: CacheKey
    shared_tokens: int
    prompt_tokens: int
    output_tokens: int
    level: int = 0
    offset: int = 0
    moved_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CompletedCall:
    """Report the end of a call; times in seconds of the virtual clock."""

    call: ModelCall
    ended_at: float
    first_token_at: float
    cached_tokens: int
    output_tokens: int


@dataclass(slots=True)
class _Sequence:
    request: EngineRequest
    arrival_number: int
    prefill_tokens_left: float = 0.0
    decode_tokens_left: float = 0.0
    cached_tokens: int = 0
    first_token_at: float = 0.0

    def count_computed_tokens(self) -> int:
        """Count the tokens that are in memory so far."""
        request = self.request
        decoded = request.output_tokens - request.offset - self.decode_tokens_left
        return int(
            request.prompt_tokens + request.offset - self.prefill_tokens_left + decoded
        )

    def count_reserved_tokens(self) -> int:
        """Count the tokens that the whole call needs."""
        return self.request.prompt_tokens + self.request.output_tokens


@dataclass(slots=True)
class _Prefix:
    tokens: int
    last_used_at: float


@dataclass(slots=True)
class EngineModel:
    """Run calls in a batch with a prefix cache of least recent use."""

    spec: EngineSpec
    speed: float = 1.0
    failing: bool = False
    now: float = 0.0
    wasted_token_s: float = 0.0
    prefilling_s: float = 0.0
    prefilled_tokens: float = 0.0
    events: list[CacheEvent] = field(default_factory=list)
    _waiting: list[_Sequence] = field(default_factory=list)
    _running: list[_Sequence] = field(default_factory=list)
    _prefixes: dict[CacheKey, _Prefix] = field(default_factory=dict)
    _prefix_tokens: int = 0
    _reserved_tokens: int = 0
    _last_arrival_number: int = 0
    _event_number: int = 0
    _report_number: int = 0

    def submit(self, request: EngineRequest, now: float) -> None:
        """Queue a call."""
        self._last_arrival_number += 1
        self._waiting.append(_Sequence(request, self._last_arrival_number))
        self._admit()

    def cancel(self, call: ModelCall) -> None:
        """Drop a call; what it has computed stays in the prefix cache."""
        self._waiting = [item for item in self._waiting if item.request.call != call]
        for item in [item for item in self._running if item.request.call == call]:
            self._running.remove(item)
            self._reserved_tokens -= item.count_reserved_tokens()
            self._store_prefixes(item)
        self._admit()

    def release(self, key: CacheKey) -> None:
        """Drop a prefix from the cache."""
        if key in self._prefixes:
            self._evict(key)

    def reset(self) -> list[ModelCall]:
        """Lose everything, as at a crash, and return the calls cut off."""
        lost = [item.request.call for item in (*self._running, *self._waiting)]
        for key in list(self._prefixes):
            self._evict(key)
        self.events.clear()
        self._running.clear()
        self._waiting.clear()
        self._reserved_tokens = 0
        self._add_event(CacheChange.CLEARED, CacheKey(""), 0)
        return lost

    def advance(self, now: float) -> list[CompletedCall]:
        """Move to a time and return the calls that ended on the way."""
        answered: list[CompletedCall] = []
        while True:
            pause = self._compute_next_event_delay()
            if pause is None or self.now + pause > now + EPSILON:
                break
            self._advance_batch(pause)
            answered.extend(self._collect_completed())
            self._admit()
        self._advance_batch(max(0.0, now - self.now))
        self.now = now
        return answered

    def compute_next_event_at(self) -> float | None:
        """Return the time of the next change, or None when idle."""
        pause = self._compute_next_event_delay()
        return None if pause is None else self.now + pause

    def create_report(self) -> LoadReport:
        """Report the load as it is now."""
        self._report_number += 1
        used = (self._reserved_tokens + self._prefix_tokens) / self.spec.memory_tokens
        return LoadReport(
            self._report_number,
            len(self._running),
            len(self._waiting),
            self.spec.batch_limit,
            used,
        )

    def has_prefix(self, key: CacheKey) -> bool:
        """Tell whether a prefix is in the cache."""
        return key in self._prefixes

    def add_remaining_waste(self) -> None:
        """Count the prefixes that are left as wasted since their last use."""
        for prefix in self._prefixes.values():
            self._add_waste(prefix)

    def _split_batch(self) -> tuple[_Sequence | None, list[_Sequence]]:
        prefilling = [
            item for item in self._running if item.prefill_tokens_left > EPSILON
        ]
        decoding = [
            item for item in self._running if item.prefill_tokens_left <= EPSILON
        ]
        head = min(prefilling, key=self._compute_rank) if prefilling else None
        return head, decoding

    def _compute_rank(self, item: _Sequence) -> tuple[int, int]:
        level = item.request.level if self.spec.honours_priorities else 0
        return (level, item.arrival_number)

    def _compute_step_s(self, head: _Sequence | None, decoding: int) -> float:
        step = self.spec.step_s + self.spec.sequence_s * decoding
        if head is not None:
            step += self.spec.chunk_tokens * self.spec.prefill_token_s
        return step / self.speed

    def _compute_next_event_delay(self) -> float | None:
        head, decoding = self._split_batch()
        step = self._compute_step_s(head, len(decoding))
        pauses = [item.decode_tokens_left * step for item in decoding]
        if head is not None:
            pauses.append(head.prefill_tokens_left / self.spec.chunk_tokens * step)
        return min(pauses) if pauses else None

    def _advance_batch(self, seconds: float) -> None:
        self.now += seconds
        head, decoding = self._split_batch()
        if head is None and not decoding:
            return
        if head is not None:
            self.prefilling_s += seconds
        steps = seconds / self._compute_step_s(head, len(decoding))
        for item in decoding:
            item.decode_tokens_left -= steps
        if head is not None:
            done = min(head.prefill_tokens_left, steps * self.spec.chunk_tokens)
            head.prefill_tokens_left -= done
            self.prefilled_tokens += done
            if head.prefill_tokens_left <= EPSILON * self.spec.chunk_tokens:
                head.prefill_tokens_left = 0.0
                head.first_token_at = self.now

    def _collect_completed(self) -> list[CompletedCall]:
        answered = []
        for item in self._running:
            if item.prefill_tokens_left <= EPSILON and item.decode_tokens_left <= 1e-6:
                item.decode_tokens_left = 0.0
                answered.append(self._complete(item))
        if answered:
            calls = {item.call for item in answered}
            kept = [item for item in self._running if item.request.call not in calls]
            self._running = kept
        return answered

    def _complete(self, item: _Sequence) -> CompletedCall:
        self._reserved_tokens -= item.count_reserved_tokens()
        self._store_prefixes(item)
        return CompletedCall(
            item.request.call,
            self.now,
            item.first_token_at,
            item.cached_tokens,
            item.request.output_tokens,
        )

    def _admit(self) -> None:
        self._waiting.sort(key=self._compute_rank)
        while self._waiting and len(self._running) < self.spec.batch_limit:
            item = self._waiting[0]
            if not self._make_room(item):
                return
            del self._waiting[0]
            self._start(item)

    def _start(self, item: _Sequence) -> None:
        request = item.request
        item.cached_tokens = self._claim_cached_tokens(request)
        whole = request.prompt_tokens + request.offset
        moved = max(0, min(request.moved_tokens, whole) - item.cached_tokens)
        left = whole - item.cached_tokens - moved
        # A moved token costs a part of what computing it costs.
        moving = moved * self.spec.move_token_s / self.spec.prefill_token_s
        item.prefill_tokens_left = max(1.0, left + moving)
        item.decode_tokens_left = float(request.output_tokens - request.offset)
        self._reserved_tokens += item.count_reserved_tokens()
        self._running.append(item)

    def _claim_cached_tokens(self, request: EngineRequest) -> int:
        cached = 0
        for key in (request.shared_key, request.key):
            prefix = self._prefixes.get(key)
            if prefix is not None:
                prefix.last_used_at = self.now
                self._prefixes[key] = self._prefixes.pop(key)
                cached = max(cached, min(prefix.tokens, request.prompt_tokens))
        prefix = self._prefixes.get(request.key)
        if prefix is not None:
            # The running call now accounts for these tokens.
            self._prefix_tokens -= prefix.tokens
            del self._prefixes[request.key]
        return cached // BLOCK_TOKENS * BLOCK_TOKENS

    def _make_room(self, item: _Sequence) -> bool:
        need = item.count_reserved_tokens()
        own = self._prefixes.get(item.request.key)
        spared = own.tokens if own else 0
        while self._reserved_tokens + self._prefix_tokens - spared + need > (
            self.spec.memory_tokens
        ):
            victim = next(
                (key for key in self._prefixes if key != item.request.key), None
            )
            if victim is None:
                return not self._running
            self._evict(victim)
        return True

    def _store_prefixes(self, item: _Sequence) -> None:
        request = item.request
        tokens = item.count_computed_tokens()
        self._store_prefix(request.shared_key, min(request.shared_tokens, tokens))
        if tokens > request.shared_tokens:
            self._store_prefix(request.key, tokens)

    def _store_prefix(self, key: CacheKey, reach: int) -> None:
        former = self._prefixes.pop(key, None)
        if former is not None:
            self._prefix_tokens -= former.tokens
        tokens = max(reach, former.tokens if former else 0)
        self._prefixes[key] = _Prefix(tokens, self.now)
        self._prefix_tokens += tokens
        self._add_event(CacheChange.STORED, key, tokens)

    def _evict(self, key: CacheKey) -> None:
        prefix = self._prefixes.pop(key)
        self._prefix_tokens -= prefix.tokens
        self._add_waste(prefix)
        self._add_event(CacheChange.EVICTED, key, 0)

    def _add_waste(self, prefix: _Prefix) -> None:
        self.wasted_token_s += prefix.tokens * (self.now - prefix.last_used_at)

    def _add_event(self, change: CacheChange, key: CacheKey, tokens: int) -> None:
        self._event_number += 1
        self.events.append(CacheEvent(self._event_number, change, key, tokens))
