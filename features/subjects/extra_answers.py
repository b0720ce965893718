"""Extra answers on a kept connection, whole or cut, before a request's own answer."""

import anyio
import anyio.abc
import httpx

from burdockwall.connection.client import read_limited
from burdockwall.connection.endpoints import EndpointClients
from burdockwall.types import Address, EndpointId, PoolName
from burdockwall.version.configuration import Endpoint
from burdockwall.version.deployment import RequestKind
from features.subjects.answer_site import (
    SIGNATURE,
    AnswerSite,
    CallerView,
    Ending,
    Script,
    ScriptedEndpoint,
)

ID = b"X-Request-Id: %s\r\n"
REFUSED = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
BODY = b"Content-Length: 4\r\n\r\nbusy"
SUCCESS = b"HTTP/1.1 200 OK\r\n" + SIGNATURE
FIRST = SUCCESS + ID % b"one" + b"Content-Length: 5\r\n\r\nfirst"
OWN = SUCCESS + ID % b"two" + b"Content-Length: 6\r\n\r\nsecond"
EXTRAS = {
    "the id of the earlier request": ID % b"one",
    "no id": b"",
    "an empty id": ID % b"",
    "two ids": ID % b"two" + ID % b"one",
    "two ids, its own last": ID % b"one" + ID % b"two",
    "two ids in one line": ID % b"two, one",
}


class ExtraAnswers:
    """A refusal that an endpoint writes once more, before its answer to a request."""

    def __init__(self, named: str) -> None:
        self.extra = REFUSED + EXTRAS[named] + BODY
        self.faults: list[str] = []

    def run_split(self) -> None:
        """Play the extra refusal whole, in two reads divided at each byte."""
        scripts = [
            Script([self.extra[:at], self.extra[at:] + OWN])
            for at in range(len(self.extra) + 1)
        ]
        anyio.run(self._run, scripts, True)

    def run_cut(self) -> None:
        """Play the extra refusal cut at each byte, the own answer right behind it."""
        scripts = [
            Script([self.extra[:cut] + OWN], Ending.CLOSE)
            for cut in range(1, len(self.extra))
        ]
        anyio.run(self._run, scripts, False)

    async def _run(self, scripts: list[Script], is_whole: bool) -> None:
        for number, script in enumerate(scripts):
            endpoint = ScriptedEndpoint("e1", [Script([FIRST]), script])
            other = ScriptedEndpoint("e2", [Script([OWN], Ending.CLOSE)])
            site = AnswerSite([endpoint, other])
            await site.ask(RequestKind.UNSAFE, "one")
            view = await site.ask(RequestKind.UNSAFE, "two")
            self._check(view, number, is_whole)
            if other.requests:
                self.faults.append(f"{number}: ran at a second endpoint: {view}")

    def _check(self, view: CallerView, number: int, is_whole: bool) -> None:
        if view.status in (408, 421, 429, 503):
            self.faults.append(f"{number}: called not run: {view}")
        if view.status == 200 and view.body != b"second":
            self.faults.append(f"{number}: another answer: {view}")
        if is_whole and view.body != b"second":
            self.faults.append(f"{number}: the own answer is lost: {view}")


class UnnamedAnswers:
    """An endpoint whose answers name no request, on connections of their own."""

    def __init__(self) -> None:
        self.views: list[CallerView] = []
        self.opened = 0

    def run(self, count: int) -> None:
        """Ask one request after the other."""

        async def run() -> None:
            answer = SUCCESS + b"Content-Length: 2\r\n\r\nok"
            endpoint = ScriptedEndpoint("e1", [Script([answer])] * count)
            site = AnswerSite([endpoint])
            for number in range(count):
                view = await site.ask(RequestKind.UNSAFE, f"r{number}")
                self.views.append(view)
            self.opened = site.parts.upstreams.opened_count

        anyio.run(run)


def ask_own_interface(named: str) -> bool:
    """Make two calls over one connection; return whether the second one failed.

    The endpoint names the first one's request, and then writes a refusal.
    """
    refusal = REFUSED + EXTRAS[named].replace(b"X-Request-Id", b"Request-Id") + BODY
    first = FIRST.replace(b"X-Request-Id", b"Request-Id")

    async def serve(stream: anyio.abc.SocketStream) -> None:
        for answer in (first, refusal):
            await stream.receive(65536)
            await stream.send(answer)
        await anyio.sleep(1.0)

    async def call(clients: EndpointClients, endpoint: Endpoint, name: str) -> None:
        headers = [(b"request-id", name.encode())]
        async with clients.open_stream(
            endpoint, "GET", "/x", headers, None, is_call=True
        ) as response:
            await read_limited(response, 1000)

    async def run() -> bool:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        endpoint = Endpoint(
            EndpointId("e1"), PoolName("p"), Address(f"127.0.0.1:{port}")
        )
        clients, failed = EndpointClients(1.0, 5.0), False
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            await call(clients, endpoint, "one")
            try:
                await call(clients, endpoint, "two")
            except httpx.RemoteProtocolError:
                failed = True
            await clients.close()
            group.cancel_scope.cancel()
        return failed

    return anyio.run(run)
