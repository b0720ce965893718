"""Bounds of the peer port, where anyone may connect if TLS does not forbid it."""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, cast

import grpclib.config
import grpclib.server
from grpclib.encoding.base import CodecBase

from burdockwall.connection.listener import ConnectionLimits, Connections
from burdockwall.connection.memory import MemoryAccount, Share
from burdockwall.machine import Message
from burdockwall.process.storage.messages import EndTurn, RecordsFound, TurnBegun

# What a batch takes while it is sent or read: frames, the whole, and its messages.
COPIES_OF_BATCH = 3
UNCOUNTED_BYTES = 65_536
# Larger than any batch: a message of the largest document or turn, and small ones.
MAX_BATCH_FRAME_BYTES = 33_554_432
# What a connection may send before it is read.
WINDOW_BYTES = 65_535
# Peers that have something to say to each other do so more often.
IDLE_S = 300.0


class BatchTooLong(Exception):
    """A batch is longer than any that a peer sends."""


def create_peer_connections(limit: int) -> Connections:
    """Create the count of a peer port's connections."""
    limits = ConnectionLimits(idle_s=IDLE_S)
    return Connections(limit, lambda: limits)


def create_bounded_server(
    handler: Any, codec: CodecBase, connections: Connections
) -> grpclib.server.Server:
    """Create a server that closes the connections that were silent for longest."""
    config = grpclib.config.Configuration(
        http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
    )
    server = grpclib.server.Server([handler], codec=codec, config=config)
    create_protocol = server._protocol_factory

    def create_counted() -> Any:
        return CountedProtocol(create_protocol(), connections)

    server._protocol_factory = create_counted  # type: ignore[method-assign]
    return server


def measure_texts(messages: Iterable[Message]) -> int:
    """Measure what callers have sent or read among messages, in bytes."""
    size = 0
    for message in messages:
        match message:
            case EndTurn(prompt=prompt, answer=answer):
                size += len(prompt) + len(answer)
            case TurnBegun(chain=list(links)):
                size += sum(len(link.prompt) + len(link.answer) for link in links)
            case RecordsFound(records=records):
                size += sum(record.measure_bytes() for record in records)
            case _:
                pass
    return size


class CountedProtocol(asyncio.Protocol):
    """A protocol whose connection counts among others, the latest heard last."""

    def __init__(self, protocol: asyncio.Protocol, connections: Connections) -> None:
        self.protocol = protocol
        self.connections = connections
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a connection if there is room for it."""
        self._transport = cast(asyncio.Transport, transport)
        has_room = self.connections.make_room()
        self.connections.mark_idle(self)
        self.protocol.connection_made(transport)
        if not has_room:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self.connections.mark_idle(self)
        self.protocol.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass the other side's end on."""
        return self.protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """End with the connection."""
        self.connections.remove(self)
        self.protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the other side reads too slowly."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the other side reads again."""
        self.protocol.resume_writing()

    def close_idle(self) -> None:
        """Close the connection, which was silent."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def stop(self) -> None:
        """Do nothing, since the server closes its connections itself."""


@contextmanager
def bound_messages(stream: Any, account: MemoryAccount) -> Iterator[Share]:
    """Let a stream read its batches only once there is room for them.

    The room is in the share, which the reader resets after each batch.
    """
    task = asyncio.current_task()
    assert task is not None
    share = account.open_peer_share(lambda: _cancel(task))
    frames = stream._stream
    receive = frames.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size <= UNCOUNTED_BYTES:
            return cast(bytes, await receive(size))
        if size > MAX_BATCH_FRAME_BYTES:
            raise BatchTooLong(f"a batch of {size} bytes")
        await share.draw(COPIES_OF_BATCH * size)
        share.begin_wait()
        try:
            return cast(bytes, await receive(size))
        finally:
            share.end_wait()

    frames.recv_data = receive_bounded
    try:
        yield share
    finally:
        share.close()


def bound_answers(stream: Any) -> None:
    """Let a stream of one's own read no answer that is longer than any batch."""
    frames = stream._stream
    receive = frames.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > MAX_BATCH_FRAME_BYTES:
            raise BatchTooLong(f"an answer of {size} bytes")
        return cast(bytes, await receive(size))

    frames.recv_data = receive_bounded


def _cancel(task: "asyncio.Task[Any]") -> None:
    task.cancel()
