"""HTTP/2 connections of callers, which TLS agrees on.

Each stream is a request. What streams may send unread is bounded by the window of their
connection, which opens again only as bodies are read.
"""

import asyncio
from collections import deque
from contextlib import suppress
from typing import Any, cast

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import logbook

from burdockwall.connection.exchange import HOP_HEADERS, Exchange, Headers
from burdockwall.connection.http1 import WRITE_BYTES, WRITE_STALL_S
from burdockwall.connection.http_request import (
    DISCONNECT,
    build_scope,
    get_date_line,
    wake,
)
from burdockwall.connection.listener import Port
from burdockwall.errors import BurdockwallError, Code, RequestRefused

MAX_STREAMS = 32
# A request to connect to a host names none.
NO_PATH = b"*"
_logger = logbook.Logger("web")


class Http2Connection(asyncio.BufferedProtocol):
    """One connection of a caller with its streams."""

    def __init__(self, port: Port) -> None:
        self._port = port
        config = h2.config.H2Configuration(client_side=False, header_encoding=None)
        self._machine = h2.connection.H2Connection(config)
        self._transport: asyncio.Transport | None = None
        self._streams: dict[int, _Stream] = {}
        self._blocked = False
        self._stopping = False
        self._drained: asyncio.Future[None] | None = None
        self._write_lock = asyncio.Lock()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BYTES, low=0)
        self._machine.update_settings(
            {
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: (
                    self._port.connections.get_limits().head_bytes
                ),
            }
        )
        self._machine.initiate_connection()
        self._send_frames()
        self._port.connections.mark_idle(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which bytes are received."""
        return self._port.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take frames from the buffer."""
        try:
            events = self._machine.receive_data(bytes(self._port.buffer[:nbytes]))
        except h2.exceptions.ProtocolError:
            self._send_frames()
            self._get_transport().close()
            return
        for event in events:
            self._handle(event)
        self._send_frames()

    def connection_lost(self, exc: Exception | None) -> None:
        """End with the connection."""
        self._blocked = False
        self._port.connections.remove(self)
        for stream in self._streams.values():
            stream.end()
        wake(self._drained)

    def pause_writing(self) -> None:
        """Read no more frames, whose answers would wait too."""
        self._blocked = True
        self._get_transport().pause_reading()

    def resume_writing(self) -> None:
        """Go on with answers and frames."""
        self._blocked = False
        if not self._get_transport().is_closing():
            self._get_transport().resume_reading()
        wake(self._drained)

    # Closing.

    def close_idle(self) -> None:
        """Close the connection, on which no request is under way."""
        with suppress(h2.exceptions.ProtocolError):
            self._machine.close_connection()
        self._send_frames()
        self._get_transport().close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._get_transport().abort()

    def stop(self) -> None:
        """Close the connection after the requests under way."""
        self._stopping = True

    def _get_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    def _send_frames(self) -> None:
        data = self._machine.data_to_send()
        if data and not self._get_transport().is_closing():
            self._get_transport().write(data)

    # Streams.

    def _handle(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.RequestReceived(stream_id=number, headers=headers):
                self._begin(number, list(headers or []))
            case h2.events.DataReceived():
                self._add_data(event)
            case h2.events.StreamEnded(stream_id=number):
                if stream := self._streams.get(number):
                    stream.add(b"", 0, True)
            case h2.events.StreamReset(stream_id=number):
                if stream := self._streams.get(number):
                    stream.end()
            case h2.events.WindowUpdated():
                for stream in self._streams.values():
                    wake(stream.opened)
            case h2.events.ConnectionTerminated():
                self._get_transport().close()
            case _:
                pass

    def _begin(self, number: int, headers: Headers) -> None:
        stream = _Stream(self, number)
        self._streams[number] = stream
        self._port.connections.mark_busy(self)
        task = asyncio.get_running_loop().create_task(self._run(stream, headers))
        self._port.tasks.add(task)
        task.add_done_callback(self._port.tasks.discard)

    def _add_data(self, event: h2.events.DataReceived) -> None:
        number = event.stream_id
        size = event.flow_controlled_length or 0
        stream = self._streams.get(number)
        if stream is None:
            self.acknowledge(number, size)
        else:
            stream.add(bytes(event.data or b""), size, False)

    def acknowledge(self, number: int, size: int) -> None:
        """Let the caller send as many bytes as have been read."""
        with suppress(h2.exceptions.ProtocolError, ValueError):
            if size:
                self._machine.acknowledge_received_data(size, number)
        self._send_frames()

    async def _run(self, stream: "_Stream", lines: Headers) -> None:
        try:
            await self._serve(stream, lines)
        except BurdockwallError:
            # The answer had begun.
            self._reset(stream)
        except Exception:
            _logger.exception("stream failed")
            self._reset(stream)
        finally:
            self._end(stream)

    async def _serve(self, stream: "_Stream", lines: Headers) -> None:
        pseudo = {name: value for name, value in lines if name.startswith(b":")}
        headers = [line for line in lines if not line[0].startswith(b":")]
        if b":authority" in pseudo and not any(name == b"host" for name, _ in headers):
            headers.insert(0, (b"host", pseudo[b":authority"]))
        share = self._port.account.open_share(stream.give_up)
        stream.is_head_request = pseudo[b":method"] == b"HEAD"
        exchange = Exchange(
            build_scope(pseudo[b":method"], pseudo.get(b":path", NO_PATH), headers),
            stream.receive,
            stream.send,
            self._port.connections.get_limits().body_silence_s,
            share,
        )
        try:
            await self._port.serve(exchange)
        finally:
            share.close()

    def _reset(self, stream: "_Stream") -> None:
        with suppress(h2.exceptions.ProtocolError):
            code = h2.errors.ErrorCodes.INTERNAL_ERROR
            self._machine.reset_stream(stream.number, code)
        self._send_frames()

    def _end(self, stream: "_Stream") -> None:
        self._streams.pop(stream.number, None)
        if not stream.body_ended:
            # What the caller still sends of the body is of no use.
            with suppress(h2.exceptions.ProtocolError):
                code = h2.errors.ErrorCodes.NO_ERROR
                self._machine.reset_stream(stream.number, code)
        self.acknowledge(stream.number, stream.take_unread_bytes())
        transport = self._get_transport()
        if self._streams or transport.is_closing():
            return
        if self._stopping:
            self.close_idle()
        else:
            self._port.connections.mark_idle(self)

    def start_answer(self, stream: "_Stream", headers: Headers, ends: bool) -> None:
        """Send the head of an answer."""
        self._machine.send_headers(stream.number, headers, end_stream=ends)
        self._send_frames()

    async def write(self, stream: "_Stream", data: bytes, ends: bool) -> None:
        """Send a part of an answer as the caller's windows allow."""
        view = memoryview(data)
        while view or ends:
            window = self._machine.local_flow_control_window(stream.number)
            size = min(
                len(view), window, self._machine.max_outbound_frame_size, WRITE_BYTES
            )
            if view and size <= 0:
                await stream.wait_for_window()
                continue
            last = ends and size == len(view)
            self._machine.send_data(stream.number, bytes(view[:size]), last)
            self._send_frames()
            view = view[size:]
            await self._drain()
            if last:
                return

    async def _drain(self) -> None:
        async with self._write_lock:
            while self._blocked and not self._get_transport().is_closing():
                self._drained = asyncio.get_running_loop().create_future()
                try:
                    async with asyncio.timeout(WRITE_STALL_S):
                        await self._drained
                except TimeoutError:
                    self.abort()


class _Stream:
    """One request of a connection, and its answer."""

    def __init__(self, connection: Http2Connection, number: int) -> None:
        self.connection = connection
        self.number = number
        self.body_ended = False
        self.is_head_request = False
        self.opened: asyncio.Future[None] | None = None
        self._arrived: asyncio.Future[None] | None = None
        self._parts: deque[tuple[bytes, int]] = deque()
        self._all_came = False
        self._gone = False
        self._given_up = False
        self._status: int | None = None
        self._head: Headers = []

    def add(self, data: bytes, size: int, ends: bool) -> None:
        """Add bytes that have come; `size` is what they took of the window."""
        if data or size:
            self._parts.append((data, size))
        self._all_came = self._all_came or ends
        wake(self._arrived)

    def end(self) -> None:
        """Record that the caller has left."""
        self._gone = True
        wake(self._arrived)
        wake(self.opened)

    def give_up(self) -> None:
        """End the request, whose caller makes no progress."""
        if self._status is not None:
            self.connection.abort()
            return
        self._given_up = True
        wake(self._arrived)

    def take_unread_bytes(self) -> int:
        """Return what is unread of the window, and drop it."""
        size = sum(size for _, size in self._parts)
        self._parts.clear()
        return size

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the body, or wait until the caller is gone."""
        while True:
            if self._given_up:
                raise RequestRefused(Code.BODY_SLOW)
            if self._gone:
                return DISCONNECT
            if self._parts or (self._all_came and not self.body_ended):
                data, size = self._parts.popleft() if self._parts else (b"", 0)
                self.body_ended = self._all_came and not self._parts
                self.connection.acknowledge(self.number, size)
                more = not self.body_ended
                return {"type": "http.request", "body": data, "more_body": more}
            self._arrived = asyncio.get_running_loop().create_future()
            await self._arrived

    async def send(self, event: dict[str, Any]) -> None:
        """Send the head or a part of the answer."""
        if event["type"] == "http.response.start":
            self._status = event["status"]
            status = (b":status", str(self._status).encode())
            kept = [line for line in event["headers"] if line[0] not in DROPPED]
            self._head = [status, *kept, get_date_line()]
            return
        if self._gone:
            return
        data = event.get("body", b"")
        ends = not event.get("more_body", False)
        if self.is_head_request:
            data = b""
        try:
            if self._head:
                head, self._head = self._head, []
                only_head = ends and not data
                self.connection.start_answer(self, head, only_head)
                if only_head:
                    return
            await self.connection.write(self, data, ends)
        except h2.exceptions.ProtocolError:
            # The stream or its connection has ended meanwhile.
            self.end()

    async def wait_for_window(self) -> None:
        """Wait until the caller can take more, or give its connection up."""
        if self._gone:
            raise h2.exceptions.StreamClosedError(self.number)
        self.opened = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(WRITE_STALL_S):
                await self.opened
        except TimeoutError:
            self.connection.abort()
            raise h2.exceptions.StreamClosedError(self.number) from None


DROPPED = HOP_HEADERS - {b"content-length"}
