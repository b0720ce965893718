"""Callers of an instance that is stopped as planned, and the shutdown by itself."""

import json
import socket
import threading
import time
from dataclasses import dataclass, field

import anyio
import httpx

from burdockwall.fakes.site import Site, create_plan
from burdockwall.machine import Tick
from burdockwall.process.drain import Drain, RequestsInFlight, StartDrain
from features.subjects.path import MODEL, PathSubject
from features.subjects.platform import (
    CALL_TIMEOUT_S,
    HOST,
    PlatformSite,
    build_turn_headers,
)

# A whole answer takes some seconds at this pace.
SLOW_TOKEN_S = 0.5
STREAM_INTERVAL_S = 0.1
STREAM_EVENTS = 4
BUDGET_TOKENS = 10_000
# A deadline that is later than the route's timeout.
LATE_DEADLINE_MS = "60000"
# By then a request has reached its server.
BEFORE_STOP_S = 0.5

# More than a caller sends until the instance has stopped.
MOST_CALLS = 1000


class PersistentCallers:
    """Callers that use their open connections until the instance is gone."""

    def __init__(self, site: PlatformSite) -> None:
        self.site = site
        self.answered: set[str] = set()
        self.after_stop = 0
        self._stopping = False

    def run(self, count: int, before_s: float) -> None:
        """Run `count` callers, and stop instance 1 after `before_s`."""
        callers = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(count)
        ]
        for caller in callers:
            caller.start()
        time.sleep(before_s)
        self.site.stop_entry(1)
        self._stopping = True
        for caller in callers:
            caller.join()

    def _call(self, caller: int) -> None:
        address = self.site.entries[0].settings.caller_address
        base = f"http://{address}"
        with httpx.Client(base_url=base, trust_env=False) as client:
            for number in range(MOST_CALLS):
                request = f"{caller:08x}{number:08x}"
                headers = {"host": HOST, "x-api-key": "key-one"}
                headers |= {"x-request-id": request, "x-deadline-ms": "3000"}
                try:
                    client.get("/tool/1", headers=headers, timeout=CALL_TIMEOUT_S)
                except httpx.HTTPError:
                    return
                self.answered.add(request)
                self.after_stop += self._stopping

    def list_unanswered(self) -> list[str]:
        """List the requests that a tool server received and no answer came to."""
        received = {
            request.headers["x-request-id"]
            for tool in self.site.tools
            for request in tool.received_requests
        }
        return sorted(received - self.answered)


def create_stream_site(stream_s: float, limit_s: float) -> PlatformSite:
    """Create a site whose streams last so long and whose planned stops are limited."""
    site = PlatformSite()
    site.engine.event_count = STREAM_EVENTS
    site.engine.delay_s = stream_s / STREAM_EVENTS
    site.start()
    settings = site.entries[0].settings
    settings.drain_hold_s, settings.drain_limit_s = limit_s, limit_s
    return site


@dataclass(slots=True)
class StoppedRequest:
    """A request around a planned stop, and what its caller received; times from it."""

    request: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    whole: bool = False
    events: int = 0
    code: int = 0
    error: str = ""
    headers: httpx.Headers = field(default_factory=httpx.Headers)


class LateCallers:
    """Callers that come to an instance until it has stopped, each on a connection."""

    def __init__(self, site: PlatformSite) -> None:
        self.site = site
        self.requests: list[StoppedRequest] = []
        self._stopped_at = 0.0
        # Each request has a connection of its own; one client saves processor time.
        self._client = httpx.Client(
            limits=httpx.Limits(max_keepalive_connections=0),
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )

    def run(self, deadline_s: float) -> None:
        """Stop instance 1, and begin streams there until it takes no connection."""
        self._stop()
        callers = []
        while self._takes_connections():
            name = f"late-{len(callers)}"
            caller = threading.Thread(
                target=self._ask, args=("/trace/1", name, str(int(1000 * deadline_s)))
            )
            caller.start()
            callers.append(caller)
            time.sleep(STREAM_INTERVAL_S)
        for caller in callers:
            caller.join()

    def stop_with_work(self) -> None:
        """Stop instance 1 while an unsafe request and a stream are under way there."""
        callers = [
            threading.Thread(target=self._ask, args=(path, name, LATE_DEADLINE_MS))
            for path, name in (("/order/1", "order"), ("/trace/1", "stream"))
        ]
        self._stopped_at = time.monotonic()
        for caller in callers:
            caller.start()
        time.sleep(BEFORE_STOP_S)
        self._stop()
        for caller in callers:
            caller.join()

    def find(self, name: str) -> StoppedRequest:
        """Return the request with an id."""
        return next(item for item in self.requests if item.request == name)

    def list_received(self) -> set[str]:
        """List the streams that the model server received."""
        received = self.site.engine.received_requests
        return {request.headers["x-request-id"] for request in received}

    def _stop(self) -> None:
        self.site.stop_entry(1)
        self._stopped_at = time.monotonic()

    def _takes_connections(self) -> bool:
        host, _, port = self.site.entries[0].settings.caller_address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), CALL_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return False
        return True

    def _ask(self, path: str, name: str, deadline_ms: str) -> None:
        asked = StoppedRequest(name, time.monotonic() - self._stopped_at)
        headers = build_turn_headers(name, None, BUDGET_TOKENS)
        headers |= {"host": HOST, "x-program-id": name, "x-deadline-ms": deadline_ms}
        if path.startswith("/order"):
            del headers["x-token-usage"]
        address = self.site.entries[0].settings.caller_address
        url = f"http://{address}{path}"
        try:
            with self._client.stream("POST", url, headers=headers) as response:
                asked.status, asked.headers = response.status_code, response.headers
                body = self._read(asked, response)
            if asked.status not in range(200, 300):
                refusal = json.loads(body)
                asked.code, asked.error = refusal["code"], refusal["error"]
        except httpx.ConnectError:
            return
        except httpx.HTTPError:
            pass
        asked.ended_s = time.monotonic() - self._stopped_at
        self.requests.append(asked)

    def _read(self, asked: StoppedRequest, response: httpx.Response) -> bytes:
        body = b""
        for chunk in response.iter_raw():
            body += chunk
            asked.events = body.count(b"\n\n")
        asked.whole = True
        return body


class OwnStop:
    """A planned stop of an own entry while a whole answer is awaited."""

    def __init__(self, limit_s: float) -> None:
        self.plan = create_plan(SLOW_TOKEN_S)
        self.plan.settings.drain_hold_s = limit_s
        self.plan.settings.drain_limit_s = limit_s
        self.status = 0
        self.code = ""
        self.error = ""
        self.ended_s = 0.0
        self._stopped_at = 0.0

    def run(self) -> None:
        """Ask, stop the instance, and wait for the answer."""
        path = PathSubject(self.plan)

        async def act(site: Site, client: httpx.AsyncClient) -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self._ask, path, client)
                await anyio.sleep(BEFORE_STOP_S)
                self._stopped_at = time.monotonic()
                site.node.start_drain()
            await site.node.stop.wait()

        path.run(act)

    async def _ask(self, path: PathSubject, client: httpx.AsyncClient) -> None:
        message = {"role": "user", "content": "question"}
        answer = await client.post(
            "/v1/chat/completions",
            headers=path.build_headers(1),
            json={"model": MODEL, "messages": [message], "stream": False},
            timeout=CALL_TIMEOUT_S,
        )
        self.ended_s = time.monotonic() - self._stopped_at
        self.status = answer.status_code
        self.code = answer.headers.get("burdockwall-code", "")
        self.error = answer.json()["error"]["message"]


class Shutdown:
    """A shutdown at time 0, and what its machine decides as time goes on."""

    def __init__(self, hold_s: float, limit_s: float) -> None:
        self.drain = Drain()
        self.drain.handle(StartDrain(hold_s, limit_s), 0.0)

    def ask(self, at_s: float, ends_in_s: float | None) -> bool:
        """Return whether a request is taken that comes and ends at these times."""
        self.drain.handle(Tick(), at_s)
        ends_at = None if ends_in_s is None else at_s + ends_in_s
        return self.drain.accepts(ends_at)

    def count(self, requests: int, at_s: float) -> list[object]:
        """Report the number of requests in flight, and return the actions."""
        return list(self.drain.handle(RequestsInFlight(requests), at_s))

    def tick(self, at_s: float) -> list[object]:
        """Let the clock reach a time, and return the actions."""
        return list(self.drain.handle(Tick(), at_s))
