"""Reach endpoints through pooled httpx connections, one pool an endpoint."""

import socket
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httpx

from burdockwall.connection.exchange import Headers
from burdockwall.types import Address, EndpointId
from burdockwall.version.configuration import Endpoint

CONNECTIONS_PER_ENDPOINT = 512
KEEPALIVE_CONNECTIONS = 32
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBE_COUNT = 3
UNACKNOWLEDGED_LIMIT_MS = 5000

# A path that has lost track of a connection shows by unanswered probes.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
)


@dataclass(slots=True)
class PooledClient:
    """Hold a client, the streams open on it, and whether it was replaced."""

    client: httpx.AsyncClient
    open_streams: int = 0
    replaced: bool = False


class EndpointClients:
    """Keep one pooled client for each endpoint's address."""

    def __init__(self, connect_s: float, silence_s: float) -> None:
        self.connect_s = connect_s
        self.silence_s = silence_s
        self.replacements = 0
        self._tls = ssl.create_default_context()
        self._clients: dict[tuple[EndpointId, Address], PooledClient] = {}

    def _get_client(self, endpoint: Endpoint) -> PooledClient:
        key = (endpoint.name, endpoint.address)
        pooled = self._clients.get(key)
        if pooled is None:
            pooled = PooledClient(self._create_client(endpoint))
            self._clients[key] = pooled
        return pooled

    def _create_client(self, endpoint: Endpoint) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=CONNECTIONS_PER_ENDPOINT,
            max_keepalive_connections=KEEPALIVE_CONNECTIONS,
        )
        transport = httpx.AsyncHTTPTransport(
            verify=self._tls,
            limits=limits,
            trust_env=False,
            socket_options=SOCKET_OPTIONS,
        )
        scheme = "https" if endpoint.tls else "http"
        return httpx.AsyncClient(
            base_url=f"{scheme}://{endpoint.address}",
            transport=transport,
            timeout=httpx.Timeout(self.silence_s, connect=self.connect_s),
            trust_env=False,
        )

    def replace(self, endpoint: Endpoint) -> None:
        """Use fresh connections from now on; streams under way keep theirs."""
        pooled = self._clients.pop((endpoint.name, endpoint.address), None)
        if pooled is not None:
            pooled.replaced = True
            self.replacements += 1

    @asynccontextmanager
    async def open_stream(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Headers,
        content: bytes | AsyncIterator[bytes] | None,
    ) -> AsyncIterator[httpx.Response]:
        """Send a request and yield its answer while the body is unread."""
        pooled = self._get_client(endpoint)
        pooled.open_streams += 1
        try:
            async with pooled.client.stream(
                method, path, headers=headers, content=content
            ) as response:
                yield response
        finally:
            pooled.open_streams -= 1
            if pooled.replaced and not pooled.open_streams:
                await pooled.client.aclose()

    async def close(self) -> None:
        """Close every connection."""
        for pooled in self._clients.values():
            await pooled.client.aclose()
        self._clients.clear()
