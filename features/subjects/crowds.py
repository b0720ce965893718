"""Crowds of clients that don't behave, over plain sockets."""

import asyncio
import contextlib
import json
import socket
import ssl
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h2.config
import h2.connection
import h2.exceptions

from features.subjects.limited_site import (
    ENDLESS_CHAT_PATH,
    ENDLESS_PATH,
    ENDLESS_STREAM_PATH,
    LimitedSite,
    build_headers,
)
from review.standin.http import (
    BrokenOff,
    build_head,
    read_body,
    read_head,
    split_address,
)
from review.standin.settings import HOST

MIB = 1_048_576
BODY_BYTES = 4 * MIB
ENDLESS_BYTES = 10_000_000_000
HOST_OF_CERTIFICATE = "127.0.0.1"
PIECE = b"x" * 65_536
# A client of a crowd stops after this much, or after this time; it stays connected.
SEND_LIMIT_BYTES = 32 * MIB
CROWD_S = 5.0
ENDLESS_PATH_BY_KIND = {
    "answers": ENDLESS_PATH,
    "streams": ENDLESS_STREAM_PATH,
    "chats": ENDLESS_CHAT_PATH,
}
PATH_BY_KIND = {"orders": "/order/1", "drafts": "/draft/1", "chats": "/chat/1"}


@dataclass(slots=True)
class Member:
    """A client of a crowd: what it has sent, and whether it was sent away."""

    sent_bytes: int = 0
    sent_away: bool = False
    link: socket.socket | None = None


@dataclass(slots=True)
class Crowd:
    """Clients of one kind, which stay connected until they are closed."""

    address: str
    members: list[Member] = field(default_factory=list)
    tls: ssl.SSLContext | None = None

    async def come(
        self, count: int, act: Callable[["Client"], Awaitable[None]]
    ) -> None:
        """Let a number of clients act at once, for a while."""
        clients = [self._create_client() for _ in range(count)]
        self.members += [client.member for client in clients]
        tasks = [asyncio.create_task(client.run(act)) for client in clients]
        await asyncio.wait(tasks, timeout=CROWD_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _create_client(self) -> "Client":
        if self.tls is None:
            return Client(self.address, Member())
        return TlsClient(self.address, Member(), self.tls)

    def close(self) -> None:
        """Close all connections."""
        for member in self.members:
            if member.link is not None:
                member.link.close()


@dataclass(slots=True)
class Client:
    """One connection and what a client does on it."""

    address: str
    member: Member

    async def run(self, act: Callable[["Client"], Awaitable[None]]) -> None:
        """Act on a connection, which is left open."""
        with contextlib.suppress(OSError):
            await act(self)
            return
        self.member.sent_away = True

    async def connect(self, receive_bytes: int | None = None) -> None:
        """Connect; `receive_bytes` bounds what the system takes of answers."""
        item = socket.socket()
        self.member.link = item
        item.setblocking(False)
        if receive_bytes is not None:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        host, port = split_address(self.address)
        await asyncio.get_running_loop().sock_connect(item, (host, port))

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        assert self.member.link is not None
        view = memoryview(data)
        while view:
            part = view[: len(PIECE)]
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(self.member.link, part)
            self.member.sent_bytes += len(part)
            view = view[len(part) :]

    async def receive(self) -> bytes:
        """Receive some bytes; none where the other side has closed."""
        assert self.member.link is not None
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self.member.link, len(PIECE))
        if not data:
            self.member.sent_away = True
        return data

    async def read_on(self) -> None:
        """Read until the other side closes."""
        while await self.receive():
            pass

    async def send_on(self, piece: bytes) -> None:
        """Send a piece again and again, up to the limit."""
        while self.member.sent_bytes < SEND_LIMIT_BYTES:
            await self.send(piece)


@dataclass(slots=True)
class TlsClient(Client):
    """A client over TLS."""

    tls: ssl.SSLContext | None = None
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def connect(self, receive_bytes: int | None = None) -> None:
        """Connect, and agree on TLS."""
        await Client.connect(self, receive_bytes)
        self.reader, self.writer = await asyncio.open_connection(
            sock=self.member.link, ssl=self.tls, server_hostname=HOST_OF_CERTIFICATE
        )

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        assert self.writer is not None
        self.writer.write(data)
        await self.writer.drain()
        self.member.sent_bytes += len(data)

    async def receive(self) -> bytes:
        """Receive some bytes; none where the other side has closed."""
        assert self.reader is not None
        data = await self.reader.read(len(PIECE))
        self.member.sent_away = self.member.sent_away or not data
        return data


def build_post(path: str, lines: dict[str, str], number: int = 0) -> bytes:
    """Build the head of a request that bears a key."""
    headers = build_headers(f"crowd{number:011x}") | lines
    return build_head(f"POST {path} HTTP/1.1", headers)


def _pad(number: int) -> dict[str, str]:
    return {"Content-Length": str(number)}


CHUNKED = {"Transfer-Encoding": "chunked"}
BIG_CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
SMALL_CHUNKS = b"2\r\nxx\r\n" * 10_000


async def come_announced(site: LimitedSite, port: str, count: int) -> Crowd:
    """Announce bodies of 10 GB, and send on."""
    crowd = Crowd(site.find_address(port))
    await send_bodies(crowd, count, build_post("/order/1", _pad(ENDLESS_BYTES)))
    return crowd


async def send_bodies(
    crowd: Crowd, count: int, head: bytes, piece: bytes = PIECE
) -> None:
    """Send bodies without end after a head."""

    async def act(client: Client) -> None:
        await client.connect()
        await client.send(head)
        await client.send_on(piece)

    await crowd.come(count, act)


async def come_chunked(site: LimitedSite, port: str, count: int) -> Crowd:
    """Send chunked bodies without end."""
    crowd = Crowd(site.find_address(port))
    await send_bodies(crowd, count, build_post("/order/1", CHUNKED), BIG_CHUNK)
    return crowd


async def come_in_small_chunks(site: LimitedSite, port: str, count: int) -> Crowd:
    """Send bodies in chunks of two bytes."""
    crowd = Crowd(site.find_address(port))
    await send_bodies(crowd, count, build_post("/order/1", CHUNKED), SMALL_CHUNKS)
    return crowd


async def come_short(site: LimitedSite, port: str, count: int) -> Crowd:
    """Send bodies of legal size but for their last byte, and wait."""
    crowd = Crowd(site.find_address(port))
    body = b"x" * (BODY_BYTES - 1)

    async def act(client: Client) -> None:
        await client.connect()
        path = "/api/config/put" if port == "operator" else "/order/1"
        await client.send(build_post(path, _pad(BODY_BYTES)) + body)
        await client.read_on()

    await crowd.come(count, act)
    return crowd


async def come_whole(
    site: LimitedSite, kind: str, count: int, reads: bool = True
) -> Crowd:
    """Send whole requests with bodies of legal size, all at once."""
    crowd = Crowd(site.find_address("caller"))
    body = b"x" * BODY_BYTES

    async def act(client: Client) -> None:
        await client.connect(None if reads else 4096)
        number = id(client)
        head = build_post(PATH_BY_KIND[kind], _pad(BODY_BYTES), number)
        await client.send(head + body)
        if reads:
            await client.read_on()

    await crowd.come(count, act)
    return crowd


async def come_with_configurations(site: LimitedSite, port: str, count: int) -> Crowd:
    """Send whole invalid configurations of legal size, all at once."""
    crowd = Crowd(site.find_address(port))
    text = json.dumps(site.configuration | {"version": 0})
    text = text[:-1] + ', "padding": ['
    padding = "1," * ((BODY_BYTES - len(text) - 3) // 2)
    body = f"{text}{padding}1]}}".encode()

    async def act(client: Client) -> None:
        await client.connect()
        head = build_post("/api/config/put", _pad(len(body)))
        await client.send(head + body)
        await client.read_on()

    await crowd.come(count, act)
    return crowd


async def come_ahead(site: LimitedSite, count: int, sent_bytes: int) -> Crowd:
    """Send many small requests ahead on each connection, and read no answer."""
    crowd = Crowd(site.find_address("caller"))
    one = build_head("GET /ping/1 HTTP/1.1", build_headers("ahead"))
    ahead = one * (sent_bytes // len(one))

    async def act(client: Client) -> None:
        await client.connect(4096)
        await client.send(ahead)
        await asyncio.sleep(CROWD_S)

    await crowd.come(count, act)
    return crowd


async def come_with_kept_turns(site: LimitedSite, count: int, turns: int) -> Crowd:
    """Send turns of 2 MiB that are kept, one after the other on each connection."""
    crowd = Crowd(site.find_address("caller"))
    body = b"x" * (2 * MIB)

    async def send_turns(number: int) -> None:
        for turn in range(turns):
            with contextlib.suppress(OSError):
                member = Member()
                crowd.members.append(member)
                client = Client(crowd.address, member)
                await client.connect()
                name = number * turns + turn + 1
                lines = _pad(len(body)) | {"Connection": "close"}
                await client.send(build_post("/chat/1", lines, name) + body)
                await client.read_on()

    tasks = [asyncio.create_task(send_turns(number)) for number in range(count)]
    await asyncio.wait(tasks, timeout=4 * CROWD_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return crowd


async def come_to_endless_answers(
    site: LimitedSite, count: int, kind: str, reads: bool
) -> Crowd:
    """Ask for answers that endpoints never end."""
    crowd = Crowd(site.find_address("caller"))
    path = ENDLESS_PATH_BY_KIND[kind]

    async def act(client: Client) -> None:
        await client.connect(None if reads else 4096)
        await client.send(build_post(f"{path}1", _pad(0), id(client)))
        if reads:
            await client.read_on()

    await crowd.come(count, act)
    return crowd


async def come_with_heads(site: LimitedSite, port: str, count: int) -> Crowd:
    """Begin heads, and never end them."""
    crowd = Crowd(site.find_address(port))
    head = build_post("/order/1", {"X-Padding": "x" * 4000})[:-4]

    async def act(client: Client) -> None:
        await client.connect()
        await client.send(head)

    await crowd.come(count, act)
    return crowd


async def come_idle(site: LimitedSite, port: str, count: int) -> Crowd:
    """Connect, and stay idle."""
    crowd = Crowd(site.find_address(port))

    async def act(client: Client) -> None:
        await client.connect()

    await crowd.come(count, act)
    return crowd


async def come_with_upgrades(site: LimitedSite, protocol: str, count: int) -> Crowd:
    """Ask for an upgrade that nobody offers, and send on."""
    crowd = Crowd(site.find_address("caller"))
    lines = {
        "Host": HOST,
        "Connection": "Upgrade, HTTP2-Settings",
        "Upgrade": protocol,
        "HTTP2-Settings": "AAMAAABkAAQAAP__",
        "Sec-WebSocket-Key": "dGhlIHNhbXBsZSBub25jZQ==",
        "Sec-WebSocket-Version": "13",
    }
    head = build_head("GET /ping/1 HTTP/1.1", lines)

    async def act(client: Client) -> None:
        await client.connect()
        await client.send(head)
        await client.send_on(PIECE)

    await crowd.come(count, act)
    return crowd


async def come_with_streams(
    site: LimitedSite, port: str, count: int, streams: int
) -> Crowd:
    """Speak HTTP/2 without TLS, with many bodies without end on each connection."""
    crowd = Crowd(site.find_address(port))

    lines = list_stream_headers(port)
    # A message that is announced with 1 GB.
    prefix = struct.pack(">?I", False, 1_000_000_000) if "peer" in port else b""
    await send_streams(crowd, count, streams, lines, prefix)
    return crowd


def list_stream_headers(port: str) -> list[tuple[str, str]]:
    """List the headers of a stream to a peer or an entry."""
    path = "/burdockwall.Peer/Exchange" if "peer" in port else "/order/1"
    lines = [(":method", "POST"), (":scheme", "http"), (":path", path)]
    lines += [(":authority", HOST), ("te", "trailers")]
    lines += [("content-type", "application/grpc+msgpack")]
    return lines + [
        (name.lower(), text)
        for name, text in build_headers("h2").items()
        if name != "Host"
    ]


async def send_streams(
    crowd: Crowd,
    count: int,
    streams: int,
    lines: list[tuple[str, str]],
    prefix: bytes = b"",
) -> None:
    """Open streams of HTTP/2 with bodies without end."""

    async def act(client: Client) -> None:
        await client.connect()
        await _send_streams(client, streams, lines, prefix)

    await crowd.come(count, act)


async def _send_streams(
    client: Client, streams: int, lines: list[tuple[str, str]], prefix: bytes
) -> None:
    config = h2.config.H2Configuration(client_side=True, header_encoding=None)
    machine = h2.connection.H2Connection(config)
    machine.initiate_connection()
    for _ in range(streams):
        stream = machine.get_next_available_stream_id()
        machine.send_headers(stream, lines)
        machine.send_data(stream, prefix + b"x")
    numbers = range(1, 2 * streams, 2)
    while client.member.sent_bytes < SEND_LIMIT_BYTES:
        sent = client.member.sent_bytes
        for stream in numbers:
            with contextlib.suppress(h2.exceptions.H2Error):
                size = min(machine.local_flow_control_window(stream), 16_384)
                if size > 0:
                    machine.send_data(stream, PIECE[:size])
            await client.send(machine.data_to_send())
        if client.member.sent_bytes == sent:
            data = await client.receive()
            if not data:
                return
            with contextlib.suppress(h2.exceptions.H2Error):
                machine.receive_data(data)


@dataclass(slots=True)
class KeptConnection:
    """A connection of an ordinary caller, which asks several times."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    asked: int = 0

    async def ask(self) -> int | None:
        """Send a request; return its status, or None if the connection has ended."""
        self.asked += 1
        headers = build_headers(f"kept{self.asked}")
        self.writer.write(build_head("GET /ping/1 HTTP/1.1", headers))
        try:
            answer = await read_head(self.reader)
            if answer is None:
                return None
            await read_body(answer, self.reader)
        except BrokenOff:
            return None
        return answer.status


async def keep_connection(site: LimitedSite) -> KeptConnection:
    """Connect as an ordinary caller, and get one answer."""
    address = split_address(site.find_address("caller"))
    kept = KeptConnection(*await asyncio.open_connection(*address))
    assert await kept.ask() == 200
    return kept


async def wait_for_head_end(site: LimitedSite) -> int | None:
    """Begin a head, and wait until the connection is closed; return any status."""
    address = split_address(site.find_address("caller"))
    reader, writer = await asyncio.open_connection(*address)
    writer.write(build_post("/order/1", {})[:-4])
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()
    return None
