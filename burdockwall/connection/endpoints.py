"""Pooled httpx clients for endpoints, with one pool for each endpoint."""

import ssl
import uuid
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Protocol

import anyio
import httpx
import msgspec

from burdockwall.connection.address import AddressUnreadable, split_address
from burdockwall.connection.bounded_transport import (
    BoundedTransport,
    check_named,
    record_head,
)
from burdockwall.connection.client import PLAIN_ANSWERS
from burdockwall.connection.exchange import Headers
from burdockwall.connection.figures import read_decimal
from burdockwall.connection.upstream import FINAL_STATUSES, Probe, is_refusal
from burdockwall.types import Address, EndpointId
from burdockwall.version.configuration import Endpoint


class ReachObserver(Protocol):
    """Is told what requests show about the path to the endpoints."""

    def record_connect(self, address: Address, opened: bool) -> None:
        """Record whether a connection to an address could be opened."""
        ...

    def record_sent(self) -> None:
        """Record that a request is sent and its answer is awaited."""
        ...

    def record_heard(self) -> None:
        """Record that an answer began."""
        ...

    def record_ended(self) -> None:
        """Record that an answer is no longer awaited."""
        ...


ObserveLimit = Callable[[EndpointId, float | None], None]

# httpx checks every connection of its pool for each request, so the cost of a pool
# grows with the square of its size. Several small pools avoid that.
STREAMS_PER_CLIENT = 8
IDLE_CLIENTS_PER_ENDPOINT = 4
# The header that names a request, and that an endpoint may repeat in its answer.
REQUEST_ID = "request-id"
# The header in which an endpoint names the requests a second that it takes.
RATE_LIMIT = "request-limit"


def read_rate_limit(headers: httpx.Headers) -> float | None:
    """Return the lowest request rate that an answer names, or None."""
    values = headers.get_list(RATE_LIMIT, split_commas=True)
    return find_lowest_rate(values)


def find_lowest_rate(values: Iterable[str]) -> float | None:
    """Return the lowest number of requests per second, or None if there is none."""
    rates = [read_decimal(value.strip()) for value in values]
    return min((rate for rate in rates if rate is not None and rate >= 0), default=None)


def _check_status(endpoint: Endpoint, response: httpx.Response) -> None:
    """Raise httpx.RemoteProtocolError if the status of an answer is invalid."""
    if response.status_code not in FINAL_STATUSES:
        detail = f"endpoint {endpoint.name} answered {response.status_code}"
        raise httpx.RemoteProtocolError(detail)


def _number_request(headers: Headers) -> tuple[str, Headers]:
    """Return the id of a request and its headers, with a new id if they have none."""
    for name, value in headers:
        if name == REQUEST_ID.encode():
            return value.decode("latin-1"), headers
    request = uuid.uuid4().hex
    return request, [*headers, (REQUEST_ID.encode(), request.encode())]


class PooledClient(msgspec.Struct, eq=False):
    """A client, its number of open streams, and whether its pool has removed it."""

    client: httpx.AsyncClient
    open_streams: int = 0
    removed: bool = False


class EndpointPool(msgspec.Struct):
    """The clients for one address of an endpoint, the oldest first."""

    clients: list[PooledClient] = msgspec.field(default_factory=list)

    def find(self) -> PooledClient | None:
        """Return the oldest client that can open another stream, or None."""
        for pooled in self.clients:
            if pooled.open_streams < STREAMS_PER_CLIENT:
                return pooled
        return None

    def is_surplus(self, pooled: PooledClient) -> bool:
        """Return whether a client is idle and the pool has too many idle clients."""
        idle = sum(not other.open_streams for other in self.clients)
        return not pooled.open_streams and idle > IDLE_CLIENTS_PER_ENDPOINT


class EndpointClients:
    """The pooled clients of all endpoints, by endpoint and address.

    A stream fails if connecting takes longer than `connect_s`, or if nothing arrives
    for `silence_s`. `observe_limit` is told what each answer to a call says about the
    rate that its endpoint takes.
    """

    def __init__(
        self,
        connect_s: float,
        silence_s: float,
        observe_limit: ObserveLimit = lambda endpoint, rate_per_s: None,
    ) -> None:
        self.observe_limit = observe_limit
        self.observer: ReachObserver | None = None
        self.open_socket = anyio.connect_tcp
        self.connect_s = connect_s
        self.silence_s = silence_s
        self.replacements = 0
        self._tls = ssl.create_default_context()
        self._pools: dict[tuple[EndpointId, Address], EndpointPool] = {}

    def _get_pool(self, endpoint: Endpoint) -> EndpointPool:
        key = (endpoint.name, endpoint.address)
        return self._pools.setdefault(key, EndpointPool())

    def _acquire_client(self, endpoint: Endpoint) -> PooledClient:
        pool = self._get_pool(endpoint)
        pooled = pool.find()
        if pooled is None:
            pooled = PooledClient(self._create_client(endpoint))
            pool.clients.append(pooled)
        pooled.open_streams += 1
        return pooled

    async def _release_client(self, endpoint: Endpoint, pooled: PooledClient) -> None:
        pooled.open_streams -= 1
        pool = self._get_pool(endpoint)
        if not pooled.removed and pool.is_surplus(pooled):
            pool.clients.remove(pooled)
            pooled.removed = True
        if pooled.removed and not pooled.open_streams:
            with anyio.CancelScope(shield=True):
                await pooled.client.aclose()

    def create_transport(self, limits: httpx.Limits) -> httpx.AsyncBaseTransport:
        """Create what opens the connections of a client."""
        return BoundedTransport(self._tls, limits)

    def _create_client(self, endpoint: Endpoint) -> httpx.AsyncClient:
        try:
            split_address(endpoint.address)
        except AddressUnreadable as error:
            raise httpx.ConnectError(str(error)) from error
        limits = httpx.Limits(
            max_connections=STREAMS_PER_CLIENT,
            max_keepalive_connections=STREAMS_PER_CLIENT,
        )
        transport = self.create_transport(limits)
        scheme = "https" if endpoint.tls else "http"
        return httpx.AsyncClient(
            base_url=f"{scheme}://{endpoint.address}",
            headers=PLAIN_ANSWERS,
            transport=transport,
            timeout=httpx.Timeout(self.silence_s, connect=self.connect_s),
            trust_env=False,
        )

    async def replace(self, endpoint: Endpoint) -> None:
        """Use new connections from now on; open streams keep theirs."""
        pool = self._pools.pop((endpoint.name, endpoint.address), None)
        if pool is None:
            return
        self.replacements += 1
        for pooled in pool.clients:
            pooled.removed = True
            if not pooled.open_streams:
                await pooled.client.aclose()

    @asynccontextmanager
    async def open_stream(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Headers,
        content: bytes | AsyncIterator[bytes] | None,
        is_call: bool = False,
    ) -> AsyncIterator[httpx.Response]:
        """Send a request and yield its answer before the body is read.

        A call counts against the rate that the endpoint takes; other requests do not.

        Raise httpx.RemoteProtocolError if the answer names another request, as a late
        copy on a connection that is in use again does, or none where others did, or if
        its status is invalid.
        """
        request, headers = _number_request(headers)
        pooled = self._acquire_client(endpoint)
        observer = self.observer
        if observer is not None:
            observer.record_sent()
        try:
            async with pooled.client.stream(
                method, path, headers=headers, content=content
            ) as response:
                answered = response.headers.get(REQUEST_ID)
                record_head(response)
                _check_status(endpoint, response)
                if is_call:
                    check_named(response, answered is not None)
                if observer is not None:
                    observer.record_heard()
                if answered not in (None, request):
                    detail = f"endpoint {endpoint.name} answered request {answered}"
                    raise httpx.RemoteProtocolError(detail)
                if is_call:
                    rate_per_s = read_rate_limit(response.headers)
                    self.observe_limit(endpoint.name, rate_per_s)
                yield response
        except (httpx.ConnectError, httpx.ConnectTimeout):
            if observer is not None:
                observer.record_connect(endpoint.address, False)
            raise
        finally:
            if observer is not None:
                observer.record_ended()
            await self._release_client(endpoint, pooled)

    async def check(self, address: Address) -> Probe:
        """Open a connection to an address, and report whether it could be opened."""
        probe = Probe.UNKNOWN
        try:
            host, port = split_address(address)
            with anyio.fail_after(self.connect_s):
                stream = await self.open_socket(host, port)
            probe = Probe.OPENED
            await stream.aclose()
        except OSError as error:
            if is_refusal(error):
                probe = Probe.REFUSED
        if self.observer is not None:
            self.observer.record_connect(address, probe is Probe.OPENED)
        return probe

    async def probe(self, address: Address) -> Probe:
        """Return whether an endpoint listens."""
        return await self.check(address)

    async def close(self) -> None:
        """Close every connection."""
        pools = list(self._pools.values())
        # Cleared first, so that no new stream uses a client that is being closed.
        self._pools.clear()
        for pool in pools:
            for pooled in pool.clients:
                pooled.removed = True
                await pooled.client.aclose()
