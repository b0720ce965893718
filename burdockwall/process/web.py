"""Serve HTTP on an address by hypercorn until asked to stop."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config

from burdockwall.connection.exchange import (
    Exchange,
    ReceiveEvent,
    Scope,
    SendEvent,
    answer_refusal,
)
from burdockwall.errors import BurdockwallError
from burdockwall.types import Address

Serve = Callable[[Exchange], Awaitable[None]]
KEEP_ALIVE_S = 75.0


def create_app(serve: Serve) -> Any:
    """Create the ASGI application that hands each request to a function."""

    async def app(scope: Scope, receive: ReceiveEvent, send: SendEvent) -> None:
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
        elif scope["type"] == "http":
            exchange = Exchange(scope, receive, send)
            try:
                await serve(exchange)
            except BurdockwallError as error:
                if exchange.started:
                    raise
                await answer_refusal(exchange, error)

    return app


async def _answer_lifespan(receive: ReceiveEvent, send: SendEvent) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


def create_config(address: Address, grace_s: float) -> hypercorn.config.Config:
    """Create hypercorn's configuration for one listening address."""
    config = hypercorn.config.Config()
    config.bind = [address]
    config.graceful_timeout = grace_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    return config


async def serve_address(
    address: Address, serve: Serve, stop: anyio.Event, grace_s: float
) -> None:
    """Serve an address until the event is set and its requests have ended."""
    config = create_config(address, grace_s)
    await hypercorn.asyncio.serve(create_app(serve), config, shutdown_trigger=stop.wait)
