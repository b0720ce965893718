"""The platform path's forwarding before endpoints that answer with given bytes."""

import random
import socket
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from types import SimpleNamespace

import anyio
import anyio.abc
from anyio.abc import SocketAttribute

from burdockwall.connection.exchange import Exchange
from burdockwall.connection.upstream import UpstreamConnection
from burdockwall.connection.upstream_pools import UpstreamPools
from burdockwall.errors import RequestRefused
from burdockwall.platform.codec import PlatformCodec
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.resolver import EntryInstance
from burdockwall.process.scheduling.balance import Balancer
from burdockwall.process.scheduling.endpoint_health import EndpointHealth
from burdockwall.process.scheduling.hedge_delay import HedgeDelay
from burdockwall.process.scheduling.peer_choice import PeerChoice
from burdockwall.request.forwarding import Forwarding
from burdockwall.request.peer_relay import PeerRelay
from burdockwall.request.trace import RequestTrace
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    RouteName,
    ServiceName,
)
from burdockwall.version.deployment import (
    Deployment,
    DeploymentView,
    HostRoute,
    HostService,
    RequestKind,
    ServiceShare,
)

HOST = "h.example"
SERVICE = ServiceName("tools")
DOMAIN = FailureDomain("a")
TIMEOUT_S = 0.4
# Each answer of an endpoint has a signature.
SIGNATURE = b"X-Server-Stamp: s\r\n"
MAX_ATTEMPTS = 2


class Ending(Enum):
    """What an endpoint does after the bytes of its answer."""

    CLOSE = "close"
    RESET = "reset"
    KEEP = "keep"


@dataclass(frozen=True, slots=True)
class Script:
    """The bytes that an endpoint answers one request with, a read each."""

    parts: Sequence[bytes]
    ending: Ending = Ending.KEEP


class ScriptedStream(anyio.abc.ByteStream):
    """A connection whose requests are answered by the scripts of its endpoint."""

    def __init__(self, endpoint: "ScriptedEndpoint") -> None:
        self.endpoint = endpoint
        self._own, self._peer = socket.socketpair()
        self._parts: list[bytes] = []
        self._ending = Ending.KEEP

    @property
    def extra_attributes(self):
        return {SocketAttribute.raw_socket: lambda: self._own}

    async def send(self, item: bytes) -> None:
        self.endpoint.requests.append(item)
        script = self.endpoint.scripts.pop(0)
        self._parts += [part for part in script.parts if part]
        self._ending = script.ending

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if self._parts:
            return self._parts.pop(0)
        match self._ending:
            case Ending.CLOSE:
                raise anyio.EndOfStream
            case Ending.RESET:
                raise anyio.BrokenResourceError
            case Ending.KEEP:
                await anyio.sleep_forever()

    async def send_eof(self) -> None:
        pass

    async def aclose(self) -> None:
        self._own.close()
        self._peer.close()


@dataclass(slots=True)
class ScriptedEndpoint:
    """An endpoint, its scripts in order, and the requests that it was sent."""

    name: str
    scripts: list[Script]
    requests: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class CallerView:
    """What a caller has received of an answer; `whole` if its end came too."""

    status: int = 0
    body: bytes = b""
    whole: bool = False
    code: int = 0


class _Endpoints:
    """The list of the scripted endpoints."""

    def __init__(self, listed: list[ListedEndpoint]) -> None:
        self.listed = listed

    def list_accepting(self, service):
        return self.listed

    def list_evacuated(self, service):
        return []

    def is_evacuated(self, endpoint):
        return False


class _Permits:
    """No endpoint is limited."""

    def is_exhausted(self, endpoint):
        return False

    needs_permit = may_be_cold = is_exhausted

    async def acquire(self, endpoint):
        return True

    def observe(self, endpoint, value):
        pass

    observe_cold = observe

    def suspect(self, endpoint):
        pass


class _Quiet:
    """Takes what is reported of requests, and keeps nothing."""

    cut_off = False

    def check(self, identify):
        pass

    record_answered = record_broken = check

    def record_sent(self):
        pass

    record_heard = record_ended = record_sent


class AnswerSite:
    """Forwards requests of callers to scripted endpoints, in their order."""

    def __init__(self, endpoints: list[ScriptedEndpoint]) -> None:
        self.endpoints = {item.name: item for item in endpoints}
        self.clock = anyio.current_time
        suspects = _Quiet()
        suspects.host = SimpleNamespace(clock=self.clock)
        upstreams = UpstreamPools(self.clock)
        upstreams.open_connection = self._open
        health = EndpointHealth(Incarnation(1), lambda: 0.0, lambda leader: False)
        listed = [
            ListedEndpoint(
                EndpointId(name), SERVICE, Address(f"{name}:80"), DOMAIN, 8 - number
            )
            for number, name in enumerate(self.endpoints)
        ]
        self.parts = SimpleNamespace(
            codec=PlatformCodec(),
            upstreams=upstreams,
            endpoints=_Endpoints(listed),
            balancer=Balancer(DOMAIN, _First(), upstreams.has_idle),
            turn_client=None,
            clock=self.clock,
            count_instances=lambda: 1,
            is_leaving=lambda: False,
            settle_later=None,
            admit=None,
            hedge_delay=HedgeDelay(),
            endpoint_limits=_Permits(),
            reach=_Quiet(),
            crashes=suspects,
            regions=SimpleNamespace(find_allowed=lambda route, customer: None),
            health=health,
            unreadable_loads=None,
            program_wait_s=0.0,
        )

    async def _open(self, address, timeout_s) -> UpstreamConnection:
        endpoint = self.endpoints[address.partition(":")[0]]
        return UpstreamConnection(ScriptedStream(endpoint))

    async def ask(self, kind: RequestKind, request: str) -> CallerView:
        """Forward a request of a kind, and return what its caller has received."""
        route = HostRoute(
            name=RouteName(kind.value),
            host=HOST,
            prefix="/",
            kind=kind,
            timeout_s=TIMEOUT_S,
            rank=0,
            shares=(ServiceShare(SERVICE, 1),),
            max_attempts=MAX_ATTEMPTS,
            retains_turns=False,
            retention_s=0.0,
            open=True,
        )
        deployment = Deployment(1, (route,), {SERVICE: HostService(SERVICE, 8)}, ())
        view = CallerView()
        exchange = _create_exchange(view, request)
        forwarding = Forwarding(
            self.parts,
            DeploymentView(deployment),
            exchange,
            self.parts.codec.read_request(exchange),
            route,
            None,
            b"input",
            RequestTrace(request, self.clock()),
        )
        await self._answer(forwarding.run(), exchange, view, request)
        return view

    async def relay(self, request: str) -> CallerView:
        """Relay a request to the first endpoint as a peer."""
        view = CallerView()
        exchange = _create_exchange(view, request)
        name, *_ = self.endpoints
        peer = EntryInstance(InstanceId(name), Address(f"{name}:80"), DOMAIN)
        choice = PeerChoice(InstanceId("own"), DOMAIN, random.Random(1))
        parts = self.parts
        relay = PeerRelay(
            parts.codec, parts.upstreams, choice, lambda: [peer], self.clock
        )
        serving = relay.serve(
            exchange,
            parts.codec.read_request(exchange),
            b"input",
            self.clock() + TIMEOUT_S,
            RequestTrace(request, self.clock()),
        )
        await self._answer(serving, exchange, view, request)
        return view

    async def _answer(
        self,
        serving: Awaitable[None],
        exchange: Exchange,
        view: CallerView,
        request: str,
    ) -> None:
        try:
            await serving
        except RequestRefused as error:
            view.code = error.code.value.number
            if not exchange.started:
                view.status = self.parts.codec.build_refusal(error, request).status


def _create_exchange(view: CallerView, request: str) -> Exchange:
    async def send(event) -> None:
        if event["type"] == "http.response.start":
            view.status = event["status"]
            return
        view.body += event["body"]
        view.whole = not event.get("more_body", False)

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": False}

    scope = {
        "method": "POST",
        "path": "/x",
        "raw_path": b"/x",
        "query_string": b"",
        "headers": [
            (b"host", HOST.encode()),
            (b"x-request-id", request.encode()),
        ],
    }
    return Exchange(scope, receive, send, 1.0)


class _First:
    """Chooses the first of equal endpoints."""

    def random(self) -> float:
        return 0.0
