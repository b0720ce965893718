"""Relay an engine's event stream, and resume it at its offset after an interruption.

The same engine resumes after `Last-Event-ID`. Another engine gets the text so far as
the last message and continues it, so that two answers are never mixed. Neither goes on
if its fingerprint shows another software version than that of the first event: what two
versions write does not fit together.
"""

from collections.abc import Awaitable, Callable

import anyio
import httpx
import logbook
import msgspec

from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.exchange import Headers
from burdockwall.errors import Code, RequestRefused
from burdockwall.request.completion import (
    ChatMessage,
    CompletionRequest,
    find_fingerprint,
    join_answer,
)
from burdockwall.request.crash_guard import CrashGuard, is_closed
from burdockwall.request.events import (
    DONE_LINE,
    EVENT_END,
    LAST_EVENT_ID,
    EventBuffer,
    EventSplitter,
    EventTooLong,
    drop_comments,
    find_event_id,
)
from burdockwall.types import EndpointId, RequestId
from burdockwall.version.configuration import Endpoint

Append = Callable[[bytes], Awaitable[None]]
AllowRetry = Callable[[int], Awaitable[bool]]
Permit = Callable[[EndpointId], Awaitable[bool]]
_logger = logbook.Logger("relay")
RESUMABLE_STATUSES = (httpx.codes.BAD_GATEWAY, httpx.codes.SERVICE_UNAVAILABLE)


class EngineRequest(msgspec.Struct, frozen=True):
    """One request to an engine."""

    request: RequestId
    path: str
    headers: Headers
    completion: CompletionRequest


class EndpointLost(Exception):
    """The endpoint sends no more events; `sent` is set if the request may have run."""

    def __init__(self, sent: bool) -> None:
        super().__init__()
        self.sent = sent


class _Unavailable(httpx.ReadError):
    """The endpoint answered that it is not available now."""


class _VersionChanged(Exception):
    """The endpoint runs another software version than the one that began the answer."""


class Relay:
    """The relay of one answer, from one endpoint or from several in turn.

    An attempt whose next event takes longer than `stall_s` is given up.
    """

    def __init__(
        self,
        clients: EndpointClients,
        request: EngineRequest,
        buffer: EventBuffer,
        append: Append,
        allow_retry: AllowRetry,
        permit: Permit,
        stall_s: float,
        guard: CrashGuard,
    ) -> None:
        self.guard = guard
        self.permit = permit
        self.stall_s = stall_s
        self.allow_retry = allow_retry
        self.clients = clients
        self.request = request
        self.buffer = buffer
        self.append = append
        self._first_endpoint: EndpointId | None = None
        self._fingerprint: str | None = None

    async def run(
        self, endpoint: Endpoint, attempts: int, dispatch_headers: Headers
    ) -> None:
        """Relay to the end of the answer, or raise EndpointLost.

        Only consecutive attempts without a further event count towards `attempts`.
        """
        attempts_left = attempts
        sent = False
        while attempts_left:
            # The permit of the first attempt came with the choice of the endpoint.
            if sent and not await self.permit(endpoint.name):
                break
            self.guard.check()
            before = self.buffer.event_count
            began_at = self.guard.read_clock()
            try:
                await self._relay_once(endpoint, dispatch_headers)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                raise EndpointLost(sent or bool(self.buffer.event_count)) from None
            except _VersionChanged:
                raise EndpointLost(sent=True) from None
            except httpx.TransportError as error:
                if is_closed(error) and not isinstance(error, _Unavailable):
                    self.guard.record_broken(
                        endpoint.name, endpoint.address, None, began_at
                    )
                # The network path may be broken for all connections of the pool, so
                # the next attempt uses new ones.
                await self.clients.replace(endpoint)
            sent = True
            if self.buffer.done:
                self.guard.record_answered()
                return
            if self.buffer.event_count > before:
                attempts_left = attempts
                continue
            attempts_left -= 1
            if attempts_left and not await self.allow_retry(attempts - attempts_left):
                break
        raise EndpointLost(sent)

    async def _relay_once(self, endpoint: Endpoint, dispatch_headers: Headers) -> None:
        request = self.request
        request_id = (b"request-id", request.request.encode())
        headers = [*request.headers, *dispatch_headers, request_id]
        if self.buffer.event_count:
            offset = str(self.buffer.event_count).encode()
            headers.append((LAST_EVENT_ID, offset))
        body = msgspec.json.encode(self._build_completion(endpoint))
        async with self.clients.open_stream(
            endpoint, "POST", request.path, headers, body, is_call=True
        ) as response:
            await _check_status(endpoint, response)
            await self._relay_events(endpoint, response)

    async def _relay_events(self, endpoint: Endpoint, response: httpx.Response) -> None:
        """Relay the events of one attempt; raise ReadTimeout if they stop coming."""
        splitter = EventSplitter()
        is_first = True
        with anyio.move_on_after(self.stall_s) as scope:
            async for chunk in response.aiter_raw():
                events = drop_comments(_split(splitter, chunk))
                if not events:
                    continue
                scope.deadline = anyio.current_time() + self.stall_s
                if is_first:
                    self._check_first(endpoint, events)
                    is_first = False
                await self.append(events)
        if scope.cancelled_caught:
            raise httpx.ReadTimeout(f"no event for {self.stall_s} s")

    def _check_first(self, endpoint: Endpoint, events: bytes) -> None:
        """Check that the first events of an attempt go on with those so far."""
        fingerprint = find_fingerprint(events)
        if not self.buffer.event_count:
            self._fingerprint = fingerprint
            return
        known = self._fingerprint is not None
        # The event that ends a stream has no text, and so no fingerprint.
        ends_only = events.endswith(DONE_LINE) and events.count(EVENT_END) == 1
        if known and fingerprint != self._fingerprint and not ends_only:
            extra = {
                "request": self.request.request,
                "endpoint": endpoint.name,
                "began": self._fingerprint,
                "found": fingerprint,
            }
            _logger.notice("endpoint has another software version", extra=extra)
            raise _VersionChanged
        self._check_offset(endpoint, events)

    def _check_offset(self, endpoint: Endpoint, events: bytes) -> None:
        # An engine that starts from the beginning would duplicate tokens, and the
        # answer might never end.
        number = find_event_id(events)
        expected = self.buffer.event_count + 1
        if number != expected:
            detail = f"endpoint {endpoint.name} resumed at {number}, not {expected}"
            raise RequestRefused(Code.ENDPOINT_FAILED, detail)

    def _build_completion(self, endpoint: Endpoint) -> CompletionRequest:
        completion = self.request.completion
        if self._first_endpoint is None:
            self._first_endpoint = endpoint.name
        if endpoint.name == self._first_endpoint or not self.buffer.event_count:
            return completion
        partial = ChatMessage("assistant", join_answer(self.buffer.join()))
        return msgspec.structs.replace(
            completion,
            messages=[*completion.messages, partial],
            continue_final_message=True,
        )


def _split(splitter: EventSplitter, chunk: bytes) -> bytes:
    try:
        return splitter.feed(chunk)
    except EventTooLong as error:
        raise httpx.RemoteProtocolError("an event has no end") from error


async def _check_status(endpoint: Endpoint, response: httpx.Response) -> None:
    status = response.status_code
    if status == httpx.codes.OK:
        return
    if status in RESUMABLE_STATUSES:
        raise _Unavailable(f"endpoint {endpoint.name} answered {status}")
    detail = f"endpoint {endpoint.name} answered {status}"
    if status < httpx.codes.INTERNAL_SERVER_ERROR:
        raise RequestRefused(Code.ENDPOINT_REFUSED, detail)
    raise RequestRefused(Code.ENDPOINT_FAILED, detail)
