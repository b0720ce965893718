"""Take one caller's request from its key to the end of its answer."""

import uuid
from collections.abc import AsyncIterator, Callable

import httpx
import msgspec

from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.exchange import (
    Exchange,
    answer_refusal,
    run_while_present,
)
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.limits.limiter import Limiter
from burdockwall.process.programs.records import ProgramTable, Turn
from burdockwall.process.scheduling.dispatcher import Dispatcher
from burdockwall.request.caller import (
    Presented,
    find_key,
    strip_headers,
    strip_query,
)
from burdockwall.request.completion import (
    CompletionRequest,
    join_answer,
    parse_completion,
)
from burdockwall.request.relay import EventBuffer, Upstream, relay_events
from burdockwall.settings import Settings
from burdockwall.types import CustomerId, ModelName, ProgramId, RequestId, RouteKind
from burdockwall.version.configuration import Customer, Endpoint, Route
from burdockwall.version.view import View

EVENT_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]
OPEN_CUSTOMER = Customer(CustomerId(""), rate_per_s=1000.0, burst=1000)


def _check_customer(view: View, route: Route, presented: Presented) -> Customer:
    if presented.key is None:
        if route.open:
            return OPEN_CUSTOMER
        raise RequestRefused(Code.KEY_MISSING)
    customer = view.find_customer(presented.key)
    if route.customers and customer.name not in route.customers:
        raise RequestRefused(Code.ROUTE_FORBIDDEN)
    return customer


class RequestFlow:
    """Serve callers' requests with the parts that live for the process."""

    def __init__(
        self,
        settings: Settings,
        get_view: Callable[[], View],
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.get_view = get_view
        self.clock = clock
        self.programs = ProgramTable()
        self.limiter = Limiter()
        self.dispatcher = Dispatcher()
        self.clients = EndpointClients(
            settings.endpoint_connect_s, settings.endpoint_silence_s
        )

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request; every refusal has a numbered code."""
        try:
            await self._serve_route(exchange)
        except RequestRefused as error:
            if not exchange.started:
                await answer_refusal(exchange, error)
            else:
                raise

    async def _serve_route(self, exchange: Exchange) -> None:
        view = self.get_view()
        if view.find_model_route(exchange.path):
            await self._serve_completion(exchange, view)
        else:
            await self._serve_service(exchange, view)

    async def _serve_completion(self, exchange: Exchange, view: View) -> None:
        presented = find_key(exchange)
        body = await exchange.read_body(self.settings.max_body_bytes)
        completion = parse_completion(body)
        route = view.find_route(exchange.path, completion.model)
        customer = _check_customer(view, route, presented)
        turn = self._begin_turn(exchange, customer, completion)
        finished = False
        try:
            self.limiter.admit(customer, route.cost, self.clock())
            endpoint = self.dispatcher.choose(view.pools[route.pool])
            try:
                buffer = await self._relay(exchange, route, endpoint, completion, turn)
            finally:
                self.dispatcher.release(endpoint)
            answer = join_answer(buffer.join())
            self.programs.finish_turn(turn, answer, buffer.events)
            finished = True
            await exchange.finish()
        finally:
            if not finished:
                self.programs.abandon_turn(turn)

    def _begin_turn(
        self, exchange: Exchange, customer: Customer, completion: CompletionRequest
    ) -> Turn:
        program = exchange.get_header(b"program-id") or f"single-{uuid.uuid4().hex}"
        number = exchange.get_header(b"program-turn")
        if number is not None and not number.isdigit():
            raise RequestRefused(Code.BAD_REQUEST, f"program-turn is {number!r}")
        return self.programs.begin_turn(
            customer.name,
            ProgramId(program),
            int(number) if number is not None else None,
            completion.messages,
        )

    async def _relay(
        self,
        exchange: Exchange,
        route: Route,
        endpoint: Endpoint,
        completion: CompletionRequest,
        turn: Turn,
    ) -> EventBuffer:
        async def write(chunk: bytes) -> None:
            if not exchange.started:
                await exchange.start(200, EVENT_STREAM_HEADERS)
            await exchange.write(chunk)

        whole = msgspec.structs.replace(completion, messages=turn.prompt, stream=True)
        upstream = Upstream(
            request=RequestId(uuid.uuid4().hex),
            path=route.path,
            headers=[
                (b"content-type", b"application/json"),
                (b"priority", route.priority.value.encode()),
            ],
            body=msgspec.json.encode(whole),
        )

        async def relay() -> EventBuffer:
            attempts = self.settings.endpoint_attempts
            return await relay_events(self.clients, endpoint, upstream, attempts, write)

        return await run_while_present(exchange, relay)

    async def _serve_service(self, exchange: Exchange, view: View) -> None:
        presented = find_key(exchange)
        route = view.find_route(exchange.path, ModelName(""))
        if route.kind is not RouteKind.SERVICE:
            raise RequestRefused(Code.NO_ROUTE)
        customer = _check_customer(view, route, presented)
        self.limiter.admit(customer, route.cost, self.clock())
        endpoint = self.dispatcher.choose(view.pools[route.pool])
        try:
            await self._forward(exchange, endpoint, presented)
        finally:
            self.dispatcher.release(endpoint)

    async def _forward(
        self, exchange: Exchange, endpoint: Endpoint, presented: Presented
    ) -> None:
        query = strip_query(exchange, presented)
        path = f"{exchange.path}?{query}" if query else exchange.path
        body: AsyncIterator[bytes] = exchange.stream_body(self.settings.max_body_bytes)
        headers = strip_headers(exchange, presented)
        try:
            async with self.clients.open_stream(
                endpoint, exchange.method, path, headers, body
            ) as response:
                kind = response.headers.get("content-type", "application/octet-stream")
                await exchange.start(
                    response.status_code, [(b"content-type", kind.encode())]
                )
                async for chunk in response.aiter_raw():
                    await exchange.write(chunk)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise RequestRefused(
                Code.ENDPOINT_UNREACHABLE, retry_after_s=1.0
            ) from error
        except httpx.HTTPError as error:
            raise RequestRefused(Code.ENDPOINT_FAILED) from error
        await exchange.finish()
