"""ASGI requests: read them with limits, answer them, and detect that a caller left."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar
from urllib.parse import parse_qsl

import anyio
import msgspec

from burdockwall.connection.memory import ByteBudget
from burdockwall.errors import BurdockwallError, Code, RequestRefused

Scope = dict[str, Any]
ReceiveEvent = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

T = TypeVar("T")
DISCARD_LIMIT_BYTES = 16_777_216
DISCARD_LIMIT_S = 2.0
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
        budget: ByteBudget | None = None,
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
        self._budget = budget
        self._reserved_bytes = 0
        self._body_read = False

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

    async def stream_body(self, limit_bytes: int) -> AsyncIterator[bytes]:
        """Yield the chunks of the body; raise RequestRefused beyond the limit."""
        total = 0
        while not self._body_read:
            event = await self._receive_body()
            if event["type"] == "http.disconnect":
                self.caller_gone.set()
                raise RequestRefused(Code.BODY_CUT)
            self._body_read = not event.get("more_body", False)
            chunk: bytes = event.get("body", b"")
            total += len(chunk)
            if total > limit_bytes:
                detail = f"the body exceeds {limit_bytes} bytes"
                raise RequestRefused(Code.BODY_TOO_LARGE, detail)
            if chunk:
                yield chunk

    async def _receive_body(self) -> dict[str, Any]:
        try:
            with anyio.fail_after(self._body_silence_s):
                return await self._receive()
        except TimeoutError as error:
            raise RequestRefused(Code.BODY_SLOW) from error

    async def read_body(self, limit_bytes: int) -> bytes:
        """Read the whole body into memory; raise RequestRefused beyond the limit."""
        chunks = []
        async for chunk in self.stream_body(limit_bytes):
            self._reserve(len(chunk))
            chunks.append(chunk)
        return b"".join(chunks)

    def _reserve(self, size_bytes: int) -> None:
        if self._budget is not None:
            self._budget.reserve(size_bytes)
            self._reserved_bytes += size_bytes

    def release(self) -> None:
        """Release the memory that is reserved for the body."""
        if self._budget is not None:
            self._budget.release(self._reserved_bytes)
            self._reserved_bytes = 0

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
        await self._discard_body()
        await self.finish()

    async def _discard_body(self) -> None:
        # If the connection closed while the caller is still sending, a reset could
        # reach the caller before it reads the answer.
        left_bytes = DISCARD_LIMIT_BYTES
        with anyio.move_on_after(DISCARD_LIMIT_S):
            while not self._body_read and left_bytes > 0:
                event = await self._receive()
                if event["type"] == "http.disconnect":
                    self.caller_gone.set()
                    return
                self._body_read = not event.get("more_body", False)
                left_bytes -= len(event.get("body", b""))


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
        raise errors[0]
    if not results:
        raise RequestRefused(Code.CALLER_GONE)
    return results[0]
