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

    A silenced connection stays open, but its bytes are dropped.
    """

    address: Address
    target: Address
    connection_count: int = 0
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
                    group.start_soon(self._forward, number, client, server)
                    group.start_soon(self._forward, number, server, client)
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self._open.discard(number)

    async def _forward(
        self,
        number: int,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
    ) -> None:
        with suppress(anyio.EndOfStream):
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if number not in self._silenced:
                    await target.send(chunk)
        if number not in self._silenced:
            await target.send_eof()
