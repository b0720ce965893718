"""Input that can't be read, for the decoders of what others send."""

import json

import anyio

from burdockwall.connection.endpoints import EndpointClients
from burdockwall.connection.upstream import ConnectFailed, Probe, open_upstream
from burdockwall.connection.upstream_pools import UpstreamPools
from burdockwall.fakes.ports import find_address
from burdockwall.platform.server_list import ServerListReader
from burdockwall.process.control_node import EndpointListUnread
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.web import serve_address
from burdockwall.types import Address

TIMEOUT_S = 2.0
GOOD_ENTRY = {
    "id": "i-1",
    "service": "tools",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
}


class ListSubject:
    """Serves a list of servers as raw bytes, and reads it as the leader does."""

    def __init__(self, *pages: bytes) -> None:
        self.pages = list(pages)
        self.address = find_address()
        self.unread = ""

    async def _serve(self, exchange) -> None:
        await exchange.answer(200, [], self.pages.pop(0))

    def read(self) -> list[ListedEndpoint] | None:
        """Return the servers that were read, or None if the list was unreadable."""
        return anyio.run(self._read)

    async def _read(self) -> list[ListedEndpoint] | None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(serve_address, self.address, self._serve, stop, 0.1)
            await anyio.sleep(0.1)
            try:
                return await ServerListReader(self.address).read()
            except EndpointListUnread as error:
                self.unread = str(error)
                return None
            finally:
                stop.set()


def build_page(*entries: bytes, following: bytes = b"null") -> bytes:
    """Build a page from entries as they stand."""
    return b'{"instances":[%s],"next":%s}' % (b",".join(entries), following)


def build_entry(name: str, **changes: object) -> bytes:
    """Build an entry, with fields changed, or left out where they are `...`."""
    entry = GOOD_ENTRY | {"id": name} | changes
    kept = {key: value for key, value in entry.items() if value is not ...}
    return json.dumps(kept).encode()


class AddressSubject:
    """Opens connections to an address in each of the ways that there are."""

    def __init__(self, address: str) -> None:
        self.address = Address(address)

    def connect(self) -> list[object]:
        """Return how each attempt ended."""
        return anyio.run(self._connect)

    async def _connect(self) -> list[object]:
        try:
            await open_upstream(self.address, TIMEOUT_S)
            opened: object = "opened"
        except ConnectFailed as error:
            opened = Probe.UNKNOWN if not error.refused else Probe.REFUSED
        pooled = await UpstreamPools(anyio.current_time).check(self.address)
        clients = EndpointClients(TIMEOUT_S, TIMEOUT_S)
        return [opened, pooled, await clients.check(self.address)]
