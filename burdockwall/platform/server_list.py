"""Reader of the platform's list of servers."""

from typing import Annotated

import msgspec

from burdockwall.connection.address import read_ip_address
from burdockwall.connection.json_text import JsonUnreadable, decode_json
from burdockwall.connection.paged_list import ListUnreadable, PagedList, PageFormat
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

PAGE_FORMAT = PageFormat(LIST_PATH, "instances", "next", "page-token")
DRAINING = "draining"
USABLE_STATES = ("ready", DRAINING)

# An id is sent in a header.
_Id = Annotated[str, msgspec.Meta(pattern=r"\A[!-~]{1,256}\Z")]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Token = Annotated[str, msgspec.Meta(max_length=1024)]


class _Entry(msgspec.Struct):
    """The fields read from an entry; each server has those without a default."""

    id: _Id
    service: _Name
    address: Annotated[str, msgspec.Meta(max_length=64)]
    zone: _Name
    state: str
    version: Annotated[str, msgspec.Meta(max_length=256)]
    slots: _Slots
    born: _UnixMs | None = None
    # Read later, so that a value that is no number costs only itself.
    cold_left_ms: msgspec.Raw = msgspec.field(
        name="cold-left-ms", default=msgspec.Raw()
    )


_decoder = msgspec.json.Decoder(_Entry)


class ServerListReader:
    """Reads the platform's list of servers."""

    def __init__(self, address: Address) -> None:
        self._list = PagedList(address, PAGE_FORMAT)

    async def read(self) -> list[ListedEndpoint]:
        """Return the servers of the list, or raise EndpointListUnread."""
        try:
            entries = map(convert_entry, await self._list.read())
        except ListUnreadable as error:
            raise EndpointListUnread(str(error)) from error
        return [entry for entry in entries if entry is not None]


def convert_entry(raw: bytes) -> ListedEndpoint | None:
    """Convert an entry of the list, or return None if it is no usable server's."""
    try:
        entry = decode_json(raw, _decoder)
    except JsonUnreadable:
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
