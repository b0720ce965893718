"""Serve calls of plain services: any method, with both bodies streamed."""

import uuid

import httpx

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.scheduling.dispatcher import (
    Dispatch,
    DispatchRequest,
)
from burdockwall.process.scheduling.jobs import Result
from burdockwall.request.caller import (
    CallerKey,
    check_customer,
    check_key_placement,
    choose_priority,
    find_key,
    guard_body,
    read_deadline,
    strip_headers,
    strip_query,
)
from burdockwall.request.once import serve_once
from burdockwall.request.parts import Parts
from burdockwall.request.program import charge_tool
from burdockwall.request.trace import RequestTrace
from burdockwall.types import ModelName, ProgramId, RouteKind
from burdockwall.version.configuration import Customer, Route
from burdockwall.version.view import View

ENDPOINT_FAULTS = (Code.ENDPOINT_UNREACHABLE, Code.ENDPOINT_FAILED)
DEFAULT_CONTENT_TYPE = "application/octet-stream"


async def serve_call(
    parts: Parts, view: View, exchange: Exchange, trace: RequestTrace
) -> None:
    """Serve one call, or raise RequestRefused."""
    caller_key = find_key(exchange)
    route = view.find_route(exchange.path, ModelName(""))
    if route.kind is not RouteKind.SERVICE:
        raise RequestRefused(Code.NO_ROUTE, f"no service at {exchange.path!r}")
    route = choose_priority(exchange, route)
    customer = check_customer(view, route, caller_key)
    check_key_placement(exchange, caller_key)
    trace.customer, trace.route = customer.name, route.name
    await parts.limits.admit_call(customer, route)
    async with charge_tool(parts, exchange, customer, route):
        await _serve_charged(parts, view, exchange, trace, caller_key, customer, route)


async def _serve_charged(
    parts: Parts,
    view: View,
    exchange: Exchange,
    trace: RequestTrace,
    caller_key: CallerKey,
    customer: Customer,
    route: Route,
) -> None:
    key = exchange.get_header(b"idempotency-key")
    if key is not None and not route.repeatable:
        await serve_once(parts, view, exchange, caller_key, customer, route, key)
        return
    program = ProgramId(exchange.get_header(b"program-id") or uuid.uuid4().hex)
    request = DispatchRequest(
        customer.name,
        program,
        route,
        view.pools[route.pool],
        weight=customer.weight,
    )
    deadline = read_deadline(exchange, parts.clock())
    dispatch = await parts.admission.acquire(request, deadline)
    trace.program, trace.endpoint = program, dispatch.endpoint.name
    result = Result.CANCELLED
    try:
        await _forward(parts, exchange, dispatch, caller_key)
        result = Result.SUCCEEDED
    except RequestRefused as error:
        if error.code in ENDPOINT_FAULTS:
            result = Result.FAILED
        raise
    finally:
        parts.dispatcher.release(dispatch, result)


async def _forward(
    parts: Parts, exchange: Exchange, dispatch: Dispatch, caller_key: CallerKey
) -> None:
    query = strip_query(exchange, caller_key)
    path = f"{exchange.raw_path}?{query}" if query else exchange.raw_path
    body = exchange.stream_body(parts.settings.max_body_bytes)
    try:
        async with parts.clients.open_stream(
            dispatch.endpoint,
            exchange.method,
            path,
            strip_headers(exchange, caller_key),
            guard_body(body, caller_key),
            is_call=True,
        ) as response:
            content_type = response.headers.get("content-type", DEFAULT_CONTENT_TYPE)
            headers = [(b"content-type", content_type.encode())]
            await exchange.start(response.status_code, headers)
            async for chunk in response.aiter_raw():
                await exchange.write(chunk)
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        code = Code.ENDPOINT_UNREACHABLE
        raise RequestRefused(code, retry_after_s=1.0) from error
    except httpx.TransportError as error:
        await parts.clients.replace(dispatch.endpoint)
        raise RequestRefused(Code.ENDPOINT_FAILED) from error
    await exchange.finish()
