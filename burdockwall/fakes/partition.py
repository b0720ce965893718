"""Links between one entry instance and all endpoints that can be cut."""

from collections.abc import Mapping
from enum import Enum
from typing import Any

import anyio
import anyio.abc
import httpx

from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.upstream import (
    ConnectFailed,
    UpstreamConnection,
    open_upstream,
)
from burdockwall.types import Address

POLL_S = 0.02


class Cut(Enum):
    """What a cut does to connections."""

    # Open connections and new ones hang.
    HANG = "hang"
    # Open connections are reset, and new ones hang.
    RESET = "reset"
    # Open connections live on, and new ones are refused.
    REFUSE = "refuse"


class _LinkStream(anyio.abc.ByteStream):
    """A stream on which nothing passes while its link hangs."""

    def __init__(self, stream: anyio.abc.ByteStream, link: "EndpointLink") -> None:
        self.stream = stream
        self.link = link

    @property
    def extra_attributes(self) -> Mapping[Any, Any]:
        """Return the attributes of the wrapped stream."""
        return self.stream.extra_attributes

    async def _wait_for_link(self) -> None:
        while self.link.cut is Cut.HANG:
            await anyio.sleep(POLL_S)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receive bytes once the link does not hang."""
        await self._wait_for_link()
        data = await self.stream.receive(max_bytes)
        await self._wait_for_link()
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes once the link does not hang."""
        await self._wait_for_link()
        await self.stream.send(item)

    async def send_eof(self) -> None:
        """End the sending direction."""
        await self.stream.send_eof()

    async def aclose(self) -> None:
        """Close the stream."""
        await self.stream.aclose()


class EndpointLink:
    """Opens connections to endpoints for one instance until it is cut."""

    def __init__(self) -> None:
        self.cut: Cut | None = None
        self._streams: list[_LinkStream] = []

    async def open(self, address: Address, timeout_s: float) -> UpstreamConnection:
        """Connect to an endpoint, or raise ConnectFailed."""
        if self.cut is Cut.REFUSE:
            raise ConnectFailed(f"{address}: refused")
        if self.cut is not None:
            await anyio.sleep(timeout_s)
            raise ConnectFailed(f"{address}: no answer")
        connection = await open_upstream(address, timeout_s)
        stream = _LinkStream(connection.stream, self)
        connection.stream = stream
        self._streams.append(stream)
        return connection

    async def start_cut(self, cut: Cut) -> None:
        """Cut the link."""
        self.cut = cut
        if cut is Cut.RESET:
            for stream in self._streams:
                await anyio.aclose_forcefully(stream.stream)
            self._streams.clear()

    def heal(self) -> None:
        """End the cut."""
        self.cut = None


class ClientsLink:
    """Lets the pooled clients of one instance open no connection while it is cut."""

    def __init__(self, clients: EndpointClients) -> None:
        self.cut = False
        self._create_transport = clients.create_transport
        self._open_socket = clients.open_socket
        clients.create_transport = self.create_transport  # type: ignore[method-assign]
        clients.open_socket = self.open_socket  # type: ignore[assignment]

    def create_transport(self, limits: httpx.Limits) -> httpx.AsyncBaseTransport:
        """Create a transport that the link can cut."""
        return _LinkTransport(self._create_transport(limits), self)

    async def open_socket(self, host: str, port: int) -> anyio.abc.SocketStream:
        """Connect, or raise ConnectionRefusedError."""
        if self.cut:
            raise ConnectionRefusedError(f"{host}:{port}")
        return await self._open_socket(host, port)


class _LinkTransport(httpx.AsyncBaseTransport):
    """A transport whose requests fail to connect while its link is cut."""

    def __init__(self, transport: httpx.AsyncBaseTransport, link: ClientsLink) -> None:
        self.transport = transport
        self.link = link

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request, or raise ConnectError."""
        if self.link.cut:
            raise httpx.ConnectError("refused", request=request)
        return await self.transport.handle_async_request(request)

    async def aclose(self) -> None:
        """Close the transport."""
        await self.transport.aclose()
