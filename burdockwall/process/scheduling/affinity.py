"""Remember which endpoint holds a history's prefix, and doubt what is old."""

from collections import OrderedDict
from dataclasses import dataclass

from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.reports import CacheChange, CacheEvent, CacheKey
from burdockwall.types import EndpointId

COPIES_LIMIT = 3


@dataclass(slots=True)
class CachedPrefix:
    """Hold what is believed of one prefix at one endpoint."""

    tokens: int
    confirmed_at: float


class PrefixTable:
    """Hold beliefs from own calls and from late, gappy cache events.

    A belief ends `prefix_doubt_s` after it was last confirmed, so that a lost event
    misleads for a bounded time; the outcome of a call corrects it at once.
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
        """List the endpoints that are believed to hold a prefix, and its tokens."""
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
        cleared = self._cleared_at.get(endpoint, float("-inf"))
        doubt = prefix.confirmed_at + self.policy.prefix_doubt_s
        return prefix.confirmed_at > cleared and now < doubt

    def record(
        self, key: CacheKey, endpoint: EndpointId, tokens: int, now: float
    ) -> None:
        """Believe that an endpoint holds a prefix."""
        copies = self._keys.setdefault(key, {})
        self._keys.move_to_end(key)
        copies.pop(endpoint, None)
        copies[endpoint] = CachedPrefix(tokens, now)
        while len(copies) > COPIES_LIMIT:
            del copies[next(iter(copies))]
        while len(self._keys) > self.policy.prefix_records:
            self._keys.popitem(last=False)

    def forget(self, key: CacheKey, endpoint: EndpointId | None = None) -> None:
        """Drop the belief about a prefix, at one endpoint or at all."""
        copies = self._keys.get(key)
        if copies is None:
            return
        if endpoint is not None:
            copies.pop(endpoint, None)
        if endpoint is None or not copies:
            del self._keys[key]

    def forget_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Doubt everything that an endpoint was believed to hold."""
        self._cleared_at[endpoint] = now

    def observe(
        self, endpoint: EndpointId, events: tuple[CacheEvent, ...], now: float
    ) -> None:
        """Take cache events; those already seen are ignored."""
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
                self.forget(event.key, endpoint)
            case CacheChange.CLEARED:
                self.forget_endpoint(endpoint, now)
