"""A TCP proxy that fails connections on demand."""

from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import anyio.abc

from burdockwall.connection.address import split_address
from burdockwall.types import Address

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class FaultyProxy:
    """A TCP proxy between an address and a target.

    A silenced connection stays open, but its bytes are dropped. With `repeats_answers`
    the next request on a connection is answered with a copy of the answer before.
    `bytes_per_s` bounds what each connection carries to the target.
    """

    address: Address
    target: Address
    connection_count: int = 0
    repeats_answers: bool = False
    bytes_per_s: float | None = None
    _answers: dict[int, bytes] = field(default_factory=dict)
    _writing: anyio.Lock = field(default_factory=anyio.Lock)
    _silenced: set[int] = field(default_factory=set)
    _open: set[int] = field(default_factory=set)
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def silence_open_connections(self) -> None:
        """Drop all further bytes of the open connections; new ones are forwarded."""
        self._silenced |= self._open

    def kill(self) -> None:
        """Close every connection and stop listening."""
        self._scope.cancel()

    async def run(self) -> None:
        """Forward connections until cancelled."""
        host, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        with self._scope:
            async with listener:
                await listener.serve(self._serve)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        self.connection_count += 1
        number = self.connection_count
        host, port = split_address(self.target)
        self._open.add(number)
        try:
            async with client, await anyio.connect_tcp(host, port) as server:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._forward_requests, number, client, server)
                    group.start_soon(self._forward_answers, number, server, client)
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self._open.discard(number)

    async def _forward_requests(
        self,
        number: int,
        client: anyio.abc.SocketStream,
        server: anyio.abc.SocketStream,
    ) -> None:
        with suppress(anyio.EndOfStream):
            while True:
                chunk = await client.receive(CHUNK_BYTES)
                earlier = self._answers.pop(number, b"")
                if earlier:
                    async with self._writing:
                        await client.send(earlier)
                if self.bytes_per_s is not None:
                    await anyio.sleep(len(chunk) / self.bytes_per_s)
                if number not in self._silenced:
                    await server.send(chunk)
        if number not in self._silenced:
            await server.send_eof()

    async def _forward_answers(
        self,
        number: int,
        server: anyio.abc.SocketStream,
        client: anyio.abc.SocketStream,
    ) -> None:
        with suppress(anyio.EndOfStream):
            while True:
                chunk = await server.receive(CHUNK_BYTES)
                if self.repeats_answers:
                    self._answers[number] = self._answers.get(number, b"") + chunk
                if number not in self._silenced:
                    async with self._writing:
                        await client.send(chunk)
        if number not in self._silenced:
            await client.send_eof()
