"""Poll endpoints for load and cache events, and send them cache release hints."""

from collections.abc import Callable

import anyio
import httpx
import msgspec

from burdockwall.connection.client import read_limited
from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.json_text import JsonUnreadable, decode_json
from burdockwall.process.failures import Failures
from burdockwall.process.jobs import contain
from burdockwall.process.scheduling.dispatcher import Dispatcher
from burdockwall.process.scheduling.jobs import ObserveCache, ObserveLoad, ReleaseCache
from burdockwall.process.scheduling.reports import CachePage, LoadReport
from burdockwall.types import EndpointId, RouteKind
from burdockwall.version.configuration import Endpoint

LOAD_PATH = "/v1/load"
EVENTS_PATH = "/v1/cache/events"
RELEASE_PATH = "/v1/cache/release"
ANSWER_LIMIT_BYTES = 1_048_576
ACTIVE_WINDOW_S = 10.0
UNSUPPORTED_PAUSE_S = 60.0
TIMEOUT_PAUSE_INTERVALS = 4
CONCURRENT_POLLS = 16
_load_decoder = msgspec.json.Decoder(LoadReport)
_events_decoder = msgspec.json.Decoder(CachePage)


class EndpointPoller:
    """Polls the endpoints that this instance has used in the last ACTIVE_WINDOW_S."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clients: EndpointClients,
        clock: Callable[[], float],
        interval_s: float,
        failures: Failures | None = None,
    ) -> None:
        self.failures = failures or Failures()
        self.dispatcher = dispatcher
        self.clients = clients
        self.clock = clock
        self.interval_s = interval_s
        self._last_sequences: dict[EndpointId, int] = {}
        self._active_at: dict[EndpointId, float] = {}
        self._paused_until: dict[str, float] = {}

    async def run(self) -> None:
        """Poll and send release hints until cancelled."""
        while True:
            await self._run_once()
            await anyio.sleep(self.interval_s)

    async def _run_once(self) -> None:
        limit = anyio.CapacityLimiter(CONCURRENT_POLLS)
        async with anyio.create_task_group() as group:
            for endpoint in self._list_active():
                group.start_soon(contain, self.failures, self._poll, endpoint, limit)
            while self.dispatcher.releases:
                release = self.dispatcher.releases.popleft()
                group.start_soon(contain, self.failures, self._release, release, limit)

    def _list_active(self) -> list[Endpoint]:
        now = self.clock()
        for name, load in self.dispatcher.scheduler.router.loads.items():
            if load.running or load.queued:
                self._active_at[name] = now
        recent = now - ACTIVE_WINDOW_S
        self._active_at = {
            name: active_at
            for name, active_at in self._active_at.items()
            if active_at >= recent
        }
        endpoints = self.dispatcher.endpoints
        return [
            endpoints[name]
            for name in self._active_at
            if name in endpoints and not self.dispatcher.is_evacuated(endpoints[name])
        ]

    async def _poll(self, endpoint: Endpoint, limit: anyio.CapacityLimiter) -> None:
        async with limit:
            body = await self._request(endpoint, "GET", LOAD_PATH)
            if body is not None:
                self._observe_load(endpoint, body)
            if self._is_engine(endpoint):
                after = self._last_sequences.get(endpoint.name, 0)
                path = f"{EVENTS_PATH}?after={after}"
                body = await self._request(endpoint, "GET", path)
                if body is not None:
                    self._observe_events(endpoint, body)

    def _is_engine(self, endpoint: Endpoint) -> bool:
        kinds = self.dispatcher.pool_kinds
        return kinds.get(endpoint.pool) is RouteKind.MODEL

    def _observe_load(self, endpoint: Endpoint, body: bytes) -> None:
        try:
            report = decode_json(body, _load_decoder)
        except JsonUnreadable:
            return
        self.dispatcher.apply(ObserveLoad(endpoint.name, report))

    def _observe_events(self, endpoint: Endpoint, body: bytes) -> None:
        try:
            page = decode_json(body, _events_decoder)
        except JsonUnreadable:
            return
        if page.events:
            self._last_sequences[endpoint.name] = page.events[-1].sequence
            events = tuple(page.events)
            self.dispatcher.apply(ObserveCache(endpoint.name, events))

    async def _release(
        self, release: ReleaseCache, limit: anyio.CapacityLimiter
    ) -> None:
        endpoint = self.dispatcher.endpoints.get(release.endpoint)
        if endpoint is not None and not self.dispatcher.is_evacuated(endpoint):
            async with limit:
                await self._request(
                    endpoint, "POST", RELEASE_PATH, release.key.encode()
                )

    async def _request(
        self, endpoint: Endpoint, method: str, path: str, content: bytes | None = None
    ) -> bytes | None:
        """Return an endpoint's answer, or None.

        After another status than 200, as for an unsupported path, the path is not
        requested from this endpoint for UNSUPPORTED_PAUSE_S; after a timeout, for
        TIMEOUT_PAUSE_INTERVALS.
        """
        resource = f"{endpoint.name} {path.partition('?')[0]}"
        if self._paused_until.get(resource, 0.0) > self.clock():
            return None
        try:
            with anyio.move_on_after(self.interval_s * 2) as scope:
                async with self.clients.open_stream(
                    endpoint, method, path, [], content
                ) as response:
                    if response.status_code == httpx.codes.OK:
                        return await read_limited(response, ANSWER_LIMIT_BYTES)
        except httpx.HTTPError:
            return None
        pause_s = UNSUPPORTED_PAUSE_S
        if scope.cancelled_caught:
            pause_s = TIMEOUT_PAUSE_INTERVALS * self.interval_s
        self._paused_until[resource] = self.clock() + pause_s
        return None
