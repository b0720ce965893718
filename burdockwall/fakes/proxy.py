"""Stand between two ends of a TCP connection and fail it on purpose."""

from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import anyio.abc

from burdockwall.connection.address import split_address
from burdockwall.types import Address

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class FaultyProxy:
    """Forward TCP connections to a target; old ones can be made silent for good."""

    address: Address
    target: Address
    connections: int = 0
    _silent: set[int] = field(default_factory=set)
    _live: set[int] = field(default_factory=set)
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def silence_open_connections(self) -> None:
        """Lose every byte of the connections open now; new ones work."""
        self._silent |= self._live

    def kill(self) -> None:
        """Close every connection at once and take no new one."""
        self._scope.cancel()

    async def run(self) -> None:
        """Forward connections until cancelled."""
        host, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        with self._scope:
            async with listener:
                await listener.serve(self._serve)

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        host, port = split_address(self.target)
        self._live.add(number)
        try:
            async with near, await anyio.connect_tcp(host, port) as far:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._forward, number, near, far)
                    group.start_soon(self._forward, number, far, near)
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self._live.discard(number)

    async def _forward(
        self,
        number: int,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
    ) -> None:
        with suppress(anyio.EndOfStream):
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if number not in self._silent:
                    await target.send(chunk)
        if number not in self._silent:
            await target.send_eof()
