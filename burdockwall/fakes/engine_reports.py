"""The operations of a fake engine on its load, its prefix cache and its requests."""

from collections import Counter

import anyio

from burdockwall.connection.exchange import Exchange
from burdockwall.process.programs.reclaimer import CANCEL_PATH, LIST_PATH, HeldPage
from burdockwall.process.scheduling.poller import (
    EVENTS_PATH,
    LOAD_PATH,
    RELEASE_PATH,
)
from burdockwall.process.scheduling.reports import (
    CacheChange,
    CacheEvent,
    CacheKey,
    CachePage,
    LoadReport,
)
from burdockwall.types import ProgramTag, RequestId

KEY_BYTES = 1024
CALL_CAPACITY = 32


class EngineReports:
    """Load, prefix cache and open requests of a fake engine.

    `level_counts` counts calls by priority level. `open_requests` has a scope by
    request id, so that a cancellation ends the request. The next `cancels_to_refuse`
    cancellations are refused with 503, as if they were lost.
    """

    def __init__(self) -> None:
        self.running_calls = 0
        self.cached_tokens: dict[CacheKey, int] = {}
        self.level_counts: Counter[str] = Counter()
        self.released_keys: list[CacheKey] = []
        self._events: list[CacheEvent] = []
        self._report_count = 0
        self.open_requests: dict[str, anyio.CancelScope] = {}
        self.cancelled_requests: list[str] = []
        self.cancels_to_refuse = 0

    def store(self, exchange: Exchange, tokens: int) -> None:
        """Count the level of a call, and cache the prefix if its headers have a key."""
        self.level_counts[exchange.get_header(b"priority-level") or ""] += 1
        key = CacheKey(exchange.get_header(b"cache-key") or "")
        if key:
            self.cached_tokens[key] = tokens
            self._add_event(CacheChange.STORED, key, tokens)

    def _add_event(self, change: CacheChange, key: CacheKey, tokens: int) -> None:
        sequence = len(self._events) + 1
        self._events.append(CacheEvent(sequence, change, key, tokens))

    async def serve(self, exchange: Exchange) -> bool:
        """Answer an operation, or return False if the request is none of them."""
        match exchange.path:
            case path if path == LOAD_PATH:
                self._report_count += 1
                report = LoadReport(
                    self._report_count, self.running_calls, 0, CALL_CAPACITY
                )
                await exchange.answer_json(200, report)
            case path if path == EVENTS_PATH:
                after = int(dict(exchange.list_query()).get("after", "0"))
                await exchange.answer_json(200, CachePage(self._events[after:]))
            case path if path == RELEASE_PATH:
                await self._release(exchange)
            case path if path == LIST_PATH:
                page = HeldPage(
                    len(self._events),
                    [RequestId(name) for name in self.open_requests],
                    [ProgramTag(key) for key in self.cached_tokens],
                )
                await exchange.answer_json(200, page)
            case path if path == CANCEL_PATH:
                await self._cancel(exchange)
            case _:
                return False
        return True

    async def _cancel(self, exchange: Exchange) -> None:
        request = (await exchange.read_body(KEY_BYTES)).decode()
        if self.cancels_to_refuse > 0:
            self.cancels_to_refuse -= 1
            await exchange.answer_json(503, CachePage([]))
            return
        self.cancelled_requests.append(request)
        scope = self.open_requests.get(request)
        if scope is not None:
            scope.cancel()
        await exchange.answer_json(200, CachePage([]))

    async def _release(self, exchange: Exchange) -> None:
        key = CacheKey((await exchange.read_body(KEY_BYTES)).decode())
        self.released_keys.append(key)
        if self.cached_tokens.pop(key, None) is not None:
            self._add_event(CacheChange.EVICTED, key, 0)
        await exchange.answer_json(200, CachePage([]))
