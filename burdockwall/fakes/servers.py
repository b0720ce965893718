"""Fakes of the servers of the users' platform, and of its server list."""

import time
from dataclasses import dataclass, field

import anyio
import msgspec

from burdockwall.connection.exchange import Exchange, Headers, run_while_connected
from burdockwall.errors import RequestRefused
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.proxy import FaultyProxy
from burdockwall.process.web import serve_address
from burdockwall.types import Address

STOP_GRACE_S = 0.1
HEALTH_PATH = "/healthz"
UNLIMITED = 1_000_000_000
STREAM_TYPE = (b"content-type", b"text/event-stream")


@dataclass(slots=True)
class ReceivedRequest:
    """A request that a server has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float


@dataclass(slots=True)
class FakeServer:
    """A server of the platform that can fail on demand.

    It refuses the next `refusals_left` requests with 503, and breaks a stream from its
    start after `cut_after_events` events. With `refuses_after_cut` it refuses every
    request after that. If `refuses_each` is not 0, it refuses each so many-th request.
    While `silent`, it answers no requests except for
    streams. `cancelled_count` counts the requests that the caller cancelled. A value of
    `leaving_values` is sent in a header of each answer that says whether it leaves, and
    `rate_limit`, unless it is empty, in one that names the rate it takes. `load` is the
    load that it reports. Unless it `signs`, its answers have no signature.

    A request whose body contains a text of `crashes_on` crashes the server when it
    begins to run it; the server is back after `down_s`, as a later start of itself.
    `crash_times` are those of all crashes. With `cold_s` it is cold for this time after
    it is back, which its health responses and the list say; `cold_text` replaces what
    the list says.
    """

    name: str
    service: str
    zone: str = "a"
    software: str = "v1"
    address: Address = field(default_factory=find_address)
    event_count: int = 3
    state: str = "ready"
    refusals_left: int = 0
    cut_after_events: int | None = None
    refuses_after_cut: bool = False
    refuses_each: int = 0
    delay_s: float = 0.0
    silent: bool = False
    leaving_values: tuple[str, ...] = ()
    rate_limit: str = ""
    load: str = "1,0,8"
    signs: bool = True
    started_ms: int | None = None
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    cancelled_count: int = 0
    crashes_on: tuple[bytes, ...] = ()
    down_s: float = 0.3
    crash_times: list[float] = field(default_factory=list)
    cold_s: float = 0.0
    cold_until: float = 0.0
    cold_text: object = None
    health_times: list[float] = field(default_factory=list)
    _listener: FaultyProxy | None = None

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        body = await exchange.read_body(1_000_000)
        headers = {
            key.decode(): value.decode("latin-1") for key, value in exchange.headers
        }
        target = exchange.raw_path
        if target == HEALTH_PATH:
            self.health_times.append(time.monotonic())
            await exchange.answer(200, self._describe_cold(), b"")
            return
        self.received_requests.append(
            ReceivedRequest(exchange.method, target, headers, body, time.monotonic())
        )
        answer = self._build_headers(headers)
        if self._refuses():
            refused = [*answer, (b"x-not-executed", b"1")]
            await exchange.answer(503, refused, b"full")
            return
        if headers.get("x-expect-instance") not in (None, self.name):
            await exchange.answer(421, answer, b"")
            return
        if any(text in body for text in self.crashes_on):
            self.crash()
            return
        try:
            await run_while_connected(
                exchange, lambda: self._answer(exchange, answer, headers)
            )
        except RequestRefused:
            # The caller has closed the connection, so the work has stopped.
            self.cancelled_count += 1
            raise

    def get_cold_ms(self) -> int:
        """Return how long the server stays cold, in milliseconds."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def _describe_cold(self) -> Headers:
        return [(b"x-cold-ms", str(self.get_cold_ms()).encode())] if self.cold_s else []

    def _refuses(self) -> bool:
        if self.refusals_left:
            self.refusals_left -= 1
            return True
        count = len(self.received_requests)
        return bool(self.refuses_each) and count % self.refuses_each == 0

    def _build_headers(self, headers: dict[str, str]) -> Headers:
        limits = [self.rate_limit] if self.rate_limit else []
        stamp = f"stamp-{self.name}-{len(self.received_requests)}".encode()
        return [
            *((b"server-limit", value.encode()) for value in limits),
            (b"x-request-id", headers.get("x-request-id", "").encode()),
            *([(b"x-server-stamp", stamp)] if self.signs else []),
            (b"x-server-load", self.load.encode()),
            *((b"server-leaving", value.encode()) for value in self.leaving_values),
        ]

    async def _answer(
        self, exchange: Exchange, answer: Headers, headers: dict[str, str]
    ) -> None:
        if "x-token-usage" not in headers:
            if self.silent:
                await anyio.sleep_forever()
            await anyio.sleep(self.delay_s)
            await exchange.answer(200, answer, b"done")
            return
        await exchange.start(200, [*answer, STREAM_TYPE])
        last_event = int(headers.get("last-event-id") or 0)
        for number in range(last_event + 1, self.event_count + 1):
            if not last_event and number - 1 == self.cut_after_events:
                self._cut()
            await anyio.sleep(self.delay_s)
            await exchange.write(f"id: {number}\ndata: w{number}\n\n".encode())
        await exchange.finish()

    def crash(self) -> None:
        """Break every connection, and refuse new ones until the server is back."""
        if self._listener is not None:
            self.crash_times.append(time.monotonic())
            self._listener.kill()

    def _cut(self) -> None:
        if self.refuses_after_cut:
            self.refusals_left = UNLIMITED
        raise ConnectionError("cut on purpose")

    async def run(self, stop: anyio.Event) -> None:
        """Serve until stopped."""
        if not self.crashes_on and not self.cold_s:
            await serve_address(self.address, self.serve, stop, STOP_GRACE_S)
            return
        async with anyio.create_task_group() as group:
            inner = find_address()
            group.start_soon(self._run_starts, inner)
            await serve_address(inner, self.serve, stop, STOP_GRACE_S)
            group.cancel_scope.cancel()

    async def _run_starts(self, inner: Address) -> None:
        """Listen in front of the server, and come back after each crash."""
        while True:
            self._listener = FaultyProxy(self.address, inner)
            await self._listener.run()
            await anyio.sleep(self.down_s)
            self.cold_until = time.monotonic() + self.cold_s
            if self.started_ms is not None:
                later_ms = int(time.time() * 1000) if self.cold_s else 0
                self.started_ms = max(self.started_ms + 1, later_ms)


@dataclass(slots=True)
class FakeServerList:
    """The platform's list of servers, with some malformed entries of other writers."""

    servers: list[FakeServer]
    address: Address = field(default_factory=find_address)

    async def serve(self, exchange: Exchange) -> None:
        """Answer one call."""
        listed: list[object] = [
            {
                "id": server.name,
                "service": server.service,
                "address": server.address,
                "zone": server.zone,
                "version": server.software,
                "slots": 8,
                "state": server.state,
                "born": server.started_ms,
                **({"cold-left-ms": server.cold_text} if server.cold_text else {}),
            }
            for server in self.servers
        ]
        listed += [{"id": 5}, "unreadable", {"id": "x", "state": "odd"}]
        body = msgspec.json.encode({"instances": listed, "next": None})
        await exchange.answer(200, [], body)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until stopped."""
        await serve_address(self.address, self.serve, stop, 0.1)
