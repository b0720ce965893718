"""Loads on endpoints that name a rate limit."""

import bisect
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpx

from burdockwall.connection.upstream import AnswerHead
from burdockwall.fakes.servers import FakeServer
from burdockwall.machine import Receive
from burdockwall.platform.codec import PlatformCodec
from burdockwall.process.endpoint_limits.holder import (
    Ask,
    Decided,
    ObserveAnswer,
    OwnerInstalled,
    PermitHolder,
)
from burdockwall.process.endpoint_limits.messages import (
    GrantPermits,
    PermitDecision,
    RateObservation,
)
from burdockwall.types import CallId, EndpointId, Incarnation, InstanceId, Term
from features.subjects.platform import CALL_TIMEOUT_S, HOST, PlatformSite

WINDOW_S = 4.0
INSTANCES = 2


@dataclass(frozen=True, slots=True)
class LoadAnswer:
    """An answer to a request of a load, and when it came."""

    at: float
    status: int
    code: int | None
    retry_after: str | None


@dataclass(slots=True)
class Load:
    """A load: when it began, and its answers."""

    started_at: float
    answers: list[LoadAnswer] = field(default_factory=list)


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
        refused = answer.status_code != 200
        load.answers.append(
            LoadAnswer(
                time.monotonic(),
                answer.status_code,
                answer.json()["code"] if refused else None,
                answer.headers.get("retry-after"),
            )
        )

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


def read_rate(values: list[str]) -> float | None:
    """Return the rate that an answer with these headers names."""
    headers = [(b"server-limit", value.encode()) for value in values]
    return PlatformCodec().read_answer(AnswerHead(200, headers)).rate_limit_per_s


def handle_late_grant(after_s: float) -> list[Decided]:
    """Return what a holder decides on a grant that it handles after a pause."""
    endpoint, owner = EndpointId("endpoint"), InstanceId("control")
    holder = PermitHolder(Incarnation(1))
    holder.handle(OwnerInstalled(owner, Term(1), 6), 0.0)
    holder.handle(ObserveAnswer(endpoint, 2.0), 0.0)
    asked_at = 1.0
    holder.handle(Ask(CallId(1), endpoint), asked_at)
    latest = RateObservation(endpoint, 2.0, 0.0)
    grant = GrantPermits(Term(1), Incarnation(1), 2, [PermitDecision(latest, 1, 0.0)])
    actions = holder.handle(Receive(owner, grant), asked_at + after_s)
    return [item for item in actions if isinstance(item, Decided)]
