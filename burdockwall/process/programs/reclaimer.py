"""Cancel calls at engines, release caches, and sweep engines for ended programs."""

from collections.abc import Callable

import anyio
import httpx
import logbook
import msgspec

from burdockwall.connection.client import read_limited
from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.json_text import Count, JsonUnreadable, decode_json
from burdockwall.process.jobs import Jobs
from burdockwall.process.programs import calls
from burdockwall.process.programs.client import RecordClient
from burdockwall.process.programs.program_tree import ProgramEnded
from burdockwall.process.programs.sweep import (
    CancelRequest,
    CheckIds,
    DropCache,
    EngineListed,
    IdsChecked,
    ListEngine,
    Sweep,
    SweepAction,
    SweepEvent,
    SweepTick,
)
from burdockwall.process.programs.unrepeatable import NoAnswerError
from burdockwall.process.scheduling.poller import RELEASE_PATH
from burdockwall.settings import Settings
from burdockwall.types import EndpointId, ProgramTag, RequestId
from burdockwall.version.configuration import Endpoint

CANCEL_PATH = "/v1/cancel"
LIST_PATH = "/v1/held"
TEXT_HEADERS = [(b"content-type", b"text/plain")]
FIRST_RETRY_PAUSE_S = 0.1
LONGEST_RETRY_PAUSE_S = 2.0
TICK_S = 0.5
ANSWER_LIMIT_BYTES = 16_777_216
# The statuses of an engine without these paths, which evicts caches by itself.
UNSUPPORTED_STATUSES = (httpx.codes.NOT_FOUND, httpx.codes.METHOD_NOT_ALLOWED)


class HeldPage(msgspec.Struct, frozen=True):
    """An engine's list of its requests and cached programs.

    `sequence` is the number of its last cache event.
    """

    sequence: Count = 0
    requests: list[RequestId] = []
    programs: list[ProgramTag] = []


_held_decoder = msgspec.json.Decoder(HeldPage)


class Reclaimer:
    """Sends cancellations and releases to engines until the engines confirm them."""

    def __init__(
        self,
        settings: Settings,
        client: RecordClient,
        clients: EndpointClients,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.client = client
        self.clients = clients
        self.clock = clock
        self.engines: dict[EndpointId, Endpoint] = {}
        self.sweep = Sweep(client.instance, settings.sweep_interval_s)
        self.confirmed_orders = 0
        self.unconfirmed_orders = 0
        self._jobs = Jobs(client.host.failures)
        self._open_orders: set[tuple[EndpointId, str]] = set()
        self._logger = logbook.Logger("reclaimer")
        client.on_program_ended = self.release

    async def run(self) -> None:
        """Sweep engines and resend unconfirmed orders until cancelled."""
        async with self._jobs.open():
            while True:
                views = self.client.requester.shards.views.values()
                instances = tuple(sorted({view.primary for view in views}))
                endpoints = tuple(sorted(self.engines))
                self._apply(SweepTick(endpoints, instances))
                await anyio.sleep(TICK_S)

    def cancel(self, endpoint: EndpointId, request: RequestId) -> None:
        """Cancel a request at an engine until the engine confirms it."""
        self._start_posting(endpoint, CANCEL_PATH, request)

    def release(self, ended: ProgramEnded) -> None:
        """Release the caches of a program that has ended."""
        for endpoint in ended.endpoints:
            self._release_cache(endpoint, ended.tag)

    def _release_cache(self, endpoint: EndpointId, tag: ProgramTag) -> None:
        self._start_posting(endpoint, RELEASE_PATH, tag)

    def _start_posting(self, name: EndpointId, path: str, target: str) -> None:
        endpoint = self.engines.get(name)
        order = (name, f"{path} {target}")
        if endpoint is None or not self._jobs.running or order in self._open_orders:
            return
        self._open_orders.add(order)
        self._jobs.start(
            self._post_until_confirmed, endpoint, path, target.encode(), order
        )

    async def _post_until_confirmed(
        self, endpoint: Endpoint, path: str, body: bytes, order: tuple[EndpointId, str]
    ) -> None:
        pause_s = FIRST_RETRY_PAUSE_S
        try:
            with anyio.move_on_after(self.settings.cancel_limit_s):
                while not await self._post(endpoint, path, body):
                    await anyio.sleep(pause_s)
                    pause_s = min(LONGEST_RETRY_PAUSE_S, pause_s * 2)
                self.confirmed_orders += 1
                return
            self.unconfirmed_orders += 1
            # The sweep finds the request or cache on the engine's own list.
            self._logger.warning("{} gave no confirmation of {}", *order)
        finally:
            self._open_orders.discard(order)

    async def _post(self, endpoint: Endpoint, path: str, body: bytes) -> bool:
        try:
            async with self.clients.open_stream(
                endpoint, "POST", path, TEXT_HEADERS, body
            ) as response:
                await read_limited(response, ANSWER_LIMIT_BYTES)
                return (
                    response.is_success or response.status_code in UNSUPPORTED_STATUSES
                )
        except httpx.TransportError:
            return False

    def _apply(self, event: SweepEvent) -> None:
        for action in self.sweep.handle(event, self.clock()):
            self._perform(action)

    def _perform(self, action: SweepAction) -> None:
        match action:
            case ListEngine(endpoint=name) if name in self.engines:
                self._jobs.start(self._list, self.engines[name])
            case CheckIds():
                self._jobs.start(self._check, action)
            case CancelRequest(endpoint=name, request=request):
                self.cancel(name, request)
            case DropCache(endpoint=name, tag=tag):
                self._release_cache(name, tag)

    async def _list(self, endpoint: Endpoint) -> None:
        try:
            async with self.clients.open_stream(
                endpoint, "GET", LIST_PATH, [], None
            ) as response:
                body = await read_limited(response, ANSWER_LIMIT_BYTES)
            if not response.is_success:
                return
            page = decode_json(body, _held_decoder)
        except (httpx.TransportError, JsonUnreadable):
            return
        listed = EngineListed(
            endpoint.name, page.sequence, tuple(page.programs), tuple(page.requests)
        )
        self._apply(listed)

    async def _check(self, check: CheckIds) -> None:
        try:
            answer = await self.client.ask(check.shard, check.call)
        except NoAnswerError:
            return
        if isinstance(answer, calls.EndedIds):
            self._apply(IdsChecked(check.endpoint, answer))
