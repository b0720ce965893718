"""Send unrepeatable requests, at most one of them for each idempotency key."""

import hashlib
import uuid
from collections.abc import Callable

import anyio
import anyio.abc
import httpx

from burdockwall.connection.client import read_limited
from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.jobs import Jobs
from burdockwall.process.programs import calls
from burdockwall.process.programs.client import find_shard
from burdockwall.process.programs.operations import Outcome, OutcomeKey, ServiceRequest
from burdockwall.process.programs.outcomes import OutcomeRecord
from burdockwall.process.programs.unrepeatable import (
    Attempt,
    Callbacks,
    LostError,
    NotSentError,
    run_once,
)
from burdockwall.process.scheduling.dispatcher import DispatchRequest
from burdockwall.process.scheduling.jobs import Result
from burdockwall.request.caller import (
    CallerKey,
    check_key_in_body,
    strip_headers,
    strip_query,
)
from burdockwall.request.crash_guard import CrashGuard, is_closed
from burdockwall.request.fingerprint import compute_fingerprint
from burdockwall.request.parts import Parts
from burdockwall.types import CustomerId, IdempotencyKey, ProgramId, RequestId
from burdockwall.version.configuration import Customer, Route
from burdockwall.version.view import View

CLAIM_TRIES = 20
DEFAULT_CONTENT_TYPE = "application/octet-stream"
ANSWER_LIMIT_BYTES = 16_777_216
DEFAULT_WEIGHT = 1.0
KEY_LIMIT_CHARACTERS = 512


async def serve_once(
    parts: Parts,
    view: View,
    exchange: Exchange,
    caller_key: CallerKey,
    customer: Customer,
    route: Route,
    key: str,
) -> None:
    """Answer with the outcome of an idempotency key, or raise RequestRefused.

    At most one of the requests with the key runs; the others get its recorded outcome.
    """
    if len(key) > KEY_LIMIT_CHARACTERS:
        detail = f"the key has {len(key)} characters, over {KEY_LIMIT_CHARACTERS}"
        raise RequestRefused(Code.BAD_REQUEST, detail)
    body = await exchange.read_body(parts.settings.max_body_bytes)
    check_key_in_body(body, caller_key)
    query = strip_query(exchange, caller_key)
    path = f"{exchange.raw_path}?{query}" if query else exchange.raw_path
    service_request = ServiceRequest(
        exchange.method, path, strip_headers(exchange, caller_key), body
    )
    outcome_key = OutcomeKey(customer.name, route.name, IdempotencyKey(key))
    attempt = create_attempt(
        parts, outcome_key, _compute_digest(service_request), service_request
    )
    # The attempt is finished even if the caller leaves, since it may have been sent.
    with anyio.CancelScope(shield=True):
        outcome = await run_once(
            attempt, _build_callbacks(parts, view, route, customer.name)
        )
    await exchange.start(
        outcome.status, [(b"content-type", outcome.content_type.encode())]
    )
    await exchange.write(outcome.body)
    await exchange.finish()


def _compute_digest(service_request: ServiceRequest) -> bytes:
    start = f"{service_request.method}\0{service_request.path}\0".encode()
    return hashlib.sha256(start + service_request.body).digest()


def create_attempt(
    parts: Parts,
    key: OutcomeKey,
    digest: bytes,
    service_request: ServiceRequest,
    resumes: bool = False,
) -> Attempt:
    """Create an attempt by this instance to run a request, or to resume one."""
    request = RequestId(f"{find_shard(key)}.{uuid.uuid4().hex}")
    owner = parts.programs.client.instance
    return Attempt(key, request, digest, owner, service_request, CLAIM_TRIES, resumes)


def _build_callbacks(
    parts: Parts, view: View, route: Route, customer: CustomerId
) -> Callbacks:
    client = parts.programs.client

    async def ask(key: OutcomeKey, call: calls.AnyCall) -> calls.AnyAnswer:
        return await client.ask_record(key, call)

    async def transmit(request: RequestId, service_request: ServiceRequest) -> Outcome:
        dispatch_request = _build_dispatch_request(view, route, customer, request)
        return await _transmit(parts, dispatch_request, service_request)

    return Callbacks(
        ask, transmit, anyio.sleep, client.start_renewing, client.stop_renewing
    )


def _build_dispatch_request(
    view: View, route: Route, customer: CustomerId, request: RequestId
) -> DispatchRequest:
    configured = view.customers.get(customer)
    weight = configured.weight if configured is not None else DEFAULT_WEIGHT
    endpoints = view.pools[route.pool]
    program = ProgramId(request)
    return DispatchRequest(customer, program, route, endpoints, weight=weight)


async def _transmit(
    parts: Parts, request: DispatchRequest, service_request: ServiceRequest
) -> Outcome:
    guard = CrashGuard(
        parts.crashes,
        lambda: compute_fingerprint(
            request.customer,
            service_request.method,
            service_request.path,
            service_request.body,
        ),
    )
    try:
        guard.check()
    except RequestRefused as error:
        raise NotSentError(error) from error
    try:
        dispatch = await parts.admission.acquire(request, None)
    except RequestRefused as error:
        raise NotSentError from error
    result = Result.FAILED
    began_at = guard.read_clock()
    try:
        async with parts.clients.open_stream(
            dispatch.endpoint,
            service_request.method,
            service_request.path,
            service_request.headers,
            service_request.body,
            is_call=True,
        ) as response:
            body = await read_limited(response, ANSWER_LIMIT_BYTES)
            content_type = response.headers.get("content-type", DEFAULT_CONTENT_TYPE)
            result = Result.SUCCEEDED
            guard.record_answered()
            return Outcome(response.status_code, content_type, body)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise NotSentError from error
    except httpx.TransportError as error:
        if is_closed(error):
            endpoint = dispatch.endpoint
            guard.record_broken(endpoint.name, endpoint.address, None, began_at)
        await parts.clients.replace(dispatch.endpoint)
        raise LostError from error
    finally:
        parts.dispatcher.release(dispatch, result)


class AcceptedSender:
    """Sends accepted requests whose instance failed before it sent them."""

    def __init__(self, parts: Parts, get_view: Callable[[], View]) -> None:
        self.parts = parts
        self.get_view = get_view
        self.sent = 0
        self._jobs = Jobs(parts.programs.client.host.failures)
        parts.programs.client.on_send_accepted = self.add

    async def run(self) -> None:
        """Send the requests that are added, until cancelled."""
        await self._jobs.run()

    def add(self, record: OutcomeRecord) -> None:
        """Send one accepted request, unless its route is no longer configured."""
        route = self.get_view().routes.get(record.key.route)
        if route is not None:
            self._jobs.start(self._send, record, route)

    async def _send(self, record: OutcomeRecord, route: Route) -> None:
        attempt = create_attempt(
            self.parts,
            record.key,
            record.digest,
            record.service_request,
            resumes=True,
        )
        callbacks = _build_callbacks(
            self.parts, self.get_view(), route, record.key.customer
        )
        try:
            await run_once(attempt, callbacks)
            self.sent += 1
        except RequestRefused:
            # No caller waits for this answer, and the outcome record shows the state of
            # the request.
            return
