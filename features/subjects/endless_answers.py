"""Answers without end, to each reader of something outside."""

import gzip
import struct
import tracemalloc
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import anyio
import anyio.abc
import grpclib.const
import grpclib.server
import httpx

from burdockwall.connection.client import create_http_client, read_limited
from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.paged_list import ListUnreadable, PagedList
from burdockwall.connection.peers import (
    EXCHANGE_METHOD,
    Acknowledgement,
    Envelope,
    MessagePackCodec,
    PeerBus,
)
from burdockwall.fakes.ports import find_address
from burdockwall.platform.server_list import PAGE_FORMAT
from burdockwall.process.membership.messages import Ping
from burdockwall.process.membership.platform import PlatformReader
from burdockwall.process.orders.order import NumberedOrder, Order, OrderKind
from burdockwall.process.orders.shell import Orders
from burdockwall.process.programs.reclaimer import Reclaimer
from burdockwall.process.scheduling.poller import LOAD_PATH, EndpointPoller
from burdockwall.types import (
    Address,
    EndpointId,
    FencingNumber,
    Incarnation,
    InstanceId,
    PoolName,
)
from burdockwall.version.configuration import Endpoint

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
PIECE = b" " * 65_536
# More than any reader takes; then the server gives up.
MOST_BYTES = 96_000_000
TIME_LIMIT_S = 10.0
TIMEOUT_S = 2.0
ENDPOINT = EndpointId("e")
FAR = InstanceId("far")
SILENCE_S = 1.0


class EndlessServer:
    """Answers each connection with bytes without end, and counts them."""

    def __init__(self, pause_s: float) -> None:
        self.pause_s = pause_s
        self.sent = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer one connection."""
        try:
            await stream.receive(65536)
            await stream.send(HEAD)
            while self.sent < MOST_BYTES:
                piece = PIECE[:1] if self.pause_s else PIECE
                await stream.send(piece)
                self.sent += len(piece)
                await anyio.sleep(self.pause_s)
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            pass
        await stream.aclose()


async def send_order(address: Address) -> None:
    async with create_http_client(TIMEOUT_S) as client:
        leader = SimpleNamespace(
            find_address=lambda endpoint: address,
            _client=client,
            _is_leading=lambda: True,
        )
        order = Order(ENDPOINT, next(iter(OrderKind)))
        await Orders._send(leader, NumberedOrder(FencingNumber(1), order))


async def read_instances(address: Address) -> None:
    reader = PlatformReader(address, lambda: True, lambda listed: None)
    async with create_http_client(TIMEOUT_S) as client:
        await reader._read(client)


async def read_servers(address: Address) -> None:
    try:
        await PagedList(address, PAGE_FORMAT).read()
    except ListUnreadable:
        return


async def poll_load(address: Address) -> None:
    poller = EndpointPoller(None, _create_clients(), anyio.current_time, TIMEOUT_S)
    await poller._request(_create_endpoint(address), "GET", LOAD_PATH)


async def list_held(address: Address) -> None:
    reclaimer = SimpleNamespace(clients=_create_clients())
    await Reclaimer._list(reclaimer, _create_endpoint(address))


async def confirm_order(address: Address) -> None:
    reclaimer = SimpleNamespace(clients=_create_clients())
    await Reclaimer._post(reclaimer, _create_endpoint(address), "/x", b"")


def _create_clients() -> EndpointClients:
    return EndpointClients(1.0, TIMEOUT_S)


def _create_endpoint(address: Address) -> Endpoint:
    return Endpoint(ENDPOINT, PoolName("p"), address)


READERS: dict[str, Callable[[Address], Awaitable[None]]] = {
    "an order's confirmation": send_order,
    "the list of instances": read_instances,
    "the list of servers": read_servers,
    "a load report": poll_load,
    "the list of held requests": list_held,
    "a release's confirmation": confirm_order,
}


class EndlessRead:
    """A reader before a server whose answer has no end."""

    def __init__(self, reader: str, pause_s: float = 0.0) -> None:
        self.read = READERS[reader]
        self.server = EndlessServer(pause_s)
        self.ended = False

    def run(self) -> None:
        """Read until the reader gives up, or the time is over."""
        anyio.run(self._run)

    async def _run(self) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, self.server.serve)
            with anyio.move_on_after(TIME_LIMIT_S):
                await self.read(Address(f"127.0.0.1:{port}"))
                self.ended = True
            group.cancel_scope.cancel()


class EndlessPeer:
    """A peer that acknowledges a batch with a message without end."""

    def __init__(self) -> None:
        self.sent = 0

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        handler = grpclib.const.Handler(
            self._answer,
            grpclib.const.Cardinality.STREAM_STREAM,
            Envelope,
            Acknowledgement,
        )
        return {EXCHANGE_METHOD: handler}

    async def _answer(self, stream: grpclib.server.Stream) -> None:
        await stream.recv_message()
        await stream.send_initial_metadata()
        await stream._stream.send_data(struct.pack(">?I", False, 2**31))
        while self.sent < MOST_BYTES:
            await stream._stream.send_data(PIECE)
            self.sent += len(PIECE)

    def run(self) -> None:
        """Send a message to the peer, and wait for as long as a silent one may take."""
        anyio.run(self._run)

    async def _run(self) -> None:
        address = find_address()
        server = grpclib.server.Server([self], codec=MessagePackCodec())
        await server.start("127.0.0.1", int(address.rpartition(":")[2]))
        near = PeerBus(InstanceId("near"), Incarnation(1), {FAR: address}, SILENCE_S)
        near.set_receiver(lambda sender, message: None)
        async with anyio.create_task_group() as group:
            group.start_soon(near.run, find_address())
            near.send(FAR, Ping(1))
            await anyio.sleep(2 * SILENCE_S)
            group.cancel_scope.cancel()
        server.close()


def measure_encoded_answer(size_bytes: int, limit_bytes: int) -> int:
    """Return the most memory that reading an encoded answer takes, in bytes."""
    encoded = gzip.compress(gzip.compress(bytes(size_bytes)))
    headers = {"content-encoding": "gzip, gzip"}

    async def send():
        yield encoded

    async def run() -> None:
        response = httpx.Response(200, headers=headers, content=send())
        try:
            await read_limited(response, limit_bytes)
        except httpx.RemoteProtocolError:
            return

    tracemalloc.start()
    try:
        anyio.run(run)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
