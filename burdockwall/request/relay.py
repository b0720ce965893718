"""Relay an engine's event stream whole: cut off streams resume at their offset."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httpx

from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.exchange import Headers
from burdockwall.errors import Code, RequestRefused
from burdockwall.request.completion import DONE_DATA
from burdockwall.types import RequestId
from burdockwall.version.configuration import Endpoint

EVENT_END = b"\n\n"
DONE_LINE = b"data: " + DONE_DATA + EVENT_END

Write = Callable[[bytes], Awaitable[None]]


@dataclass(slots=True)
class EventBuffer:
    """Cut a byte stream at event ends and count the events passed on."""

    events: int = 0
    done: bool = False
    _parts: list[bytes] = field(default_factory=list)
    _tail: bytes = b""

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes and return those up to the last whole event."""
        data = self._tail + chunk
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._tail = data
            return b""
        whole = data[:end]
        self._tail = data[end:]
        self.events += whole.count(EVENT_END)
        self.done = self.done or whole.endswith(DONE_LINE)
        self._parts.append(whole)
        return whole

    def drop_tail(self) -> None:
        """Forget the part of an event that a cut left behind."""
        self._tail = b""

    def join(self) -> bytes:
        """Return all whole events so far."""
        return b"".join(self._parts)


@dataclass(frozen=True, slots=True)
class Upstream:
    """Describe one request to an engine."""

    request: RequestId
    path: str
    headers: Headers
    body: bytes


async def relay_events(
    clients: EndpointClients,
    endpoint: Endpoint,
    upstream: Upstream,
    attempts: int,
    write: Write,
) -> EventBuffer:
    """Relay a stream to its end; raise RequestRefused when attempts are spent."""
    buffer = EventBuffer()
    for _ in range(attempts):
        try:
            await _relay_once(clients, endpoint, upstream, buffer, write)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            if buffer.events == 0:
                raise RequestRefused(Code.ENDPOINT_UNREACHABLE) from error
        except httpx.HTTPError:
            buffer.drop_tail()
        if buffer.done:
            return buffer
    raise RequestRefused(Code.ENDPOINT_FAILED)


async def _relay_once(
    clients: EndpointClients,
    endpoint: Endpoint,
    upstream: Upstream,
    buffer: EventBuffer,
    write: Write,
) -> None:
    headers = [*upstream.headers, (b"request-id", upstream.request.encode())]
    if buffer.events:
        headers.append((b"last-event-id", str(buffer.events).encode()))
    async with clients.open_stream(
        endpoint, "POST", upstream.path, headers, upstream.body
    ) as response:
        if response.status_code != httpx.codes.OK:
            raise RequestRefused(
                Code.ENDPOINT_FAILED,
                f"endpoint {endpoint.name} answered {response.status_code}",
            )
        async for chunk in response.aiter_raw():
            whole = buffer.feed(chunk)
            if whole:
                await write(whole)
