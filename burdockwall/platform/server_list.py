"""Reader of the platform's list of servers."""

import httpx
import msgspec

from burdockwall.connection.address import read_ip_address
from burdockwall.connection.client import create_http_client
from burdockwall.platform.cold import convert_cold_ms
from burdockwall.platform.names import LIST_PATH
from burdockwall.process.control_node import EndpointListUnread
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    ServiceName,
    SoftwareVersion,
)

READ_TIMEOUT_S = 1.5
MAX_PAGES = 100
DRAINING = "draining"
USABLE_STATES = ("ready", DRAINING)


class _Entry(msgspec.Struct):
    """The fields read from an entry; entries of other programs may lack some."""

    id: str
    service: str
    address: str
    zone: str
    state: str
    version: str = ""
    slots: int = 1
    born: int | None = None
    # Read later, so that a value that is no number costs only itself.
    cold_left_ms: msgspec.Raw = msgspec.field(
        name="cold-left-ms", default=msgspec.Raw()
    )


class _Page(msgspec.Struct):
    instances: list[msgspec.Raw]
    next: str | None = None


class ServerListReader:
    """Reads the platform's list of servers, page by page."""

    def __init__(self, address: Address) -> None:
        self._client = create_http_client(READ_TIMEOUT_S, f"http://{address}")

    async def read(self) -> list[ListedEndpoint]:
        """Return the servers of the list, or raise EndpointListUnread."""
        servers: list[ListedEndpoint] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._read_page(token)
            servers += [
                entry
                for raw in page.instances
                if (entry := convert_entry(raw)) is not None
            ]
            token = page.next
            if token is None:
                return servers
        raise EndpointListUnread(f"the list has over {MAX_PAGES} pages")

    async def _read_page(self, token: str | None) -> _Page:
        query = {"page-token": token} if token else {}
        try:
            response = await self._client.get(LIST_PATH, params=query)
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=_Page)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise EndpointListUnread(f"{type(error).__name__}: {error}") from error


def convert_entry(raw: msgspec.Raw) -> ListedEndpoint | None:
    """Convert an entry of the list, or return None if it is no usable server's."""
    try:
        entry = msgspec.json.decode(raw, type=_Entry)
    except msgspec.MsgspecError:
        # Another program wrote the entry, and it describes no server.
        return None
    address = read_ip_address(entry.address)
    if entry.state not in USABLE_STATES or address is None:
        return None
    return ListedEndpoint(
        EndpointId(entry.id),
        ServiceName(entry.service),
        address,
        FailureDomain(entry.zone),
        max(1, entry.slots),
        entry.state == DRAINING,
        entry.born,
        SoftwareVersion(entry.version),
        cold_left_s=convert_cold_ms(bytes(entry.cold_left_ms)),
    )
