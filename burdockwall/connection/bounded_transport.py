"""An HTTP transport that gives up answers whose head never comes.

Interim answers may come without end before the head. Each is a sign of life to the time
limit of a read, so the reads and bytes up to the head are bounded too.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore
import httpx

from burdockwall.connection.keepalive import SOCKET_OPTIONS

MAX_READS_BEFORE_HEAD = 256
# A read that brings the head may bring some of the body too.
MAX_BYTES_BEFORE_HEAD = 262_144


class BoundedStream(httpcore.AsyncNetworkStream):
    """A connection that counts what comes after a request until its answer's head.

    `names_requests` is true once the answer to a call on it has named its request.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.stream = stream
        self.names_requests = False
        self._awaits_head = False
        self._reads = 0
        self._bytes = 0

    def record_head(self) -> None:
        """Record that the head has come, so that what follows is not counted."""
        self._awaits_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes; raise RemoteProtocolError if the head does not come."""
        data = await self.stream.read(max_bytes, timeout)
        if self._awaits_head:
            self._reads += 1
            self._bytes += len(data)
            if (
                self._reads > MAX_READS_BEFORE_HEAD
                or self._bytes > MAX_BYTES_BEFORE_HEAD
            ):
                raise httpcore.RemoteProtocolError("the answer has no head")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes of a request."""
        self._awaits_head = True
        self._reads = self._bytes = 0
        await self.stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS on the connection."""
        stream = await self.stream.start_tls(ssl_context, server_hostname, timeout)
        return BoundedStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return a detail of the connection."""
        return self.stream.get_extra_info(info)


class _BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that count what comes before a head."""

    def __init__(self) -> None:
        self.backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self.backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return BoundedStream(stream)

    async def sleep(self, seconds: float) -> None:
        await self.backend.sleep(seconds)


class BoundedTransport(httpx.AsyncHTTPTransport):
    """An HTTP transport whose connections bound what comes before a head."""

    def __init__(self, tls: ssl.SSLContext, limits: httpx.Limits) -> None:
        super().__init__(verify=tls, trust_env=False)
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=tls,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_BoundedBackend(),
            socket_options=SOCKET_OPTIONS,
        )


def record_head(response: httpx.Response) -> None:
    """Record that the head of an answer has come over its connection."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, BoundedStream):
        stream.record_head()


def check_named(response: httpx.Response, names_request: bool) -> None:
    """Raise httpx.RemoteProtocolError if a call's answer names none, as others did.

    An extra answer must not end a request that the endpoint may be running.
    """
    stream = response.extensions.get("network_stream")
    if not isinstance(stream, BoundedStream):
        return
    if stream.names_requests and not names_request:
        raise httpx.RemoteProtocolError("the answer names no request")
    stream.names_requests = names_request
