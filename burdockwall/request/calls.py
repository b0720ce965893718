"""Serve one call of a plain service: any method, bodies streamed both ways."""

import uuid

import httpx

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.scheduling.dispatcher import (
    Job,
    Placement,
    PlacementOutcome,
)
from burdockwall.request.caller import (
    Presented,
    check_customer,
    check_places,
    find_key,
    guard_body,
    strip_headers,
    strip_query,
)
from burdockwall.request.parts import Parts
from burdockwall.request.trace import RequestTrace
from burdockwall.types import ModelName, ProgramId, RouteKind
from burdockwall.version.view import View

DEFAULT_TYPE = "application/octet-stream"


async def serve_call(
    parts: Parts, view: View, exchange: Exchange, trace: RequestTrace
) -> None:
    """Serve one call, or raise RequestRefused."""
    presented = find_key(exchange)
    route = view.find_route(exchange.path, ModelName(""))
    if route.kind is not RouteKind.SERVICE:
        raise RequestRefused(Code.NO_ROUTE, f"no service at {exchange.path!r}")
    customer = check_customer(view, route, presented)
    check_places(exchange, presented)
    trace.customer, trace.route = customer.name, route.name
    await parts.limits.admit_call(customer, route)
    program = ProgramId(exchange.get_header(b"program-id") or uuid.uuid4().hex)
    job = Job(customer.name, program, route, view.pools[route.pool])
    placement = await parts.dispatcher.acquire(job)
    trace.program, trace.endpoint = program, placement.endpoint.name
    outcome = PlacementOutcome.FAILED
    try:
        await _forward(parts, exchange, placement, presented)
        outcome = PlacementOutcome.FINISHED
    finally:
        parts.dispatcher.release(placement, outcome)


async def _forward(
    parts: Parts, exchange: Exchange, placement: Placement, presented: Presented
) -> None:
    query = strip_query(exchange, presented)
    path = f"{exchange.raw_path}?{query}" if query else exchange.raw_path
    body = exchange.stream_body(parts.settings.max_body_bytes)
    try:
        async with parts.clients.open_stream(
            placement.endpoint,
            exchange.method,
            path,
            strip_headers(exchange, presented),
            guard_body(body, presented),
        ) as response:
            kind = response.headers.get("content-type", DEFAULT_TYPE)
            headers = [(b"content-type", kind.encode())]
            await exchange.start(response.status_code, headers)
            async for chunk in response.aiter_raw():
                await exchange.write(chunk)
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        code = Code.ENDPOINT_UNREACHABLE
        raise RequestRefused(code, retry_after_s=1.0) from error
    except httpx.TransportError as error:
        await parts.clients.replace(placement.endpoint)
        raise RequestRefused(Code.ENDPOINT_FAILED) from error
    await exchange.finish()
