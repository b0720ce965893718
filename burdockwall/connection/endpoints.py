"""Reach endpoints through pooled httpx connections, one pool an endpoint."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx

from burdockwall.types import Address, EndpointId
from burdockwall.version.configuration import Endpoint

CONNECTIONS_PER_ENDPOINT = 512
KEEPALIVE_CONNECTIONS = 32


class EndpointClients:
    """Keep one pooled client for each endpoint's address."""

    def __init__(self, connect_s: float, silence_s: float) -> None:
        self.connect_s = connect_s
        self.silence_s = silence_s
        self._clients: dict[tuple[EndpointId, Address], httpx.AsyncClient] = {}

    def get_client(self, endpoint: Endpoint) -> httpx.AsyncClient:
        """Return the client of an endpoint, created at its first use."""
        key = (endpoint.name, endpoint.address)
        client = self._clients.get(key)
        if client is None:
            client = self._create_client(endpoint)
            self._clients[key] = client
        return client

    def _create_client(self, endpoint: Endpoint) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=CONNECTIONS_PER_ENDPOINT,
            max_keepalive_connections=KEEPALIVE_CONNECTIONS,
        )
        timeout = httpx.Timeout(self.silence_s, connect=self.connect_s)
        return httpx.AsyncClient(
            base_url=f"http://{endpoint.address}",
            limits=limits,
            timeout=timeout,
            trust_env=False,
        )

    @asynccontextmanager
    async def open_stream(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        content: bytes | AsyncIterator[bytes] | None,
    ) -> AsyncIterator[httpx.Response]:
        """Send a request and yield its answer while the body is unread."""
        client = self.get_client(endpoint)
        async with client.stream(
            method, path, headers=headers, content=content
        ) as response:
            yield response

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            await client.aclose()
        self._clients.clear()
