"""Requests that crash the endpoints that run them, on a whole site."""

import time
from dataclasses import dataclass, field

import anyio
import httpx

from burdockwall.fakes.servers import FakeServer
from features.subjects.platform import (
    CALL_TIMEOUT_S,
    HOST,
    PlatformSite,
    build_turn_headers,
)

SERVERS = 5
INSTANCES = 2
CRASHES_ALLOWED = 3
# A refusal comes within this time, also on a busy machine.
AT_ONCE_S = 0.5


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that a caller sent, and its answer; `status` is 0 if none came."""

    at: float
    took_s: float
    status: int
    code: int | None
    retry_after: str | None


@dataclass(slots=True)
class Callers:
    """Callers that send the same request again and again, under new ids."""

    site: PlatformSite
    method: str = "POST"
    path: str = "/tool/1"
    key: str = "key-one"
    is_turn: bool = False
    sent: list[Sent] = field(default_factory=list)

    async def send(
        self, client: httpx.AsyncClient, body: bytes, number: int, instance: int
    ) -> None:
        """Send a request once at an instance, the first of which is 0."""
        address = self.site.entries[instance].settings.caller_address
        headers = {
            "host": HOST,
            "x-api-key": self.key,
            "x-deadline-ms": "3000",
            "x-request-id": f"{self.key}-{id(self)}-{number}",
        }
        if self.is_turn:
            turn = build_turn_headers(headers["x-request-id"], None, 10_000)
            headers |= turn | {"x-program-id": f"program-{number}"}
        started_at = time.monotonic()
        status, code, retry_after = 0, None, None
        try:
            answer = await client.request(
                self.method,
                f"http://{address}{self.path}",
                headers=headers,
                content=body,
            )
            status, retry_after = answer.status_code, answer.headers.get("retry-after")
            if answer.headers.get("content-type", "").startswith("application/json"):
                code = answer.json()["code"]
        except httpx.TransportError:
            pass
        took_s = time.monotonic() - started_at
        self.sent.append(Sent(started_at, took_s, status, code, retry_after))

    async def send_repeatedly(
        self, body: bytes, interval_s: float, seconds: float
    ) -> None:
        """Send a body at an interval, in turn at each instance."""
        began_at = time.monotonic()
        async with (
            httpx.AsyncClient(trust_env=False, timeout=CALL_TIMEOUT_S) as client,
            anyio.create_task_group() as group,
        ):
            for number in range(int(seconds / interval_s)):
                group.start_soon(self.send, client, body, number, number % INSTANCES)
                due_at = began_at + (number + 1) * interval_s
                await anyio.sleep(max(0.0, due_at - time.monotonic()))


def create_tools(text: bytes) -> list[FakeServer]:
    """Create tool servers that crash on a text in a request's body."""
    return [
        FakeServer(f"tool-{n}", "tools", crashes_on=(text,), started_ms=1)
        for n in range(1, SERVERS + 1)
    ]


def list_arrivals(servers: list[FakeServer], body: bytes) -> list[float]:
    """List when requests with a body reached servers, the earliest first."""
    return sorted(
        item.received_at
        for server in servers
        for item in server.received_requests
        if item.body == body
    )


def find_third_crash(servers: list[FakeServer]) -> float:
    """Return when the third server crashed."""
    times = sorted(at for server in servers for at in server.crash_times)
    return times[CRASHES_ALLOWED - 1]
