"""Serve HTTP on an address until asked to stop."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import msgspec

from burdockwall.connection.exchange import Exchange, answer_refusal
from burdockwall.connection.http1 import Http1Connection
from burdockwall.connection.listener import (
    READ_BYTES,
    ConnectionCounts,
    ConnectionLimits,
    Connections,
    Listener,
    Port,
)
from burdockwall.connection.memory import MemoryAccount, create_default_account
from burdockwall.errors import BurdockwallError
from burdockwall.types import Address

Serve = Callable[[Exchange], Awaitable[None]]
HTTP_2 = "h2"


def get_default_limits() -> ConnectionLimits:
    """Return the limits of connections that no settings give."""
    return ConnectionLimits()


class WebOptions(msgspec.Struct, frozen=True):
    """The bounds of an address: its connections, their limits and their memory."""

    connections: int = 4096
    get_limits: Callable[[], ConnectionLimits] = get_default_limits
    account: MemoryAccount | None = None
    counts: ConnectionCounts | None = None
    tls: ssl.SSLContext | None = None


DEFAULT_OPTIONS = WebOptions()


class _Choice(asyncio.Protocol):
    """Chooses the protocol of a connection by what TLS has agreed on."""

    def __init__(self, port: Port) -> None:
        self.port = port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        agreed = transport.get_extra_info("ssl_object").selected_alpn_protocol()
        chosen: asyncio.BaseProtocol
        if agreed == HTTP_2:
            # Imported here, since most processes have no use for it.
            from burdockwall.connection.http2 import Http2Connection

            chosen = Http2Connection(self.port)
        else:
            chosen = Http1Connection(self.port)
        transport.set_protocol(chosen)
        chosen.connection_made(transport)


async def _serve_exchange(serve: Serve, exchange: Exchange) -> None:
    try:
        await exchange.enter()
        await serve(exchange)
    except BurdockwallError as error:
        if exchange.started:
            raise
        await answer_refusal(exchange, error)


def create_port(serve: Serve, options: WebOptions) -> Port:
    """Create what the connections of an address share."""
    account = options.account or create_default_account()
    return Port(
        Connections(options.connections, options.get_limits, options.counts),
        account,
        lambda exchange: _serve_exchange(serve, exchange),
        memoryview(bytearray(READ_BYTES)),
        set(),
    )


async def serve_address(
    address: Address,
    serve: Serve,
    stop: anyio.Event,
    grace_s: float,
    options: WebOptions = DEFAULT_OPTIONS,
) -> None:
    """Serve an address until the event is set and its requests have ended."""
    port = create_port(serve, options)

    def create_protocol() -> asyncio.BaseProtocol:
        return Http1Connection(port) if options.tls is None else _Choice(port)

    listener = Listener(address, port.connections, create_protocol, options.tls)
    listening = listener.open()
    listener.start(listening)
    try:
        await stop.wait()
        await listener.close(listening)
        await _end_requests(port, grace_s)
    finally:
        with anyio.CancelScope(shield=True):
            await listener.close(listening)
            await _close(port)


async def _end_requests(port: Port, grace_s: float) -> None:
    """Close idle connections, and let the requests under way end for a while."""
    port.connections.stop()
    with anyio.move_on_after(grace_s):
        while port.tasks:
            await asyncio.wait(port.tasks)


async def _close(port: Port) -> None:
    port.connections.abort_all()
    # The requests see that their callers are gone.
    await asyncio.sleep(0)
    for task in list(port.tasks):
        task.cancel()
    with suppress(asyncio.CancelledError):
        await asyncio.gather(*port.tasks, return_exceptions=True)
