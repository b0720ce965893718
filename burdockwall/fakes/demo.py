"""Run one process with a fake engine and drive one agent program through it."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import click
import httpx

from burdockwall.client import OperatorClient
from burdockwall.fakes.engine import FakeEngine, FakeService
from burdockwall.fakes.ports import find_address
from burdockwall.process.node import Node
from burdockwall.process.web import serve_address
from burdockwall.request.completion import join_answer
from burdockwall.settings import Settings
from burdockwall.types import (
    Address,
    CustomerId,
    EndpointId,
    ModelName,
    OperatorId,
    PoolName,
    PriorityClass,
    RouteKind,
    RouteName,
)
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    Route,
    print_configuration,
)

CUSTOMER = CustomerId("association")
PROGRAM = "inspection-1"
START_LIMIT_S = 10.0
QUESTIONS = (
    "What does the hood at the grill need?",
    "And the duct run behind it?",
    "Draft the certificate.",
)


@dataclass(frozen=True, slots=True)
class Site:
    """Hold one running process with its fake endpoints."""

    node: Node
    engine: FakeEngine
    service: FakeService
    operator: OperatorClient


def build_configuration(engine: Address, service: Address) -> Configuration:
    """Build the configuration of the demonstration."""
    llm = PoolName("llm")
    filing = PoolName("filing")
    return Configuration(
        customers=(Customer(CUSTOMER, rate_per_s=20.0, burst=40),),
        pools=(Pool(llm), Pool(filing, RouteKind.SERVICE)),
        endpoints=(
            Endpoint(EndpointId("engine-1"), llm, engine),
            Endpoint(EndpointId("filing-1"), filing, service),
        ),
        routes=(
            Route(
                RouteName("inspect"),
                "/v1/chat/completions",
                llm,
                model=ModelName("inspector"),
            ),
            Route(
                RouteName("file"),
                "/filings",
                filing,
                RouteKind.SERVICE,
                repeatable=False,
                priority=PriorityClass.HIGH,
            ),
        ),
    )


@asynccontextmanager
async def run_site(engine: FakeEngine | None = None) -> AsyncIterator[Site]:
    """Run entry, control and fake endpoints on this loop."""
    settings = Settings(
        caller_address=find_address(),
        operator_address=find_address(),
        peer_address=find_address(),
        drain_hold_s=0.0,
    )
    node = Node(settings)
    engine = engine or FakeEngine(token_s=0.02)
    service = FakeService()
    engine_address, service_address = find_address(), find_address()
    stop = anyio.Event()
    operator = OperatorClient(settings.operator_address, OperatorId("demo"))
    async with anyio.create_task_group() as group:
        group.start_soon(serve_address, engine_address, engine.serve, stop, 0.1)
        group.start_soon(serve_address, service_address, service.serve, stop, 0.1)
        group.start_soon(node.run)
        await _wait_until_listening(settings.operator_address)
        await _wait_until_listening(settings.caller_address)
        text = print_configuration(build_configuration(engine_address, service_address))
        await anyio.to_thread.run_sync(operator.submit, text)
        yield Site(node, engine, service, operator)
        node.start_drain()
        stop.set()


async def _wait_until_listening(address: Address) -> None:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(START_LIMIT_S):
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(0.02)
                continue
            await stream.aclose()
            return


async def wait_for_version(node: Node, version: int) -> None:
    """Wait until an entry instance runs a version and the latest one."""
    assert node.entry is not None and node.state is not None
    version = max(version, node.state.version)
    with anyio.fail_after(START_LIMIT_S):
        while node.entry.view.version < version:
            await anyio.sleep(0.02)


async def ask_turn(
    client: httpx.AsyncClient, key: str, number: int, question: str
) -> str:
    """Ask one turn of the program and print its answer as it streams."""
    headers = {
        "authorization": f"Bearer {key}",
        "program-id": PROGRAM,
        "program-turn": str(number),
    }
    body = {
        "model": "inspector",
        "messages": [{"role": "user", "content": question}],
        "stream": True,
    }
    click.echo(f"turn {number}: {question}\n  ", nl=False)
    received = b""
    async with client.stream(
        "POST", "/v1/chat/completions", headers=headers, json=body
    ) as response:
        response.raise_for_status()
        async for chunk in response.aiter_raw():
            received += chunk
            click.echo(join_answer(chunk), nl=False)
    click.echo()
    return join_answer(received)


async def file_certificate(client: httpx.AsyncClient, key: str) -> None:
    """File the certificate twice with one idempotency key."""
    headers = {"authorization": f"Bearer {key}", "idempotency-key": "certificate-1"}
    response = await client.post("/filings", headers=headers, content=b"certificate")
    click.echo(f"filing: {response.status_code} {response.text}")


async def run_demo() -> None:
    """Run the demonstration and print what happens."""
    async with run_site() as site:
        key = await anyio.to_thread.run_sync(site.operator.issue_key, CUSTOMER)
        await wait_for_version(site.node, 2)
        base = f"http://{site.node.settings.caller_address}"
        started = time.monotonic()
        async with httpx.AsyncClient(base_url=base, trust_env=False) as client:
            resolution = await client.get("/v1/resolve")
            click.echo(f"resolve: {resolution.json()['addresses'][0]['address']}")
            for number, question in enumerate(QUESTIONS, 1):
                await ask_turn(client, key, number, question)
            await file_certificate(client, key)
        click.echo(f"program latency: {time.monotonic() - started:.2f} s")
        page = await anyio.to_thread.run_sync(site.operator.read_audit)
        for record in page.records:
            click.echo(
                f"audit: {record.index} {record.operator} {record.action} "
                f"version {record.version}"
            )


def main() -> None:
    """Run the demonstration."""
    anyio.run(run_demo)


if __name__ == "__main__":
    main()
