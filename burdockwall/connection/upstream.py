"""HTTP/1.1 connections to endpoints, with one request at a time.

An endpoint's answer names its request, so that late and duplicate answers to earlier
requests are recognised and skipped. An answer that names none is taken only from a
connection that has had no other request.
"""

import select
import socket
from collections.abc import Awaitable, Callable
from enum import Enum

import anyio
import anyio.abc
import h11
import msgspec

from burdockwall.connection.address import split_address
from burdockwall.connection.exchange import Headers
from burdockwall.connection.keepalive import SOCKET_OPTIONS
from burdockwall.connection.memory import Collector
from burdockwall.types import Address

READ_BYTES = 65_536
# A longer request is given to the connection in parts.
SEND_BYTES = 65_536
# A longer head of an answer is treated as an error of the endpoint.
HEAD_LIMIT_BYTES = 65_536
# After this many answers to other requests, the connection counts as broken.
MAX_SKIPPED_ANSWERS = 4
# A longer body of an answer to another request counts as one without end.
SKIPPED_BODY_LIMIT_BYTES = 1_048_576
MAX_INTERIM_ANSWERS = 16
# A final answer with another status is invalid.
FINAL_STATUSES = range(200, 600)
# A value or a reason that contains it shows that two heads ran into each other.
PROTOCOL_MARK = b"HTTP/1."


class Probe(Enum):
    """How an attempt to connect to an endpoint ended."""

    OPENED = "opened"
    # The endpoint's machine answered that no process listens.
    REFUSED = "refused"
    UNKNOWN = "unknown"


class AnswerOwner(Enum):
    """Whose answer one is, by the request that it names."""

    REQUEST = "request"
    OTHER = "other"
    # The answer names no request.
    UNNAMED = "unnamed"


IdentifyAnswer = Callable[[Headers], AnswerOwner]


def identify_by_header(headers: Headers, header: bytes, request: str) -> AnswerOwner:
    """Return whose answer one is by the header that names its request, once."""
    named = [value for name, value in headers if name == header]
    if not named:
        return AnswerOwner.UNNAMED
    is_own = named == [request.encode("latin-1")]
    return AnswerOwner.REQUEST if is_own else AnswerOwner.OTHER


def is_refusal(error: OSError) -> bool:
    """Return whether a machine answered that no process listens."""
    return isinstance(error.__cause__ or error, ConnectionRefusedError)


class UpstreamError(Exception):
    """A connection to an endpoint failed."""


class ConnectFailed(UpstreamError):
    """No connection was made, so nothing was sent.

    `refused` is true if the endpoint's machine answered that no process listens.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class ConnectionBroken(UpstreamError):
    """A connection broke after a request was sent on it, at least in part.

    `closed` is true if the other side closed or reset it.
    """

    def __init__(self, detail: str, closed: bool = False) -> None:
        super().__init__(detail)
        self.closed = closed


class AnswerHead(msgspec.Struct, frozen=True):
    """The status and headers of an endpoint's answer."""

    status: int
    headers: Headers


class UpstreamConnection:
    """A connection to an endpoint that sends requests and reads their answers."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream: anyio.abc.ByteStream = stream
        # Answers to other requests that came before the present one.
        self.skipped_count = 0
        self._reused = False
        self._unnamed = False
        self._body_ended = False
        self._closed = False
        self._socket: socket.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._machine = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )

    def is_usable(self) -> bool:
        """Return whether no bytes and no close have arrived since the last answer."""
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return not poll.poll(0)

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a whole request."""
        machine = self._machine
        head = h11.Request(method=method, target=target, headers=headers)
        data = machine.send(head) or b""
        try:
            for start in range(0, len(body), SEND_BYTES):
                part = body[start : start + SEND_BYTES]
                data += machine.send(h11.Data(data=part)) or b""
                if start + SEND_BYTES < len(body):
                    await self.stream.send(data)
                    data = b""
            await self.stream.send(data + (machine.send(h11.EndOfMessage()) or b""))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # The endpoint may have answered before it read the whole request.
            return

    async def read_head(self, identify: IdentifyAnswer) -> AnswerHead:
        """Read the head of the request's own answer, skipping other answers."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            head = await self._read_any_head()
            owner = identify(head.headers)
            self._unnamed = owner is AnswerOwner.UNNAMED
            # Earlier answers on a connection in use again all named their requests.
            if owner is AnswerOwner.REQUEST or (self._unnamed and not self._reused):
                return head
            self.skipped_count += 1
            await self.skip_body(SKIPPED_BODY_LIMIT_BYTES)
            self._start_next()
        raise ConnectionBroken("the answers belong to other requests")

    async def _read_any_head(self) -> AnswerHead:
        for _ in range(MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                self._check_head(bytes(event.reason), headers)
                if event.status_code not in FINAL_STATUSES:
                    detail = f"the answer's status is {event.status_code}"
                    raise ConnectionBroken(detail, self._closed)
                return AnswerHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken("the answer has no head", self._closed)
        raise ConnectionBroken("interim answers come without end")

    def _check_head(self, reason: bytes, headers: Headers) -> None:
        """Raise ConnectionBroken if the head's end, or the body's, is not certain."""
        texts = [reason, *(value for _, value in headers)]
        if any(PROTOCOL_MARK in text for text in texts):
            raise ConnectionBroken("the head contains another head", self._closed)
        if {b"content-length", b"transfer-encoding"} <= {name for name, _ in headers}:
            raise ConnectionBroken("the answer has a length and chunks", self._closed)

    async def read_part(self) -> bytes | None:
        """Return the bytes of the body that have arrived, or None at its end."""
        event = None if self._body_ended else await self._next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            event = self._parse_event()
        if isinstance(event, h11.EndOfMessage):
            self._body_ended = True
        elif event is not None and event is not h11.NEED_DATA:
            detail = "the connection ended within the answer"
            raise ConnectionBroken(detail, self._closed)
        if not parts and self._body_ended:
            return None
        return b"".join(parts)

    async def skip_body(self, limit_bytes: int) -> None:
        """Read the rest of a body of no use; raise ConnectionBroken beyond a limit."""
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > limit_bytes:
                raise ConnectionBroken(f"the answer exceeds {limit_bytes} bytes")

    async def read_body(
        self, limit_bytes: int, draw: Callable[[int], Awaitable[None]]
    ) -> bytes:
        """Read the rest of the body as room for it is drawn.

        Raise ConnectionBroken beyond the limit, and what `draw` raises without room.
        """
        collector = Collector(draw)
        while (part := await self.read_part()) is not None:
            if len(collector) + len(part) > limit_bytes:
                raise ConnectionBroken(f"the answer exceeds {limit_bytes} bytes")
            await collector.add(part)
        return collector.join()

    def _parse_event(self) -> object:
        try:
            return self._machine.next_event()
        except h11.RemoteProtocolError as error:
            detail = f"the answer is not HTTP: {error}"
            raise ConnectionBroken(detail, self._closed) from error

    async def _next_event(self) -> object:
        while True:
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
                self._closed = True
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise ConnectionBroken("the connection was reset", True) from error
            self._machine.receive_data(data)

    def _start_next(self) -> None:
        self._body_ended = False
        try:
            self._machine.start_next_cycle()
        except h11.LocalProtocolError as error:
            raise ConnectionBroken("the connection takes no other answer") from error

    def recycle(self) -> bool:
        """Prepare the connection for another request; return whether it can be used."""
        machine = self._machine
        if self._unnamed:
            return False
        if machine.our_state is not h11.DONE or machine.their_state is not h11.DONE:
            return False
        if machine.trailing_data[0]:
            return False
        machine.start_next_cycle()
        self._body_ended = False
        self._reused = True
        self.skipped_count = 0
        return True

    async def close(self) -> None:
        """Close the connection at once."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)


async def open_upstream(address: Address, timeout_s: float) -> UpstreamConnection:
    """Connect to an endpoint, or raise ConnectFailed."""
    try:
        host, port = split_address(address)
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
    except TimeoutError as error:
        raise ConnectFailed(f"{address}: no answer") from error
    except OSError as error:
        cause = error.__cause__ or error
        raise ConnectFailed(f"{address}: {cause}", is_refusal(error)) from error
    connected: socket.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    for level, name, value in SOCKET_OPTIONS:
        connected.setsockopt(level, name, value)
    return UpstreamConnection(stream)
