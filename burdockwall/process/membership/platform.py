"""Poll the platform's list of live and leaving instances and endpoints.

The list may lag behind the actual state.
"""

from collections.abc import Callable

import anyio
import httpx
import logbook
import msgspec

from burdockwall.connection.client import create_http_client, read_limited
from burdockwall.connection.json_text import JsonUnreadable, decode_json
from burdockwall.types import Address, EndpointId, EndpointState, InstanceId


class PlatformList(msgspec.Struct, frozen=True):
    """List that the platform last published; an absent name no longer exists."""

    instances: dict[InstanceId, EndpointState] = {}
    endpoints: dict[EndpointId, EndpointState] = {}


POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 2.0
LIST_PATH = "/instances"
LIST_LIMIT_BYTES = 4_194_304
_decoder = msgspec.json.Decoder(PlatformList)


class PlatformReader:
    """Reader that polls the platform's list while this instance is the leader."""

    def __init__(
        self,
        address: Address,
        is_leading: Callable[[], bool],
        install: Callable[[PlatformList], None],
    ) -> None:
        self.url = f"http://{address}{LIST_PATH}"
        self.is_leading = is_leading
        self.install = install
        self._logger = logbook.Logger("platform")

    async def run(self) -> None:
        """Poll the list until cancelled."""
        async with create_http_client(POLL_TIMEOUT_S) as client:
            while True:
                if self.is_leading():
                    await self._read(client)
                await anyio.sleep(POLL_INTERVAL_S)

    async def _read(self, client: httpx.AsyncClient) -> None:
        try:
            with anyio.fail_after(POLL_TIMEOUT_S):
                async with client.stream("GET", self.url) as response:
                    response.raise_for_status()
                    text = await read_limited(response, LIST_LIMIT_BYTES)
            published = decode_json(text, _decoder)
        except (httpx.HTTPError, JsonUnreadable, TimeoutError) as error:
            # The last list stays in use; heartbeats detect failures without it.
            self._logger.warning(
                "cannot read the platform's instance list; keeping the previous one",
                extra={"error": str(error)},
            )
            return
        self.install(published)
