"""Serve the turns of programs: chat completions whose streams callers can rejoin."""

import hashlib

import anyio
import msgspec

from burdockwall.connection.exchange import (
    Exchange,
    run_while_connected,
)
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.programs import RepeatedTurn, Turn, TurnSpec
from burdockwall.process.scheduling.dispatcher import Dispatch, DispatchRequest
from burdockwall.process.scheduling.jobs import Result
from burdockwall.process.scheduling.reports import CacheKey
from burdockwall.request.answers import write_answer, write_events
from burdockwall.request.caller import (
    check_customer,
    check_key_in_body,
    check_key_placement,
    choose_priority,
    find_key,
    read_deadline,
    read_number,
)
from burdockwall.request.completion import (
    CompletionRequest,
    format_events,
    join_answer,
    parse_completion,
)
from burdockwall.request.crash_guard import CrashGuard
from burdockwall.request.events import LAST_EVENT_ID
from burdockwall.request.fingerprint import compute_fingerprint
from burdockwall.request.parts import Parts
from burdockwall.request.program import read_program_headers
from burdockwall.request.relay import EndpointLost, EngineRequest, Relay
from burdockwall.request.streams import LiveStream, StreamKey
from burdockwall.request.trace import RequestTrace
from burdockwall.types import EndpointId, Fingerprint, ProgramId
from burdockwall.version.configuration import Customer, Endpoint, Route
from burdockwall.version.view import View

NO_ENDPOINT = EndpointId("")


class TurnRequest(msgspec.Struct, frozen=True):
    """A caller's request for one turn.

    `number` is the number of the turn, `offset` the number of events that the caller
    already has, and `deadline` the clock time in seconds by which the answer must
    start.
    """

    customer: Customer
    route: Route
    endpoints: tuple[Endpoint, ...]
    program: ProgramId | None
    number: int | None
    budget: Budget
    supersedes: ProgramId | None
    offset: int
    completion: CompletionRequest
    body_digest: str
    deadline: float | None


async def serve_turn(
    parts: Parts, view: View, exchange: Exchange, trace: RequestTrace
) -> None:
    """Serve one turn, or raise RequestRefused before the answer starts.

    A request for a turn that is already being answered joins its stream.
    """
    request = await _read_request(parts, view, exchange)
    trace.customer, trace.route = request.customer.name, request.route.name
    trace.program = request.program or ""
    stream = _join_stream(parts, request)
    if stream is None:
        _create_guard(parts, request).check()
        stream = await _start_stream(parts, request)

    async def write() -> None:
        if request.completion.stream:
            offset = request.offset
            await write_events(parts.streams, exchange, stream, offset, trace)
        else:
            await write_answer(parts.streams, exchange, stream)

    try:
        await run_while_connected(exchange, write)
    finally:
        trace.endpoint = stream.endpoint
        trace.first_byte_at = stream.first_event_at


async def _read_request(parts: Parts, view: View, exchange: Exchange) -> TurnRequest:
    caller_key = find_key(exchange)
    body = await exchange.read_body(parts.settings.max_body_bytes)
    completion = parse_completion(body)
    route = view.find_route(exchange.path, completion.model)
    route = choose_priority(exchange, route)
    customer = check_customer(view, route, caller_key)
    check_key_placement(exchange, caller_key)
    check_key_in_body(body, caller_key)
    check_key_in_body(msgspec.json.encode(completion), caller_key)
    headers = read_program_headers(exchange, parts.settings)
    return TurnRequest(
        customer=customer,
        route=route,
        endpoints=view.pools[route.pool],
        program=headers.program,
        number=headers.number,
        budget=headers.budget,
        supersedes=headers.supersedes,
        offset=read_number(exchange, LAST_EVENT_ID) or 0,
        completion=completion,
        body_digest=hashlib.sha256(body).hexdigest(),
        deadline=read_deadline(exchange, parts.clock()),
    )


def _join_stream(parts: Parts, request: TurnRequest) -> LiveStream | None:
    if request.number is None or request.program is None:
        return None
    if request.supersedes == request.program:
        return None
    key = StreamKey(request.customer.name, request.program, request.number)
    stream = parts.streams.find(key, request.body_digest)
    if stream is None and request.offset:
        raise RequestRefused(Code.STREAM_ELSEWHERE)
    return stream


async def _start_stream(parts: Parts, request: TurnRequest) -> LiveStream:
    try:
        turn = await _begin_turn(parts, request)
    except RequestRefused as error:
        stream = _join_stream(parts, request)
        if error.code is not Code.TURN_RUNNING or stream is None:
            raise
        # Another request of the same caller began the turn in the meantime.
        return stream
    key = StreamKey(turn.customer, turn.program, turn.number)
    if isinstance(turn, RepeatedTurn):
        events = format_events(turn.answer)
        return parts.streams.create_ended(key, request.body_digest, events)
    new_turn = turn

    async def produce(stream: LiveStream) -> None:
        await _produce_answer(parts, request, new_turn, stream)

    started = False
    try:
        await parts.limits.admit_call(request.customer, request.route)
        stream = parts.streams.start(key, request.body_digest, produce)
        started = True
        return stream
    finally:
        if not started:
            with anyio.CancelScope(shield=True):
                await parts.programs.abandon_turn(new_turn, 0, NO_ENDPOINT, False)


async def _begin_turn(parts: Parts, request: TurnRequest) -> Turn | RepeatedTurn:
    customer = request.customer.name
    superseded = request.supersedes
    spec = TurnSpec(
        customer=customer,
        program=request.program or ProgramId(""),
        number=request.number,
        digest=bytes.fromhex(request.body_digest),
        messages=request.completion.messages,
        reserve=Spend(request.completion.max_tokens, 1, request.route.cost),
        budget=request.budget,
        supersedes=superseded is not None and superseded == request.program,
    )
    if request.program is None:
        return parts.programs.create_standalone_turn(spec)
    if superseded is not None and superseded != request.program:
        await parts.programs.supersede(customer, superseded)
    return await parts.programs.begin_turn(spec)


async def _produce_answer(
    parts: Parts, request: TurnRequest, turn: Turn, stream: LiveStream
) -> None:
    finished = False
    parts.programs.start_renewing(turn, stream.revoke)
    try:
        await _relay_answer(parts, request, turn, stream)
        answer = join_answer(stream.buffer.join())
        # Each event is a token, except the last, which marks the end of the stream.
        tokens = max(0, stream.buffer.event_count - 1)
        endpoint = EndpointId(stream.endpoint)
        await parts.programs.finish_turn(turn, answer, tokens, endpoint)
        finished = True
    finally:
        parts.programs.stop_renewing(turn)
        if not finished:
            with anyio.CancelScope(shield=True):
                await _abandon(parts, turn, stream)


async def _abandon(parts: Parts, turn: Turn, stream: LiveStream) -> None:
    endpoint = EndpointId(stream.endpoint)
    if endpoint:
        parts.reclaimer.cancel(endpoint, turn.request)
    caller_left = stream.scope.cancel_called and not stream.revoked
    await parts.programs.abandon_turn(
        turn, stream.buffer.event_count, endpoint, caller_left
    )


async def _relay_answer(
    parts: Parts, request: TurnRequest, turn: Turn, stream: LiveStream
) -> None:
    pool = request.route.pool

    async def allow_retry(attempt: int) -> bool:
        # An answer that has started is finished even if the retry budget is spent.
        if stream.buffer.event_count:
            return True
        return await parts.retries.wait(pool, turn.customer, attempt)

    relay = Relay(
        parts.clients,
        _build_engine_request(request, turn),
        stream.buffer,
        stream.append,
        allow_retry,
        parts.endpoint_limits.acquire,
        parts.settings.endpoint_stall_s,
        _create_guard(parts, request),
    )
    parts.retries.record_request(pool, turn.customer)
    excluded: frozenset[EndpointId] = frozenset()
    sent = False
    while not stream.buffer.done:
        dispatch = await _acquire_endpoint(parts, request, turn, excluded, sent)
        stream.endpoint = dispatch.endpoint.name
        try:
            await _relay_from(parts, relay, dispatch, stream)
        except EndpointLost as error:
            excluded |= {dispatch.endpoint.name}
            sent = sent or error.sent
            if not await allow_retry(len(excluded)):
                code = Code.ENDPOINT_FAILED if sent else Code.ENDPOINT_UNREACHABLE
                raise RequestRefused(code, retry_after_s=1.0) from None


def _create_guard(parts: Parts, request: TurnRequest) -> CrashGuard:
    def compute() -> Fingerprint:
        path = request.route.path
        body = request.body_digest.encode()
        return compute_fingerprint(request.customer.name, "POST", path, body)

    return CrashGuard(parts.crashes, compute)


async def _acquire_endpoint(
    parts: Parts,
    request: TurnRequest,
    turn: Turn,
    excluded: frozenset[EndpointId],
    sent: bool,
) -> Dispatch:
    dispatch_request = DispatchRequest(
        turn.customer,
        turn.program,
        request.route,
        request.endpoints,
        excluded,
        sum(len(message.content) for message in turn.prompt),
        request.customer.weight,
        # Identifies this run of the program, so that a sweep of the engines' caches
        # finds the entries of ended programs.
        CacheKey(turn.tag),
        request.completion.model,
    )
    try:
        return await parts.admission.acquire(dispatch_request, request.deadline)
    except RequestRefused:
        if sent:
            # The request may have run at an endpoint that failed afterwards.
            raise RequestRefused(Code.ENDPOINT_FAILED) from None
        raise


async def _relay_from(
    parts: Parts, relay: Relay, dispatch: Dispatch, stream: LiveStream
) -> None:
    result = Result.CANCELLED
    try:
        attempts = parts.settings.endpoint_attempts
        await relay.run(dispatch.endpoint, attempts, dispatch.list_headers())
        result = Result.SUCCEEDED
    except EndpointLost:
        result = Result.FAILED
        raise
    finally:
        parts.dispatcher.release(dispatch, result, stream.buffer.event_count)


def _build_engine_request(request: TurnRequest, turn: Turn) -> EngineRequest:
    return EngineRequest(
        request=turn.request,
        path=request.route.path,
        headers=[
            (b"content-type", b"application/json"),
            (b"priority", request.route.priority.value.encode()),
        ],
        completion=msgspec.structs.replace(
            request.completion, messages=turn.prompt, stream=True
        ),
    )
