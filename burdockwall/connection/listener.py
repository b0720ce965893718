"""Accept connections on an address, no more than there is room for.

A new connection takes the place of the one that has been idle for the longest time, and
of unfinished heads after that. Connections with a request under way keep their places.
"""

import asyncio
import asyncio.sslproto
import math
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import msgspec

from burdockwall.connection.address import split_address
from burdockwall.connection.exchange import Exchange
from burdockwall.connection.memory import MemoryAccount
from burdockwall.types import Address

BACKLOG_CONNECTIONS = 1024
READ_BYTES = 16_384
TLS_BUFFER_BYTES = 32_768
# What a socket holds unread, and what of an answer it holds unsent.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 65_536
LEAST_SWEEP_S = 0.1
# A failed accept, for want of descriptors or memory, is tried again after this time.
ACCEPT_RETRY_S = 0.1
MAX_ACCEPTED_AT_ONCE = 32
# How many connections that were sent away may be read on, so that their callers get
# the answer before the connection is reset.
MAX_LINGERING = 64
LINGER_S = 2.0


class ConnectionLimits(msgspec.Struct, frozen=True):
    """What a connection may take; times in seconds."""

    idle_s: float = 75.0
    head_s: float = 10.0
    head_bytes: int = 32_768
    body_silence_s: float = 75.0


class Closable(Protocol):
    """A connection that the listener may close."""

    def close_idle(self) -> None:
        """Close the connection, on which no request is under way."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...

    def stop(self) -> None:
        """Close the connection after the request under way."""
        ...


class ConnectionCounts(msgspec.Struct):
    """How often a connection had to make room, or found none."""

    evicted: int = 0
    refused: int = 0


class Connections:
    """The connections of one address, by what they wait for, oldest first."""

    def __init__(
        self,
        limit: int,
        get_limits: Callable[[], ConnectionLimits],
        counts: ConnectionCounts | None = None,
    ) -> None:
        self.limit = limit
        self.get_limits = get_limits
        self.counts = counts or ConnectionCounts()
        self._idle: dict[Closable, float] = {}
        self._heads: dict[Closable, float] = {}
        self._lingering: dict[Closable, float] = {}
        self._busy: set[Closable] = set()
        # Accepted, and still agreeing on TLS.
        self.opening_count = 0
        self._sweep: asyncio.TimerHandle | None = None
        self._sweep_at = math.inf

    def __len__(self) -> int:
        waiting = len(self._idle) + len(self._heads) + len(self._lingering)
        return waiting + len(self._busy) + self.opening_count

    def _forget(self, connection: Closable) -> None:
        self._idle.pop(connection, None)
        self._heads.pop(connection, None)
        self._lingering.pop(connection, None)
        self._busy.discard(connection)

    def remove(self, connection: Closable) -> None:
        """Forget a connection that has ended."""
        self._forget(connection)

    def mark_idle(self, connection: Closable) -> None:
        """Record that a connection waits for a request."""
        self._forget(connection)
        self._idle[connection] = asyncio.get_running_loop().time()
        self._schedule(self.get_limits().idle_s)

    def mark_head(self, connection: Closable) -> None:
        """Record that a head has begun on a connection."""
        self._forget(connection)
        self._heads[connection] = asyncio.get_running_loop().time()
        self._schedule(self.get_limits().head_s)

    def mark_busy(self, connection: Closable) -> None:
        """Record that a request is under way on a connection."""
        self._forget(connection)
        self._busy.add(connection)

    def mark_lingering(self, connection: Closable) -> None:
        """Record that a connection only waits until its caller has an answer."""
        self._forget(connection)
        self._lingering[connection] = asyncio.get_running_loop().time()
        if len(self._lingering) > MAX_LINGERING:
            self._abort_first(self._lingering)
        self._schedule(LINGER_S)

    def make_room(self) -> bool:
        """Close waiting connections for one more; return whether there is room."""
        for waiting in (self._lingering, self._idle, self._heads):
            while waiting and len(self) >= self.limit:
                self._abort_first(waiting)
                self.counts.evicted += 1
        if len(self) < self.limit:
            return True
        self.counts.refused += 1
        return False

    def _abort_first(self, waiting: dict[Closable, float]) -> None:
        connection = next(iter(waiting))
        self._forget(connection)
        connection.abort()

    def stop(self) -> None:
        """Close the connections without a request now, the others after it."""
        for busy in self._busy:
            busy.stop()
        for waiting in (self._idle, self._heads):
            for connection in list(waiting):
                self._forget(connection)
                connection.close_idle()

    def abort_all(self) -> None:
        """Close all connections at once."""
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in [*self._idle, *self._heads, *self._lingering, *self._busy]:
            connection.abort()

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + max(delay_s, LEAST_SWEEP_S)
        if at >= self._sweep_at:
            return
        if self._sweep is not None:
            self._sweep.cancel()
        self._sweep_at = at
        self._sweep = loop.call_at(at, self._run_sweep)

    def _run_sweep(self) -> None:
        self._sweep = None
        self._sweep_at = math.inf
        now = asyncio.get_running_loop().time()
        limits = self.get_limits()
        next_s: list[float] = []
        for waiting, limit_s, closes in (
            (self._idle, limits.idle_s, True),
            (self._heads, limits.head_s, False),
            (self._lingering, LINGER_S, False),
        ):
            while waiting:
                connection, since = next(iter(waiting.items()))
                left_s = since + limit_s - now
                if left_s > 0:
                    next_s.append(left_s)
                    break
                self._forget(connection)
                if closes:
                    connection.close_idle()
                else:
                    connection.abort()
        if next_s:
            self._schedule(min(next_s))


class Listener:
    """Listens on an address, and opens a protocol for each connection."""

    def __init__(
        self,
        address: Address,
        connections: Connections,
        create_protocol: Callable[[], asyncio.BaseProtocol],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self.connections = connections
        self.create_protocol = create_protocol
        self.tls = tls
        if tls is not None:
            # The buffer that each connection over TLS has for itself.
            asyncio.sslproto.SSLProtocol.max_size = TLS_BUFFER_BYTES
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None

    def open(self) -> socket.socket:
        """Listen on the address, or raise OSError."""
        host, port = split_address(self.address)
        listening = socket.create_server((host, port), backlog=BACKLOG_CONNECTIONS)
        listening.setblocking(False)
        # Connections inherit the buffers.
        for option, size in (
            (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
        ):
            listening.setsockopt(socket.SOL_SOCKET, option, size)
        return listening

    def start(self, listening: socket.socket) -> None:
        """Accept connections from now on."""
        loop = asyncio.get_running_loop()
        loop.add_reader(listening, self._accept_ready, listening)

    def _accept_ready(self, listening: socket.socket) -> None:
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                connected, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                self._pause(listening)
                return
            if self.connections.make_room():
                self._start_opening(connected)
            else:
                connected.close()

    def _pause(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        self._retry = loop.call_later(ACCEPT_RETRY_S, self.start, listening)

    def _start_opening(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        self.connections.opening_count += 1
        task = asyncio.get_running_loop().create_task(self._open(connected))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        handshake_s = None
        if self.tls is not None:
            handshake_s = self.connections.get_limits().head_s
        try:
            await loop.connect_accepted_socket(
                self.create_protocol,
                connected,
                ssl=self.tls,
                ssl_handshake_timeout=handshake_s,
            )
        except (OSError, ssl.SSLError):
            connected.close()
        finally:
            self.connections.opening_count -= 1

    async def close(self, listening: socket.socket) -> None:
        """Accept no more, and give up the connections that are being opened."""
        if self._retry is not None:
            self._retry.cancel()
        if listening.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(listening)
            listening.close()
        for task in list(self._tasks):
            task.cancel()
        with anyio.CancelScope(shield=True):
            await asyncio.gather(*self._tasks, return_exceptions=True)


class Port(msgspec.Struct, frozen=True):
    """What the connections of an address share.

    `serve` answers a request, whatever happens. What arrives is read into `buffer`, and
    taken from it at once.
    """

    connections: Connections
    account: MemoryAccount
    serve: Callable[[Exchange], Awaitable[None]]
    buffer: memoryview
    tasks: "set[asyncio.Task[None]]"
