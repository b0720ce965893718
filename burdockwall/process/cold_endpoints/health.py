"""Ask an endpoint over a connection of its own how long it stays cold."""

from typing import Protocol

import anyio

from burdockwall.connection.exchange import Headers
from burdockwall.connection.upstream import (
    AnswerHead,
    AnswerOwner,
    ConnectFailed,
    ConnectionBroken,
    open_upstream,
)
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.request.codec import AnswerDetails

# A usual health request takes a few milliseconds; a silent endpoint stays suspected.
CHECK_TIMEOUT_S = 0.4


class HealthRefused(Exception):
    """The endpoint's machine answered that no process listens."""


class HealthCodec(Protocol):
    """Builds the headers of health requests, and reads their responses."""

    def build_health_headers(self, endpoint: ListedEndpoint) -> Headers:
        """Build the headers of a request for the health of an endpoint."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerDetails:
        """Read the details of an answer from its status and headers."""
        ...


async def ask_health(
    codec: HealthCodec, endpoint: ListedEndpoint, path: str
) -> float | None:
    """Return how long an endpoint stays cold, or None if it does not say.

    Raise HealthRefused if it is down.
    """
    if not path:
        return None
    try:
        with anyio.fail_after(CHECK_TIMEOUT_S):
            connection = await open_upstream(endpoint.address, CHECK_TIMEOUT_S)
            try:
                headers = codec.build_health_headers(endpoint)
                await connection.send("GET", path, headers, b"")
                head = await connection.read_head(lambda received: AnswerOwner.UNNAMED)
            finally:
                await connection.close()
    except ConnectFailed as error:
        if error.refused:
            raise HealthRefused(str(error)) from error
        return None
    except (ConnectionBroken, TimeoutError):
        return None
    details = codec.read_answer(head)
    return None if details.misdirected else details.cold_left_s
