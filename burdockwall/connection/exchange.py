"""ASGI requests: read them with limits, answer them, and detect that a caller left."""

import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar
from urllib.parse import parse_qsl

import anyio
import msgspec

from burdockwall.connection.memory import COPIES_WHILE_READ, Collector, Share
from burdockwall.errors import BurdockwallError, Code, RequestRefused

Scope = dict[str, Any]
ReceiveEvent = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

T = TypeVar("T")
# A body may take as long as one that comes at this rate, beside the silence bound.
LEAST_BODY_BYTES_PER_S = 16_384
JSON_TYPE = (b"content-type", b"application/json")
CLOSE = (b"connection", b"close")
# Headers that concern one connection only, and are not forwarded.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Set by an entry instance that passes a request on to another one.
RELAYED = b"burdockwall-relayed"


class Exchange:
    """One caller's request and its answer."""

    def __init__(
        self,
        scope: Scope,
        receive: ReceiveEvent,
        send: SendEvent,
        body_silence_s: float,
        share: Share | None = None,
    ) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.raw_path: str = scope["raw_path"].decode("latin-1")
        self.query: bytes = scope["query_string"]
        self.headers: Headers = list(scope["headers"])
        self.started = False
        self.caller_gone = anyio.Event()
        self._receive = receive
        self._send = send
        self._body_silence_s = body_silence_s
        self._share = share
        self._body_read = False

    async def enter(self) -> None:
        """Take the place of a request, or raise RequestRefused."""
        if self._share is not None:
            await self._share.take_place()

    def get_header(self, name: bytes) -> str | None:
        """Return a header's value or None; raise RequestRefused if it came twice."""
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise RequestRefused(
                Code.BAD_REQUEST, f"header {name.decode()!r} came {len(values)} times"
            )
        return values[0].decode("latin-1") if values else None

    def list_query(self) -> list[tuple[str, str]]:
        """Return the names and values of the query, in order."""
        return parse_qsl(self.query.decode("latin-1"), keep_blank_values=True)

    def _read_announced(self) -> int | None:
        """Return the length of the body that its headers announce, or None."""
        value = self.get_header(b"content-length")
        return int(value) if value is not None and value.isdecimal() else None

    async def stream_body(
        self, limit_bytes: int, limit_s: float = math.inf
    ) -> AsyncIterator[bytes]:
        """Yield the parts of the body; raise RequestRefused beyond the limits."""
        announced = self._read_announced()
        if announced is not None and announced > limit_bytes:
            raise self._refuse_size(limit_bytes)
        total = 0
        began_at = anyio.current_time()
        while not self._body_read:
            allowed_s = self._body_silence_s + total / LEAST_BODY_BYTES_PER_S
            event = await self._receive_body(began_at + min(limit_s, allowed_s))
            if event["type"] == "http.disconnect":
                self.caller_gone.set()
                raise RequestRefused(Code.BODY_CUT)
            self._body_read = not event.get("more_body", False)
            chunk: bytes = event.get("body", b"")
            total += len(chunk)
            if total > limit_bytes:
                raise self._refuse_size(limit_bytes)
            if self._share is not None:
                self._share.record_progress(len(chunk))
            if chunk:
                yield chunk

    def _refuse_size(self, limit_bytes: int) -> RequestRefused:
        detail = f"the body exceeds {limit_bytes} bytes"
        return RequestRefused(Code.BODY_TOO_LARGE, detail)

    async def _receive_body(self, until: float) -> dict[str, Any]:
        wait_s = min(self._body_silence_s, until - anyio.current_time())
        try:
            with anyio.fail_after(max(0.0, wait_s)):
                return await self._receive()
        except TimeoutError as error:
            raise RequestRefused(Code.BODY_SLOW) from error

    async def read_body(
        self, limit_bytes: int, owner: str = "", limit_s: float = math.inf
    ) -> bytes:
        """Read the whole body into memory once there is room for it.

        The room counts as the owner's. Raise RequestRefused beyond the limits, or if
        no room becomes free.
        """
        if self._share is not None:
            self._share.set_owner(owner)
        announced = self._read_announced() or 0
        if announced > limit_bytes:
            raise self._refuse_size(limit_bytes)
        await self.draw(COPIES_WHILE_READ * announced)
        collector = Collector(self.draw, announced)
        with self._waiting_for_caller():
            async for chunk in self.stream_body(limit_bytes, limit_s):
                await collector.add(chunk)
        self.give_back(COPIES_WHILE_READ * collector.drawn_bytes - len(collector))
        return collector.join()

    @contextmanager
    def _waiting_for_caller(self) -> Iterator[None]:
        if self._share is None:
            yield
            return
        self._share.begin_wait()
        try:
            yield
        finally:
            self._share.end_wait()

    async def draw(self, size_bytes: int) -> None:
        """Take room for bytes that the request holds, or raise RequestRefused."""
        if self._share is not None:
            await self._share.draw(size_bytes)

    def give_back(self, size_bytes: int) -> None:
        """Give back room that the request has drawn."""
        if self._share is not None:
            self._share.give_back(size_bytes)

    async def watch_caller(self) -> None:
        """Wait until the caller disconnects; the body must have been read."""
        while not self.caller_gone.is_set():
            event = await self._receive()
            if event["type"] == "http.disconnect":
                self.caller_gone.set()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the answer."""
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the answer's body."""
        with self._waiting_for_caller():
            await self._send(
                {"type": "http.response.body", "body": chunk, "more_body": True}
            )

    async def finish(self) -> None:
        """End the answer's body."""
        await self._send({"type": "http.response.body", "body": b""})

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        await self._send_answer(status, [*headers, length], body)

    async def answer_json(
        self, status: int, value: object, headers: Headers | None = None
    ) -> None:
        """Send a whole answer as JSON."""
        body = msgspec.json.encode(value)
        await self._send_answer(status, [JSON_TYPE, *(headers or [])], body)

    async def _send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        await self.start(status, headers)
        if body:
            await self.write(body)
        await self.finish()


class RefusalBody(msgspec.Struct, frozen=True):
    """The body of a refusal."""

    code: int
    name: str
    ran: str
    retry: str
    retry_after_s: float | None
    message: str


def build_refusal(error: BurdockwallError) -> RefusalBody:
    """Build the body of a refusal from an error."""
    row = error.code.value
    return RefusalBody(
        code=row.number,
        name=error.code.name.lower(),
        ran=row.ran.value,
        retry=row.retry.value,
        retry_after_s=error.retry_after_s,
        message=error.detail,
    )


async def answer_refusal(exchange: Exchange, error: BurdockwallError) -> None:
    """Answer a request with a refusal's body and headers."""
    row = error.code.value
    headers = [
        (b"burdockwall-code", str(row.number).encode()),
        (b"burdockwall-ran", row.ran.value.encode()),
    ]
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    body = {"error": build_refusal(error)}
    await exchange.answer_json(row.status, body, headers)


async def run_while_connected(
    exchange: Exchange, function: Callable[[], Awaitable[T]]
) -> T:
    """Run a function, and cancel it and raise RequestRefused if the caller leaves."""
    results: list[T] = []
    errors: list[Exception] = []

    async def run() -> None:
        try:
            results.append(await function())
        except Exception as error:
            errors.append(error)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        await exchange.watch_caller()
        group.cancel_scope.cancel()
    if errors:
        # Its traceback names this frame: a list that kept the error would keep all that
        # the request holds, too.
        raise errors.pop()
    if not results:
        raise RequestRefused(Code.CALLER_GONE)
    return results[0]
