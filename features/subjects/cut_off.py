"""Callers of instances that are cut off from all endpoints."""

import threading
import time
from collections import Counter
from dataclasses import dataclass

import anyio
import httpx

from burdockwall.errors import Code
from burdockwall.fakes.partition import Cut, EndpointLink
from features.subjects.platform import HOST, PlatformSite, build_turn_headers

CALLS_PER_S = 10
CALL_LIMIT_S = 3.0
# Each attempt uses a connection of its own, so that none is led elsewhere by a close.
NEW_CONNECTIONS = httpx.Limits(max_keepalive_connections=0)
ORDER = "order-1"
RATE_OWNER_SILENT = Code.LIMIT_UNREACHABLE.value.number
MOST_UNCOUNTED = 5
KINDS = (("GET", "/tool/1"), ("POST", "/order/1"), ("POST", "/chat/1"))


@dataclass(frozen=True, slots=True)
class FirstAttempt:
    """The first attempt of a caller at an instance; status 0 is a broken channel."""

    instance: int
    kind: str
    status: int
    seconds: float
    retry_after: str | None
    code: int | None = None


class CutOffSubject:
    """Calls at both instances of a site while their links to endpoints are cut."""

    def __init__(self, site: PlatformSite) -> None:
        self.site = site
        self.attempts: list[FirstAttempt] = []
        self.links = [EndpointLink() for _ in site.entries]
        self._number = 0
        self.peer_links = [EndpointLink() for _ in site.entries]
        for number, entry in enumerate(site.entries):
            entry.upstreams.open_connection = self.links[number].open
            entry.peer_relay.upstreams.open_connection = self.peer_links[number].open

    def cut(self, number: int, cut: Cut) -> None:
        """Cut an instance off from all endpoints."""
        self.site.call_in_loop(self.links[number - 1].start_cut, cut)

    def heal(self, number: int) -> None:
        """End the cut of an instance."""
        self.site.call_in_loop(self.links[number - 1].heal)

    def call_both(self, seconds: float, instances: tuple[int, ...] = (1, 2)) -> None:
        """Make first attempts of all kinds at instances, and keep their results."""
        self.attempts = []

        async def run() -> None:
            began_at = time.monotonic()
            async with (
                httpx.AsyncClient(
                    trust_env=False, timeout=CALL_LIMIT_S, limits=NEW_CONNECTIONS
                ) as client,
                anyio.create_task_group() as group,
            ):
                for step in range(int(seconds * CALLS_PER_S)):
                    for instance in instances:
                        kind = KINDS[step % len(KINDS)]
                        group.start_soon(self._attempt, client, instance, *kind)
                    due_at = began_at + (step + 1) / CALLS_PER_S
                    await anyio.sleep(max(0.0, due_at - time.monotonic()))

        anyio.run(run)

    async def _attempt(
        self, client: httpx.AsyncClient, instance: int, method: str, path: str
    ) -> None:
        self._number += 1
        request = f"cut-{self._number}"
        headers = {"x-request-id": request, "x-api-key": "key-one"}
        if path.startswith("/chat/"):
            headers = build_turn_headers(request, None, 10_000)
            headers["x-program-id"] = f"program-{request}"
        address = self.site.entries[instance - 1].settings.caller_address
        started_at = time.monotonic()
        status, retry_after, code = 0, None, None
        try:
            answer = await client.request(
                method,
                f"http://{address}{path}",
                headers={"host": HOST, "x-deadline-ms": "2500", **headers},
                content=b"ask" if method == "POST" else None,
            )
            status = answer.status_code
            retry_after = answer.headers.get("retry-after")
            code = None if status == 200 else answer.json().get("code")
        except httpx.TransportError:
            pass
        seconds = time.monotonic() - started_at
        attempt = FirstAttempt(instance, path, status, seconds, retry_after, code)
        self.attempts.append(attempt)

    def _select(self, instance: int) -> list[FirstAttempt]:
        return [item for item in self.attempts if item.instance == instance]

    def compute_served_share(self, instance: int) -> float:
        """Return the share of the latest first attempts that were served.

        A few that waited in vain for the owner of the customer's rate do not count: the
        whole site runs on one loop, which stalls on a busy machine.
        """
        attempts = self._select(instance)
        counted = [item for item in attempts if item.code != RATE_OWNER_SILENT]
        assert len(attempts) - len(counted) <= MOST_UNCOUNTED, attempts
        return sum(item.status == 200 for item in counted) / len(counted)

    def count_failures(self, instance: int) -> Counter[tuple[str, int, int | None]]:
        """Count the latest first attempts that were not served, by kind and code."""
        return Counter(
            (item.kind, item.status, item.code)
            for item in self._select(instance)
            if item.status != 200
        )

    def send_relayed(self, instance: int) -> httpx.Response:
        """Send a request that says that another instance passes it on."""
        headers = {
            "x-request-id": "relayed-1",
            "x-api-key": "key-one",
            "burdockwall-relayed": "1",
        }
        return self.site.send_request("GET", "/tool/1", headers, b"", instance)

    def list_marked_requests(self) -> list[str]:
        """List the requests that endpoints were sent with the mark of a relay."""
        return [
            received.headers["x-request-id"]
            for server in (*self.site.tools, *self.site.engines)
            for received in server.received_requests
            if "burdockwall-relayed" in received.headers
        ]

    def send_order(
        self, limit_s: float, break_peers_after_s: float | None = None
    ) -> FirstAttempt:
        """Send an order to instance 1; break its connections to peers if asked."""
        headers = {
            "x-request-id": ORDER,
            "x-api-key": "key-one",
            "x-deadline-ms": str(int(limit_s * 1000)),
        }
        timers = []
        if break_peers_after_s is not None:

            def break_peers() -> None:
                self.site.call_in_loop(self.peer_links[0].start_cut, Cut.RESET)

            timers.append(threading.Timer(break_peers_after_s, break_peers))
        for timer in timers:
            timer.start()
        started_at = time.monotonic()
        answer = self.site.send_request("POST", "/order/1", headers, b"ask", 1)
        seconds = time.monotonic() - started_at
        for timer in timers:
            timer.join()
        return FirstAttempt(1, "/order/1", answer.status_code, seconds, None)

    def find_order_deadline_ms(self) -> int:
        """Return the time that the endpoint of the order was told of."""
        for tool in self.site.tools:
            for received in tool.received_requests:
                if received.headers["x-request-id"] == ORDER:
                    return int(received.headers["x-deadline-ms"])
        raise AssertionError("no endpoint was sent the order")

    def list_repeated_orders(self) -> list[str]:
        """List the orders that ran at more than one server, or twice at one."""
        runs = Counter(
            received.headers["x-request-id"]
            for tool in self.site.tools
            for received in tool.received_requests
            if received.target.startswith("/order/")
        )
        return [request for request, count in runs.items() if count > 1]

    def list_given_out(self) -> list[int]:
        """List the numbers of the instances that the directory gives out."""
        given_out = self.site.resolve()
        return [
            number
            for number, entry in enumerate(self.site.entries, 1)
            if entry.settings.caller_address in given_out
        ]

    def is_ready(self, number: int) -> bool:
        """Return whether an instance says that it is ready."""
        address = self.site.entries[number - 1].settings.ready_address
        answer = httpx.get(f"http://{address}/api/readyz", trust_env=False)
        return answer.status_code == 200
