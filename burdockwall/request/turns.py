"""Serve one turn of a program: a completion, streamed whole to its caller."""

import hashlib
import uuid
from dataclasses import dataclass

import msgspec

from burdockwall.connection.exchange import (
    Exchange,
    Headers,
    build_refusal,
    run_while_present,
)
from burdockwall.errors import BurdockwallError, Code, RequestRefused
from burdockwall.process.programs.records import Turn
from burdockwall.process.scheduling.dispatcher import DispatchRequest
from burdockwall.process.scheduling.jobs import Result
from burdockwall.request.caller import (
    check_body,
    check_customer,
    check_places,
    find_key,
    read_deadline,
)
from burdockwall.request.completion import (
    Choice,
    CompletionAnswer,
    CompletionRequest,
    Delta,
    join_answer,
    parse_completion,
)
from burdockwall.request.parts import Parts
from burdockwall.request.relay import EndpointLost, Relay, Upstream
from burdockwall.request.streams import LiveStream, StreamKey
from burdockwall.request.trace import RequestTrace
from burdockwall.types import EndpointId, ProgramId, RequestId
from burdockwall.version.configuration import Customer, Endpoint, Route
from burdockwall.version.view import View

EVENT_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


@dataclass(frozen=True, slots=True)
class TurnRequest:
    """Hold what one caller asks for."""

    customer: Customer
    route: Route
    endpoints: tuple[Endpoint, ...]
    program: ProgramId
    number: int | None
    offset: int
    completion: CompletionRequest
    body_digest: str
    deadline: float | None


async def serve_turn(
    parts: Parts, view: View, exchange: Exchange, trace: RequestTrace
) -> None:
    """Serve one turn, or raise RequestRefused before the answer starts."""
    request = await _read_request(parts, view, exchange)
    trace.customer, trace.route = request.customer.name, request.route.name
    trace.program = request.program
    stream = _join_stream(parts, request)
    if stream is None:
        stream = await _start_stream(parts, request)

    async def write() -> None:
        await _write_answer(parts, exchange, request, stream, trace)

    try:
        await run_while_present(exchange, write)
    finally:
        trace.endpoint = stream.endpoint
        trace.first_byte_at = stream.first_event_at


async def _read_request(parts: Parts, view: View, exchange: Exchange) -> TurnRequest:
    presented = find_key(exchange)
    body = await exchange.read_body(parts.settings.max_body_bytes)
    completion = parse_completion(body)
    route = view.find_route(exchange.path, completion.model)
    customer = check_customer(view, route, presented)
    check_places(exchange, presented)
    check_body(body, presented)
    check_body(msgspec.json.encode(completion), presented)
    program = exchange.get_header(b"program-id") or f"single-{uuid.uuid4().hex}"
    return TurnRequest(
        customer=customer,
        route=route,
        endpoints=view.pools[route.pool],
        program=ProgramId(program),
        number=_read_number(exchange, b"program-turn"),
        offset=_read_number(exchange, b"last-event-id") or 0,
        completion=completion,
        body_digest=hashlib.sha256(body).hexdigest(),
        deadline=read_deadline(exchange, parts.clock()),
    )


def _read_number(exchange: Exchange, name: bytes) -> int | None:
    text = exchange.get_header(name)
    if text is None:
        return None
    if not text.isdecimal():
        detail = f"header {name.decode()} is {text!r}, not a number"
        raise RequestRefused(Code.BAD_REQUEST, detail)
    return int(text)


def _join_stream(parts: Parts, request: TurnRequest) -> LiveStream | None:
    if request.number is None:
        return None
    key = StreamKey(request.customer.name, request.program, request.number)
    stream = parts.streams.find(key, request.body_digest)
    if stream is None and request.offset:
        raise RequestRefused(Code.STREAM_ELSEWHERE)
    return stream


async def _start_stream(parts: Parts, request: TurnRequest) -> LiveStream:
    turn = parts.programs.begin_turn(
        request.customer.name,
        request.program,
        request.number,
        request.completion.messages,
    )
    key = StreamKey(turn.customer, turn.program, turn.number)

    async def produce(stream: LiveStream) -> None:
        await _produce_answer(parts, request, turn, stream)

    started = False
    try:
        await parts.limits.admit_call(request.customer, request.route)
        stream = parts.streams.start(key, request.body_digest, produce)
        started = True
        return stream
    finally:
        if not started:
            parts.programs.abandon_turn(turn)


async def _produce_answer(
    parts: Parts, request: TurnRequest, turn: Turn, stream: LiveStream
) -> None:
    finished = False
    try:
        await _relay_answer(parts, request, turn, stream)
        answer = join_answer(stream.buffer.join())
        parts.programs.finish_turn(turn, answer, stream.buffer.events)
        finished = True
    finally:
        if not finished:
            parts.programs.abandon_turn(turn)


async def _relay_answer(
    parts: Parts, request: TurnRequest, turn: Turn, stream: LiveStream
) -> None:
    pool = request.route.pool

    async def allow_retry(attempt: int) -> bool:
        # An answer that has begun is finished whatever the budget says.
        if stream.buffer.events:
            return True
        return await parts.retries.wait(pool, turn.customer, attempt)

    relay = Relay(
        parts.clients,
        _build_upstream(request, turn),
        stream.buffer,
        stream.append,
        allow_retry,
    )
    parts.retries.record_request(pool, turn.customer)
    excluded: frozenset[EndpointId] = frozenset()
    sent = False
    while not stream.buffer.done:
        wanted = DispatchRequest(
            turn.customer,
            turn.program,
            request.route,
            request.endpoints,
            excluded,
            sum(len(message.content) for message in turn.prompt),
            request.customer.weight,
        )
        try:
            dispatch = await parts.admission.acquire(wanted, request.deadline)
        except RequestRefused:
            if sent:
                raise RequestRefused(Code.ENDPOINT_FAILED) from None
            raise
        stream.endpoint = dispatch.endpoint.name
        result = Result.CANCELLED
        try:
            attempts = parts.settings.endpoint_attempts
            await relay.run(dispatch.endpoint, attempts, dispatch.list_headers())
            result = Result.SUCCEEDED
        except EndpointLost as error:
            result = Result.FAILED
            excluded |= {dispatch.endpoint.name}
            sent = sent or error.sent
            if not await allow_retry(len(excluded)):
                code = Code.ENDPOINT_FAILED if sent else Code.ENDPOINT_UNREACHABLE
                raise RequestRefused(code, retry_after_s=1.0) from None
        finally:
            parts.dispatcher.release(dispatch, result, stream.buffer.events)


def _build_upstream(request: TurnRequest, turn: Turn) -> Upstream:
    return Upstream(
        request=RequestId(uuid.uuid4().hex),
        path=request.route.path,
        headers=[
            (b"content-type", b"application/json"),
            (b"priority", request.route.priority.value.encode()),
        ],
        completion=msgspec.structs.replace(
            request.completion, messages=turn.prompt, stream=True
        ),
    )


def _build_headers(stream: LiveStream) -> Headers:
    return [
        (b"program-id", stream.key.program.encode()),
        (b"program-turn", str(stream.key.turn).encode()),
    ]


async def _write_answer(
    parts: Parts,
    exchange: Exchange,
    request: TurnRequest,
    stream: LiveStream,
    trace: RequestTrace,
) -> None:
    if request.completion.stream:
        await _write_events(parts, exchange, request, stream, trace)
    else:
        await _write_whole(parts, exchange, stream)


async def _write_events(
    parts: Parts,
    exchange: Exchange,
    request: TurnRequest,
    stream: LiveStream,
    trace: RequestTrace,
) -> None:
    try:
        async for chunk in parts.streams.read(stream, request.offset):
            if not exchange.started:
                headers = EVENT_STREAM_HEADERS + _build_headers(stream)
                await exchange.start(200, headers)
            await exchange.write(chunk)
    except BurdockwallError as error:
        if not exchange.started:
            raise
        trace.code = error.code.value.number
        refusal = msgspec.json.encode({"error": build_refusal(error)})
        await exchange.write(b"event: error\ndata: %s\n\n" % refusal)
    await exchange.finish()


async def _write_whole(parts: Parts, exchange: Exchange, stream: LiveStream) -> None:
    chunks = [chunk async for chunk in parts.streams.read(stream, 0)]
    text = join_answer(b"".join(chunks))
    answer = CompletionAnswer([Choice(message=Delta(text))])
    await exchange.answer_json(200, answer, _build_headers(stream))
