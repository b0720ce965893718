"""A table of the endpoints that are expected to have a history's prefix cached."""

from collections import OrderedDict

import msgspec

from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.reports import CacheChange, CacheEvent, CacheKey
from burdockwall.types import EndpointId

COPIES_LIMIT = 3


class CachedPrefix(msgspec.Struct):
    """The cached tokens of one prefix at one endpoint, and when this was confirmed."""

    tokens: int
    confirmed_at: float


class PrefixTable:
    """Expected prefix copies, from this instance's calls and endpoints' cache events.

    Cache events may arrive late or be lost. An entry is trusted for `prefix_doubt_s`
    after it was last confirmed, so that a lost event misleads for a bounded time; the
    outcome of a call corrects the entry at once.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self._keys: OrderedDict[CacheKey, dict[EndpointId, CachedPrefix]] = (
            OrderedDict()
        )
        self._sequences: dict[EndpointId, int] = {}
        self._cleared_at: dict[EndpointId, float] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def list_copies(self, key: CacheKey, now: float) -> list[tuple[EndpointId, int]]:
        """List the endpoints expected to have a prefix cached, with its tokens."""
        copies = self._keys.get(key)
        if copies is None:
            return []
        return [
            (endpoint, prefix.tokens)
            for endpoint, prefix in copies.items()
            if self._is_trusted(endpoint, prefix, now)
        ]

    def _is_trusted(
        self, endpoint: EndpointId, prefix: CachedPrefix, now: float
    ) -> bool:
        cleared_at = self._cleared_at.get(endpoint, float("-inf"))
        trusted_until = prefix.confirmed_at + self.policy.prefix_doubt_s
        return prefix.confirmed_at > cleared_at and now < trusted_until

    def record(
        self, key: CacheKey, endpoint: EndpointId, tokens: int, now: float
    ) -> None:
        """Record that an endpoint has a prefix cached; drop the oldest over a limit."""
        copies = self._keys.setdefault(key, {})
        self._keys.move_to_end(key)
        copies.pop(endpoint, None)
        copies[endpoint] = CachedPrefix(tokens, now)
        while len(copies) > COPIES_LIMIT:
            del copies[next(iter(copies))]
        while len(self._keys) > self.policy.prefix_records:
            self._keys.popitem(last=False)

    def remove(self, key: CacheKey, endpoint: EndpointId | None = None) -> None:
        """Remove the entry of a prefix at one endpoint, or at all of them."""
        copies = self._keys.get(key)
        if copies is None:
            return
        if endpoint is not None:
            copies.pop(endpoint, None)
        if endpoint is None or not copies:
            del self._keys[key]

    def distrust_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Stop trusting every entry of an endpoint confirmed until now."""
        self._cleared_at[endpoint] = now

    def apply_events(
        self, endpoint: EndpointId, events: tuple[CacheEvent, ...], now: float
    ) -> None:
        """Apply cache events; those with an old sequence number are ignored."""
        for event in events:
            if event.change is not CacheChange.CLEARED and (
                event.sequence <= self._sequences.get(endpoint, 0)
            ):
                continue
            self._sequences[endpoint] = event.sequence
            self._apply(endpoint, event, now)

    def _apply(self, endpoint: EndpointId, event: CacheEvent, now: float) -> None:
        match event.change:
            case CacheChange.STORED:
                self.record(event.key, endpoint, event.tokens, now)
            case CacheChange.EVICTED:
                self.remove(event.key, endpoint)
            case CacheChange.CLEARED:
                self.distrust_endpoint(endpoint, now)
