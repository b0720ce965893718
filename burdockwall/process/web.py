"""Serve HTTP on an address with hypercorn until asked to stop."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config
import msgspec

from burdockwall.connection.exchange import (
    Exchange,
    ReceiveEvent,
    Scope,
    SendEvent,
    answer_refusal,
)
from burdockwall.connection.memory import ByteBudget
from burdockwall.errors import BurdockwallError
from burdockwall.settings import Settings
from burdockwall.types import Address

Serve = Callable[[Exchange], Awaitable[None]]
IDLE_S = 75.0
BACKLOG_CONNECTIONS = 1024
HEADERS_LIMIT_BYTES = 32_768


class WebLimits(msgspec.Struct, frozen=True):
    """The limits of connections and the files for TLS; times in seconds."""

    idle_s: float = IDLE_S
    body_silence_s: float = IDLE_S
    budget: ByteBudget | None = None
    certificate: Path | None = None
    key: Path | None = None


DEFAULT_LIMITS = WebLimits()


def create_limits(settings: Settings, budget: ByteBudget | None = None) -> WebLimits:
    """Create the limits of the caller and operator ports."""
    return WebLimits(
        idle_s=settings.caller_idle_s,
        body_silence_s=settings.body_silence_s,
        budget=budget,
        certificate=settings.caller_certificate,
        key=settings.caller_key,
    )


def create_app(serve: Serve, limits: WebLimits) -> Any:
    """Create the ASGI application that passes each request to a function."""

    async def app(scope: Scope, receive: ReceiveEvent, send: SendEvent) -> None:
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await _serve_exchange(
                Exchange(scope, receive, send, limits.body_silence_s, limits.budget),
                serve,
            )
        elif scope["type"] == "websocket":
            await send({"type": "websocket.close"})

    return app


async def _serve_exchange(exchange: Exchange, serve: Serve) -> None:
    try:
        await serve(exchange)
    except BurdockwallError as error:
        if exchange.started:
            raise
        await answer_refusal(exchange, error)
    finally:
        exchange.release()


async def _answer_lifespan(receive: ReceiveEvent, send: SendEvent) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


def create_config(
    address: Address, grace_s: float, limits: WebLimits
) -> hypercorn.config.Config:
    """Create hypercorn's configuration for one listening address."""
    config = hypercorn.config.Config()
    config.bind = [address]
    config.graceful_timeout = grace_s
    config.keep_alive_timeout = limits.idle_s
    config.backlog = BACKLOG_CONNECTIONS
    config.h11_max_incomplete_size = HEADERS_LIMIT_BYTES
    if limits.certificate is not None:
        config.certfile = str(limits.certificate)
        config.keyfile = str(limits.key)
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    return config


async def serve_address(
    address: Address,
    serve: Serve,
    stop: anyio.Event,
    grace_s: float,
    limits: WebLimits = DEFAULT_LIMITS,
) -> None:
    """Serve an address until the event is set and its requests have ended."""
    config = create_config(address, grace_s, limits)
    ended = anyio.Event()

    async def wait_for_stop() -> None:
        async with anyio.create_task_group() as group:
            for event in (stop, ended):
                group.start_soon(_cancel_after, event, group.cancel_scope)

    # hypercorn cancels its own tasks when it stops. It runs in a separate task, so that
    # these cancellations do not reach the surrounding cancel scopes.
    server = asyncio.create_task(
        hypercorn.asyncio.serve(
            create_app(serve, limits), config, shutdown_trigger=wait_for_stop
        )
    )
    try:
        await asyncio.shield(server)
    finally:
        ended.set()
        with anyio.CancelScope(shield=True):
            await asyncio.wait([server])


async def _cancel_after(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
