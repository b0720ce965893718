"""Loads on endpoints that name a rate limit."""

import bisect
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpx

from burdockwall.fakes.servers import FakeServer
from features.subjects.platform import CALL_TIMEOUT_S, HOST, PlatformSite

WINDOW_S = 4.0
INSTANCES = 2


@dataclass(slots=True)
class Load:
    """A load: when it began, and the status of each answer."""

    started_at: float
    statuses: list[int] = field(default_factory=list)


def run_load(
    site: PlatformSite,
    rate: int,
    seconds: float,
    at: Callable[[float], None] = lambda elapsed_s: None,
) -> Load:
    """Send requests at a rate, in turn at each instance.

    `at` is called before each request with the seconds since the load began.
    """
    load = Load(time.monotonic())

    async def send(client: httpx.AsyncClient, number: int) -> None:
        address = site.entries[number % INSTANCES].settings.caller_address
        answer = await client.get(
            f"http://{address}/tool/1",
            headers={
                "host": HOST,
                "x-api-key": "key-one",
                "x-deadline-ms": "3000",
                "x-request-id": f"load-{load.started_at}-{number}",
            },
        )
        load.statuses.append(answer.status_code)

    async def run() -> None:
        async with (
            httpx.AsyncClient(trust_env=False, timeout=CALL_TIMEOUT_S) as client,
            anyio.create_task_group() as group,
        ):
            for number in range(int(rate * seconds)):
                at(time.monotonic() - load.started_at)
                group.start_soon(send, client, number)
                due_at = load.started_at + (number + 1) / rate
                await anyio.sleep(max(0.0, due_at - time.monotonic()))

    anyio.run(run)
    return load


def count_fullest_window(server: FakeServer, load: Load, start_s: float) -> int:
    """Return the most requests of any window that begins `start_s` into the load."""
    begins_at = load.started_at + start_s
    times = sorted(
        item.received_at
        for item in server.received_requests
        if item.received_at >= begins_at
    )
    return max(
        (
            bisect.bisect_left(times, first + WINDOW_S) - index
            for index, first in enumerate(times)
        ),
        default=0,
    )
