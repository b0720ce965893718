"""Bytes on real connections to a server of callers."""

import asyncio
import socket
from dataclasses import dataclass, field

import anyio

from burdockwall.connection.address import split_address
from burdockwall.connection.exchange import Exchange
from burdockwall.connection.listener import ConnectionLimits
from burdockwall.connection.memory import MemoryAccount, MemoryPlan
from burdockwall.errors import Code, RequestRefused
from burdockwall.fakes.ports import find_address
from burdockwall.process.clock import read_clock
from burdockwall.process.web import WebOptions, serve_address

BODY_LIMIT_BYTES = 100_000
LITTLE_ROOM_BYTES = 2_000_000
# Three quarters of the room, less what a place covers.
LARGE_BYTES = 1_400_000
LIMITS = ConnectionLimits(idle_s=2.0, head_s=0.5, head_bytes=8_000, body_silence_s=0.5)
PATIENCE_S = 8.0
# The server's last answer has come if nothing more comes for so long.
QUIET_S = 1.0
GET = b"GET /skip HTTP/1.1\r\nhost: a\r\n\r\n"
POST_READ = b"POST /read HTTP/1.1\r\nhost: a\r\n"
POST_SKIP = b"POST /skip HTTP/1.1\r\nhost: a\r\n"
LONG = b"content-length: 3000000\r\n\r\n" + b"x" * 3_000_000
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"4e20\r\n" + b"x" * 20_000 + b"\r\n"
REQUESTS = {
    "three requests ahead": GET * 3,
    "a body that nobody asks for": POST_SKIP
    + b"expect: 100-continue\r\ncontent-length: 5\r\n\r\n",
    "a short body that is not read": POST_SKIP
    + b"content-length: 5\r\n\r\nhello"
    + GET,
    "a long body that is not read": POST_SKIP + LONG,
    "a body announced as too long": POST_READ + LONG,
    "a body that becomes too long": POST_READ + CHUNKED + CHUNK * 50,
    "chunks that are none": POST_READ + CHUNKED + b"zz\r\n",
    "a question for headers only": b"HEAD /skip HTTP/1.1\r\nhost: a\r\n\r\n" + GET,
    "a request that is the last": b"GET /skip HTTP/1.1\r\nhost: a\r\n"
    b"connection: close\r\n\r\n",
    "an old request": b"GET /skip HTTP/1.0\r\n\r\n",
    "an upgrade to websocket": b"GET /skip HTTP/1.1\r\nhost: a\r\n"
    b"connection: upgrade\r\nupgrade: websocket\r\n\r\n" + GET,
    "the preface of HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "noise": bytes(range(256)),
    "a head that is too long": b"GET / HTTP/1.1\r\nx: " + b"x" * 40_000,
    "a head without end": b"GET / HTTP/1.1\r\nx: y\r\n",
    "nothing": b"",
    "a body that stops": POST_READ + b"content-length: 5\r\n\r\nhe",
}


@dataclass(slots=True)
class CallerConnections:
    """A server, what callers got from it, and how their connections ended."""

    options: WebOptions = WebOptions(get_limits=lambda: LIMITS)
    statuses: list[int] = field(default_factory=list)
    closed: bool = False
    bodies: list[bytes] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    served: bool = False

    def run(self, act) -> None:
        """Run a server while an action lasts."""
        anyio.run(self._run, act)

    async def _run(self, act) -> None:
        address, stop = find_address(), anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(
                serve_address, address, self._serve, stop, 0.1, self.options
            )
            await anyio.sleep(0.1)
            await act(*split_address(address))
            stop.set()

    async def _serve(self, exchange: Exchange) -> None:
        match exchange.path:
            case "/read":
                await exchange.read_body(BODY_LIMIT_BYTES)
            case "/large":
                await exchange.read_body(LARGE_BYTES)
            case "/echo":
                body = await exchange.read_body(LARGE_BYTES)
                await exchange.answer(200, [], body * 4)
                return
            case "/break":
                await exchange.start(200, [])
                await exchange.write(b"begun")
                raise RequestRefused(Code.ENDPOINT_FAILED)
        await exchange.answer(200, [], b"done")

    def send(self, what: str) -> None:
        """Send what a name stands for, and read all that comes."""

        async def act(host: str, port: int) -> None:
            reader, writer = await asyncio.open_connection(host, port)
            if what == "a body that it waits to be asked for":
                head = b"expect: 100-continue\r\ncontent-length: 5\r\n\r\n"
                writer.write(POST_READ + head)
                received = await reader.readuntil(b"\r\n\r\n")
                writer.write(b"hello")
            else:
                received = b""
                writer.write(REQUESTS[what])
            received += await self._read(reader)
            self.statuses = [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]
            writer.close()

        self.run(act)

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        received = b""
        try:
            async with asyncio.timeout(PATIENCE_S):
                while True:
                    # An idle connection is closed later than this.
                    quiet_s = QUIET_S if received else PATIENCE_S
                    async with asyncio.timeout(quiet_s):
                        part = await reader.read(65_536)
                    if not part:
                        self.closed = True
                        return received
                    received += part
        except TimeoutError:
            return received

    def break_off(self) -> None:
        """Get an answer that is broken off, as callers of both versions."""

        async def act(host: str, port: int) -> None:
            for version in (b"1.0", b"1.1"):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET /break HTTP/%s\r\nhost: a\r\n\r\n" % version)
                try:
                    self.bodies.append(await reader.read())
                except ConnectionError as error:
                    self.errors.append(type(error).__name__)
                writer.close()

        self.run(act)

    def race(self) -> None:
        """Stay idle on one connection, and then leave a head unfinished on another."""

        async def act(host: str, port: int) -> None:
            async def wait(name: str, data: bytes) -> None:
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(data)
                await reader.read()
                self.ended.append(name)
                writer.close()

            idle = asyncio.create_task(wait("idle", b""))
            await asyncio.sleep(0.1)
            await wait("head", REQUESTS["a head without end"])
            idle.cancel()

        self.run(act)

    def hold_room(self) -> None:
        """Take all room with an answer that isn't read, and ask for some of it."""

        async def act(host: str, port: int) -> None:
            loop = asyncio.get_running_loop()
            holder = socket.socket()
            holder.setblocking(False)
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await loop.sock_connect(holder, (host, port))
            body = b"x" * (LITTLE_ROOM_BYTES // 3)
            head = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
            await loop.sock_sendall(holder, head % len(body) + body)
            await asyncio.sleep(0.2)
            reader, writer = await asyncio.open_connection(host, port)
            head = b"POST /large HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            self.served = b"HTTP/1.1 200" in await self._read(reader)
            holder.close()
            writer.close()

        self.run(act)


def create_small_account() -> MemoryAccount:
    """Create an account with room for one large body."""
    return MemoryAccount(MemoryPlan(16, LITTLE_ROOM_BYTES), read_clock)
