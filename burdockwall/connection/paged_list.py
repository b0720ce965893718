"""Read a JSON list that comes in pages, and whose items different programs write."""

from typing import Annotated

import anyio
import httpx
import msgspec

from burdockwall.connection.client import create_http_client, read_limited
from burdockwall.connection.json_text import (
    JsonUnreadable,
    decode_json,
    split_array,
    split_object,
)
from burdockwall.types import Address

READ_TIMEOUT_S = 1.5
# Of a whole page, whose bytes may come one by one.
PAGE_TIMEOUT_S = 5.0
MAX_PAGES = 100
MAX_PAGE_BYTES = 4_194_304
MAX_ITEMS = 50_000

_Token = Annotated[str, msgspec.Meta(max_length=1024)]
_members_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_items_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_token_decoder = msgspec.json.Decoder(_Token | None)


class ListUnreadable(Exception):
    """A list can't be fetched, or one of its pages can't be read."""


class PageFormat(msgspec.Struct, frozen=True):
    """The path of a list, the names in its pages, and that of a page's query."""

    path: str
    items: str
    following: str
    token: str


class PagedList:
    """Reads a list page by page; what is wrong with an item costs only that item."""

    def __init__(self, address: Address, page_format: PageFormat) -> None:
        self.format = page_format
        self._client = create_http_client(READ_TIMEOUT_S, f"http://{address}")

    async def read(self) -> list[bytes]:
        """Return the items as they stand, or raise ListUnreadable."""
        items: list[bytes] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page, token = await self._read_page(token)
            items += page
            if len(items) > MAX_ITEMS:
                raise ListUnreadable(f"the list has over {MAX_ITEMS} entries")
            if not token:
                return items
        raise ListUnreadable(f"the list has over {MAX_PAGES} pages")

    async def _read_page(self, token: str | None) -> tuple[list[bytes], str | None]:
        """Return the items of a page, and the token of the next one."""
        path = self.format.path
        query = {self.format.token: token} if token else {}
        try:
            with anyio.fail_after(PAGE_TIMEOUT_S):
                async with self._client.stream("GET", path, params=query) as response:
                    response.raise_for_status()
                    text = await read_limited(response, MAX_PAGE_BYTES)
            return self._decode_page(text)
        except (httpx.HTTPError, JsonUnreadable, TimeoutError) as error:
            raise ListUnreadable(f"{type(error).__name__}: {error}") from error

    def _decode_page(self, text: bytes) -> tuple[list[bytes], str | None]:
        members = _decode_members(text)
        items = _decode_items(members.get(self.format.items, b""))
        token = members.get(self.format.following, b"null")
        return items, decode_json(token, _token_decoder)


def _decode_members(text: bytes) -> dict[str, bytes]:
    try:
        members = decode_json(text, _members_decoder)
    except JsonUnreadable:
        # An item may be what can't be read, so the text is only split.
        return split_object(text)
    return {name: bytes(value) for name, value in members.items()}


def _decode_items(text: bytes) -> list[bytes]:
    try:
        return [bytes(item) for item in decode_json(text, _items_decoder)]
    except JsonUnreadable:
        return split_array(text)
