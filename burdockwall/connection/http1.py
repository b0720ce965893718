"""HTTP/1.1 connections of callers: they read no more than there is room for.

The head of a request is read as it comes. Its body is read when it is asked for, beside
READ_AHEAD_BYTES, and the next request only after the answer has been sent.
"""

import asyncio
import socket
import struct
from contextlib import suppress
from enum import Enum
from typing import Any, cast

import h11
import logbook

from burdockwall.connection.exchange import CLOSE, Exchange, Headers
from burdockwall.connection.http_request import (
    CONTENT_LENGTH,
    DISCONNECT,
    RequestBody,
    build_scope,
    find_length,
    get_date_line,
    wake,
)
from burdockwall.connection.listener import Port
from burdockwall.errors import BurdockwallError, Code, RequestRefused

# What a connection may hold that nobody has asked for.
READ_AHEAD_BYTES = 32_768
# A longer answer is given to the connection in parts.
WRITE_BYTES = 16_384
# A caller that reads nothing of its answer for so long is given up.
WRITE_STALL_S = 10.0
# The rest of a short body is read, so that the connection can be used again.
DISCARD_BYTES = 65_536
DISCARD_S = 1.0
# How much of what a caller goes on sending is dropped, so that it gets its answer.
LINGER_BYTES = 8_388_608
VERSIONS = (b"1.1", b"1.0")
BODYLESS_STATUSES = (204, 304)
# The states of a caller that sends nothing more, or nothing but a next request.
SENT_ALL = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
# The method with which HTTP/2 begins where both sides know that it is spoken.
PRIOR_KNOWLEDGE = b"PRI"
VERSION_NOT_SUPPORTED = 505
INTERNAL_ERROR = 500
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_logger = logbook.Logger("web")


class Phase(Enum):
    """What a connection does."""

    IDLE = "idle"
    HEAD = "head"
    BUSY = "busy"
    LINGERING = "lingering"


class Http1Connection(asyncio.BufferedProtocol):
    """One connection of a caller."""

    def __init__(self, port: Port) -> None:
        self._port = port
        self._phase = Phase.IDLE
        self._machine = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=port.connections.get_limits().head_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._is_secure = False
        # Bytes that have arrived and that no event has been made of.
        self._unread_bytes = 0
        self._paused = False
        self._blocked = False
        # The caller has closed, or sends what isn't HTTP.
        self._ended = False
        self._given_up = False
        self._stopping = False
        self._arrived: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._body = RequestBody(0)
        self._is_head_request = False
        self._response: h11.Response | None = None
        # Whether the present answer says that the connection is closed after it.
        self._closing = False

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._is_secure = transport.get_extra_info("sslcontext") is not None
        # What the system does not take at once is waited for.
        self._transport.set_write_buffer_limits(high=1, low=0)
        self._port.connections.mark_idle(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which bytes are received."""
        return self._port.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes from the buffer."""
        self._unread_bytes += nbytes
        if self._phase is Phase.LINGERING:
            if self._unread_bytes > LINGER_BYTES:
                self.abort()
            return
        self._machine.receive_data(bytes(self._port.buffer[:nbytes]))
        if self._phase is not Phase.BUSY:
            self._read_first_head()
            return
        if self._unread_bytes > READ_AHEAD_BYTES:
            self._pause_reading()
        wake(self._arrived)

    def eof_received(self) -> bool:
        """End the request under way, since its caller is gone."""
        self._ended = True
        wake(self._arrived)
        # The task of the request closes the connection then.
        return self._phase is Phase.BUSY and not self._is_secure

    def connection_lost(self, exc: Exception | None) -> None:
        """End with the connection."""
        self._ended = True
        self._blocked = False
        self._port.connections.remove(self)
        wake(self._arrived)
        wake(self._drained)

    def pause_writing(self) -> None:
        """Wait until the caller has read of its answer."""
        self._blocked = True

    def resume_writing(self) -> None:
        """Go on with the answer."""
        self._blocked = False
        wake(self._drained)

    # Closing.

    def close_idle(self) -> None:
        """Close the connection, on which no request is under way."""
        self._get_transport().close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._get_transport().abort()

    def stop(self) -> None:
        """Close the connection after the request under way."""
        self._stopping = True

    def _give_up(self) -> None:
        """End the request, whose caller makes no progress."""
        if self._response is not None:
            self.abort()
            return
        self._given_up = True
        wake(self._arrived)

    def _break_off(self) -> None:
        """Close within an answer, which must not look complete."""
        is_without_length = self._machine.their_http_version == b"1.0"
        if is_without_length and not self._is_secure:
            connected = self._get_transport().get_extra_info("socket")
            with suppress(OSError):
                connected.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            self.abort()
            return
        self._close()

    def _fail(self) -> None:
        if self._machine.our_state is h11.SEND_RESPONSE:
            self._refuse(INTERNAL_ERROR)
        else:
            self._break_off()

    def _close(self) -> None:
        """Close once the caller has read its answer, or after a while."""
        transport = self._get_transport()
        transport.close()
        if transport.get_write_buffer_size():
            self._mark_lingering()

    def _linger(self) -> None:
        """Close, but read on for a while so that the answer isn't lost to a reset."""
        transport = self._get_transport()
        if self._ended or self._is_secure or transport.is_closing():
            self._close()
            return
        transport.write_eof()
        self._resume_reading()
        self._mark_lingering()

    def _mark_lingering(self) -> None:
        self._phase = Phase.LINGERING
        self._unread_bytes = 0
        self._port.connections.mark_lingering(self)

    def _get_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    # Reading.

    def _pause_reading(self) -> None:
        if not self._paused and not self._get_transport().is_closing():
            self._paused = True
            self._get_transport().pause_reading()

    def _resume_reading(self) -> None:
        if self._paused and not self._get_transport().is_closing():
            self._paused = False
            self._get_transport().resume_reading()

    def _next_event(self) -> object:
        """Return the next event; raise RemoteProtocolError for what isn't HTTP."""
        event = self._machine.next_event()
        if event is h11.NEED_DATA:
            self._unread_bytes = 0
        return event

    def _read_first_head(self) -> None:
        try:
            request = self._read_head()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
            return
        if request is not None:
            self._phase = Phase.BUSY
            self._port.connections.mark_busy(self)
            task = asyncio.get_running_loop().create_task(self._run(request))
            self._port.tasks.add(task)
            task.add_done_callback(self._port.tasks.discard)

    def _read_head(self) -> h11.Request | None:
        """Return the next request if its head has come whole."""
        event = self._next_event()
        if isinstance(event, h11.Request):
            is_spoken = event.http_version in VERSIONS
            if is_spoken and event.method != PRIOR_KNOWLEDGE:
                return event
            detail = f"{event.method!r} of HTTP/{event.http_version!r}"
            raise h11.RemoteProtocolError(detail, VERSION_NOT_SUPPORTED)
        if event is not h11.NEED_DATA:
            self.close_idle()
        elif self._phase is not Phase.HEAD:
            self._phase = Phase.HEAD
            self._port.connections.mark_head(self)
        return None

    def _refuse(self, status: int) -> None:
        """Answer what isn't a request, and close the connection."""
        if self._machine.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(CONTENT_LENGTH, b"0"), get_date_line(), CLOSE]
            response = h11.Response(status_code=status, headers=headers)
            parts = (response, h11.EndOfMessage())
            data = b"".join(self._machine.send(part) or b"" for part in parts)
            self._get_transport().write(data)
        self._linger()

    # Requests.

    async def _run(self, first: h11.Request) -> None:
        """Serve requests until none is left that has come already."""
        request: h11.Request | None = first
        try:
            while request is not None:
                await self._serve(request)
                request = await self._recycle()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
        except BurdockwallError:
            # The answer had begun.
            self._break_off()
        except Exception:
            _logger.exception("request failed")
            self._fail()
        except BaseException:
            self.abort()
            raise

    async def _serve(self, request: h11.Request) -> None:
        headers = list(request.headers)
        self._response = None
        self._given_up = False
        self._is_head_request = request.method == b"HEAD"
        self._body = RequestBody(find_length(headers))
        share = self._port.account.open_share(self._give_up)
        self._share = share
        exchange = Exchange(
            build_scope(request.method, request.target, headers),
            self._receive,
            self._send,
            self._port.connections.get_limits().body_silence_s,
            share,
        )
        try:
            await self._port.serve(exchange)
            await self._finish_body()
            share.begin_wait()
            await self._drain()
        finally:
            share.close()

    async def _receive(self) -> dict[str, Any]:
        """Return the next part of the body, or wait until the caller is gone."""
        while True:
            if self._given_up:
                raise RequestRefused(Code.BODY_SLOW)
            if not self._body.ended:
                part = self._take_body()
                if part or self._body.ended:
                    more = not self._body.ended
                    return {"type": "http.request", "body": part, "more_body": more}
                self._ask_for_body()
            if self._ended or self._get_transport().is_closing():
                return DISCONNECT
            self._arrived = asyncio.get_running_loop().create_future()
            await self._arrived

    def _take_body(self) -> bytes:
        """Return the bytes of the body that have arrived."""
        parts: list[bytes] = []
        try:
            event = self._next_event()
            while isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                event = self._next_event()
        except h11.RemoteProtocolError:
            # Its end can't be found.
            self._ended = True
            return b""
        if isinstance(event, h11.EndOfMessage):
            self._body.ended = True
            self._unread_bytes = len(self._machine.trailing_data[0])
        elif event is not h11.NEED_DATA:
            self._ended = True
        part = b"".join(parts)
        self._body.read_bytes += len(part)
        return part

    def _ask_for_body(self) -> None:
        if self._machine.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._get_transport().write(self._machine.send(interim) or b"")
        self._body.asked_for = True
        self._resume_reading()

    async def _finish_body(self) -> None:
        """Read the rest of a short body that the answer did not wait for."""
        if self._body.ended or self._closing:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_S):
                while (await self._receive()).get("more_body", False):
                    pass

    def _closes(self) -> bool:
        """Return whether the connection can't be used after the present answer."""
        if self._stopping:
            return True
        if self._body.ended:
            return False
        waits = self._machine.they_are_waiting_for_100_continue
        return waits or self._body.asked_for or self._body.left_bytes > DISCARD_BYTES

    async def _recycle(self) -> h11.Request | None:
        """Return the next request if its head has come, or wait for it; or close."""
        machine = self._machine
        if machine.our_state is not h11.DONE or machine.their_state is not h11.DONE:
            if machine.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
                self._close_after_answer()
            else:
                self._break_off()
            return None
        if self._stopping or self._get_transport().is_closing():
            self._close()
            return None
        machine.start_next_cycle()
        self._resume_reading()
        self._phase = Phase.IDLE
        request = self._read_head()
        if request is not None:
            self._phase = Phase.BUSY
            return request
        if self._ended:
            self._close()
        elif not machine.trailing_data[0]:
            self._phase = Phase.IDLE
            self._port.connections.mark_idle(self)
        return None

    def _close_after_answer(self) -> None:
        if self._machine.their_state in SENT_ALL and not self._unread_bytes:
            self._close()
        else:
            self._linger()

    # Answers.

    async def _send(self, event: dict[str, Any]) -> None:
        if event["type"] == "http.response.start":
            self._response = self._build_response(event["status"], event["headers"])
            return
        assert self._response is not None
        body: bytes = event.get("body", b"")
        ends = not event.get("more_body", False)
        if self._is_head_request or self._response.status_code in BODYLESS_STATUSES:
            body = b""
        data = b""
        if self._machine.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            data = self._machine.send(self._response) or b""
        for start in range(0, len(body), WRITE_BYTES):
            part = body[start : start + WRITE_BYTES]
            data += self._machine.send(h11.Data(data=part)) or b""
            if start + WRITE_BYTES < len(body):
                await self._write(data)
                data = b""
        if ends:
            data += self._machine.send(h11.EndOfMessage()) or b""
        await self._write(data)

    def _build_response(self, status: int, headers: Headers) -> h11.Response:
        lines = [*headers, get_date_line()]
        self._closing = self._closes()
        if self._closing and CLOSE not in lines:
            lines.append(CLOSE)
        return h11.Response(status_code=status, headers=lines)

    async def _write(self, data: bytes) -> None:
        if data:
            self._get_transport().write(data)
            self._share.record_progress(len(data))
            await self._drain()

    async def _drain(self) -> None:
        """Wait until the caller has read enough, or has gone."""
        transport = self._get_transport()
        while self._blocked and not transport.is_closing():
            left_bytes = transport.get_write_buffer_size()
            self._drained = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(WRITE_STALL_S):
                    await self._drained
            except TimeoutError:
                if transport.get_write_buffer_size() >= left_bytes:
                    self.abort()
