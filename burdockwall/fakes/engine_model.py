"""A model of an inference engine with continuous batching, on virtual time.

The batch is constant between two events: in each step, every decoding sequence gets
one token, and the first sequence in prefill gets one chunk. Work is continuous, so an
event may come within a step.
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
    """Speed and memory of an engine.

    A step takes `step_s`, `sequence_s` for each decoding sequence, and
    `prefill_token_s` for each token of a prefill chunk. `move_token_s` is the time to
    copy one token of a cached prefix from another engine. `memory_tokens` bounds the
    tokens of running calls and cached prefixes together.
    """

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
    """One call of a model.

    `key` names the program's history, and `shared_key` its first `shared_tokens`
    tokens, which other programs share. The caller has the first `offset` tokens of the
    answer already. At most `moved_tokens` tokens of the prompt are copied from another
    engine. Calls of a lower `level` go first.
    """

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
    """A call that has ended; times in seconds of the virtual clock."""

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
        """Count the prompt and answer tokens that are computed so far."""
        request = self.request
        decoded = request.output_tokens - request.offset - self.decode_tokens_left
        return int(
            request.prompt_tokens + request.offset - self.prefill_tokens_left + decoded
        )

    def count_reserved_tokens(self) -> int:
        """Count the tokens of memory that the whole call needs."""
        return self.request.prompt_tokens + self.request.output_tokens


@dataclass(slots=True)
class _Prefix:
    tokens: int
    last_used_at: float


@dataclass(slots=True)
class EngineModel:
    """An engine that runs calls in a batch and evicts the least recently used prefix.

    `speed` is a factor on the speeds of `spec`, and `failing` says that calls to the
    engine fail. `wasted_token_s` sums, for every prefix that was evicted, its tokens
    times the seconds since its last use. `prefilling_s` is the time with a sequence in
    prefill, and `prefilled_tokens` the work of prefill in tokens.
    """

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
        """Queue a call, and start it if the batch and the memory have room."""
        self._last_arrival_number += 1
        self._waiting.append(_Sequence(request, self._last_arrival_number))
        self._admit()

    def cancel(self, call: ModelCall) -> None:
        """Remove a call; the tokens that it has computed stay in the prefix cache."""
        self._waiting = [
            sequence for sequence in self._waiting if sequence.request.call != call
        ]
        for sequence in [
            sequence for sequence in self._running if sequence.request.call == call
        ]:
            self._running.remove(sequence)
            self._reserved_tokens -= sequence.count_reserved_tokens()
            self._store_prefixes(sequence)
        self._admit()

    def release(self, key: CacheKey) -> None:
        """Remove a prefix from the cache if it is there."""
        if key in self._prefixes:
            self._evict(key)

    def reset(self) -> list[ModelCall]:
        """Remove all calls and prefixes, as a crash does, and return the calls."""
        interrupted = [
            sequence.request.call for sequence in (*self._running, *self._waiting)
        ]
        for key in list(self._prefixes):
            self._evict(key)
        self.events.clear()
        self._running.clear()
        self._waiting.clear()
        self._reserved_tokens = 0
        self._add_event(CacheChange.CLEARED, CacheKey(""), 0)
        return interrupted

    def advance(self, now: float) -> list[CompletedCall]:
        """Advance to a time and return the calls that ended until then."""
        completed: list[CompletedCall] = []
        while True:
            delay = self._compute_next_event_delay()
            if delay is None or self.now + delay > now + EPSILON:
                break
            self._advance_batch(delay)
            completed.extend(self._collect_completed())
            self._admit()
        self._advance_batch(max(0.0, now - self.now))
        self.now = now
        return completed

    def compute_next_event_at(self) -> float | None:
        """Return the time of the next change of the batch, or None when idle."""
        delay = self._compute_next_event_delay()
        return None if delay is None else self.now + delay

    def create_report(self) -> LoadReport:
        """Create a report of the present load."""
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
        """Return whether a prefix is in the cache."""
        return key in self._prefixes

    def add_remaining_waste(self) -> None:
        """Add the prefixes that are still cached to the wasted token seconds."""
        for prefix in self._prefixes.values():
            self._add_waste(prefix)

    def _split_batch(self) -> tuple[_Sequence | None, list[_Sequence]]:
        prefilling = [
            sequence
            for sequence in self._running
            if sequence.prefill_tokens_left > EPSILON
        ]
        decoding = [
            sequence
            for sequence in self._running
            if sequence.prefill_tokens_left <= EPSILON
        ]
        head = min(prefilling, key=self._compute_rank) if prefilling else None
        return head, decoding

    def _compute_rank(self, sequence: _Sequence) -> tuple[int, int]:
        level = sequence.request.level if self.spec.honours_priorities else 0
        return (level, sequence.arrival_number)

    def _compute_step_s(self, head: _Sequence | None, decoding: int) -> float:
        step = self.spec.step_s + self.spec.sequence_s * decoding
        if head is not None:
            step += self.spec.chunk_tokens * self.spec.prefill_token_s
        return step / self.speed

    def _compute_next_event_delay(self) -> float | None:
        head, decoding = self._split_batch()
        step = self._compute_step_s(head, len(decoding))
        delays = [sequence.decode_tokens_left * step for sequence in decoding]
        if head is not None:
            delays.append(head.prefill_tokens_left / self.spec.chunk_tokens * step)
        return min(delays) if delays else None

    def _advance_batch(self, seconds: float) -> None:
        self.now += seconds
        head, decoding = self._split_batch()
        if head is None and not decoding:
            return
        if head is not None:
            self.prefilling_s += seconds
        steps = seconds / self._compute_step_s(head, len(decoding))
        for sequence in decoding:
            sequence.decode_tokens_left -= steps
        if head is not None:
            computed = min(head.prefill_tokens_left, steps * self.spec.chunk_tokens)
            head.prefill_tokens_left -= computed
            self.prefilled_tokens += computed
            if head.prefill_tokens_left <= EPSILON * self.spec.chunk_tokens:
                head.prefill_tokens_left = 0.0
                head.first_token_at = self.now

    def _collect_completed(self) -> list[CompletedCall]:
        completed = []
        for sequence in self._running:
            if (
                sequence.prefill_tokens_left <= EPSILON
                and sequence.decode_tokens_left <= 1e-6
            ):
                sequence.decode_tokens_left = 0.0
                completed.append(self._complete(sequence))
        if completed:
            calls = {sequence.call for sequence in completed}
            remaining = [
                sequence
                for sequence in self._running
                if sequence.request.call not in calls
            ]
            self._running = remaining
        return completed

    def _complete(self, sequence: _Sequence) -> CompletedCall:
        self._reserved_tokens -= sequence.count_reserved_tokens()
        self._store_prefixes(sequence)
        return CompletedCall(
            sequence.request.call,
            self.now,
            sequence.first_token_at,
            sequence.cached_tokens,
            sequence.request.output_tokens,
        )

    def _admit(self) -> None:
        self._waiting.sort(key=self._compute_rank)
        while self._waiting and len(self._running) < self.spec.batch_limit:
            sequence = self._waiting[0]
            if not self._make_room(sequence):
                return
            del self._waiting[0]
            self._start(sequence)

    def _start(self, sequence: _Sequence) -> None:
        request = sequence.request
        sequence.cached_tokens = self._claim_cached_tokens(request)
        prompt = request.prompt_tokens + request.offset
        moved = max(0, min(request.moved_tokens, prompt) - sequence.cached_tokens)
        computed = prompt - sequence.cached_tokens - moved
        # The time to move a token is expressed as a fraction of a prefill token.
        moving = moved * self.spec.move_token_s / self.spec.prefill_token_s
        sequence.prefill_tokens_left = max(1.0, computed + moving)
        sequence.decode_tokens_left = float(request.output_tokens - request.offset)
        self._reserved_tokens += sequence.count_reserved_tokens()
        self._running.append(sequence)

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
            # The reservation of the running call now includes these tokens.
            self._prefix_tokens -= prefix.tokens
            del self._prefixes[request.key]
        return cached // BLOCK_TOKENS * BLOCK_TOKENS

    def _make_room(self, sequence: _Sequence) -> bool:
        needed = sequence.count_reserved_tokens()
        own_prefix = self._prefixes.get(sequence.request.key)
        # The reservation takes the place of the call's own cached prefix.
        reused = own_prefix.tokens if own_prefix else 0
        while self._reserved_tokens + self._prefix_tokens - reused + needed > (
            self.spec.memory_tokens
        ):
            victim = next(
                (key for key in self._prefixes if key != sequence.request.key), None
            )
            if victim is None:
                # A call that exceeds the memory on its own runs alone.
                return not self._running
            self._evict(victim)
        return True

    def _store_prefixes(self, sequence: _Sequence) -> None:
        request = sequence.request
        tokens = sequence.count_computed_tokens()
        self._store_prefix(request.shared_key, min(request.shared_tokens, tokens))
        if tokens > request.shared_tokens:
            self._store_prefix(request.key, tokens)

    def _store_prefix(self, key: CacheKey, length: int) -> None:
        previous = self._prefixes.pop(key, None)
        if previous is not None:
            self._prefix_tokens -= previous.tokens
        tokens = max(length, previous.tokens if previous else 0)
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
