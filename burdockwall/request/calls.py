"""Serve calls of plain services: any method, with both bodies streamed."""

import uuid
from collections.abc import AsyncIterator

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
    check_key_in_body,
    check_key_placement,
    choose_priority,
    find_key,
    guard_body,
    read_deadline,
    strip_headers,
    strip_query,
)
from burdockwall.request.crash_guard import CrashGuard, is_closed
from burdockwall.request.fingerprint import FingerprintBuilder
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
    body = _CallBody(parts, exchange, caller_key, customer)
    await body.check()
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
        await _forward(parts, exchange, dispatch, caller_key, body)
        result = Result.SUCCEEDED
    except RequestRefused as error:
        if error.code in ENDPOINT_FAULTS:
            result = Result.FAILED
        raise
    finally:
        parts.dispatcher.release(dispatch, result)


class _CallBody:
    """The body of a call, which is streamed unless there is a suspect to compare."""

    def __init__(
        self,
        parts: Parts,
        exchange: Exchange,
        caller_key: CallerKey,
        customer: Customer,
    ) -> None:
        self.exchange = exchange
        self.caller_key = caller_key
        self.limit_bytes = parts.settings.max_body_bytes
        self.suspects = parts.crashes
        query = strip_query(exchange, caller_key)
        self.path = f"{exchange.raw_path}?{query}" if query else exchange.raw_path
        self.builder = FingerprintBuilder(customer.name, exchange.method, self.path)
        self.guard = CrashGuard(parts.crashes, self.builder.build)
        self._content: bytes | None = None

    async def check(self) -> None:
        """Raise RequestRefused if the call is kept from endpoints."""
        if not self.suspects.active:
            return
        self._content = await self.exchange.read_body(self.limit_bytes)
        check_key_in_body(self._content, self.caller_key)
        self.builder.update(self._content)
        self.guard.check()

    def open(self) -> bytes | AsyncIterator[bytes]:
        """Return the body to send."""
        if self._content is not None:
            return self._content
        chunks = self.exchange.stream_body(self.limit_bytes)
        return self.builder.follow(guard_body(chunks, self.caller_key))


async def _forward(
    parts: Parts,
    exchange: Exchange,
    dispatch: Dispatch,
    caller_key: CallerKey,
    body: _CallBody,
) -> None:
    endpoint = dispatch.endpoint
    began_at = body.guard.read_clock()
    try:
        async with parts.clients.open_stream(
            endpoint,
            exchange.method,
            body.path,
            strip_headers(exchange, caller_key),
            body.open(),
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
        if is_closed(error):
            body.guard.record_broken(endpoint.name, endpoint.address, None, began_at)
        await parts.clients.replace(endpoint)
        raise RequestRefused(Code.ENDPOINT_FAILED) from error
    body.guard.record_answered()
    await exchange.finish()
