"""Run one process with fake endpoints, each behind a path that can fail."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.abc

from burdockwall.client import OperatorClient
from burdockwall.connection.address import split_address
from burdockwall.fakes.engine import FakeEngine, FakeService
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.proxy import FaultyProxy
from burdockwall.process.node import Node
from burdockwall.process.web import serve_address
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
START_LIMIT_S = 10.0
ENDPOINT_GRACE_S = 0.1
DEMO_TOKEN_S = 0.02


@dataclass(frozen=True, slots=True)
class Site:
    """Hold one running process with its fake endpoints and the paths to them."""

    node: Node
    engines: list[FakeEngine]
    service: FakeService
    operator: OperatorClient
    proxies: list[FaultyProxy]


@dataclass(slots=True)
class SitePlan:
    """Choose the engines of a site and the settings of its process."""

    engines: list[FakeEngine] = field(default_factory=list)
    settings: Settings = field(default_factory=Settings)
    rate_per_s: float = 20.0
    burst: int = 40
    authority: Path | None = None
    assets: dict[int, tuple[str, ...]] = field(default_factory=dict)


def build_configuration(
    plan: SitePlan, engines: list[Address], service: Address
) -> Configuration:
    """Build the configuration of a site."""
    llm = PoolName("llm")
    filing = PoolName("filing")
    endpoints = [
        Endpoint(
            EndpointId(f"engine-{number}"),
            llm,
            address,
            assets=plan.assets.get(number, ()),
        )
        for number, address in enumerate(engines, 1)
    ]
    return Configuration(
        customers=(Customer(CUSTOMER, plan.rate_per_s, plan.burst),),
        pools=(Pool(llm), Pool(filing, RouteKind.SERVICE)),
        endpoints=(*endpoints, Endpoint(EndpointId("filing-1"), filing, service)),
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
            Route(
                RouteName("look-up"),
                "/stock",
                filing,
                RouteKind.SERVICE,
                open=True,
            ),
        ),
    )


def create_settings(plan: SitePlan) -> Settings:
    """Give the settings of a plan addresses that are free."""
    settings = plan.settings
    settings.caller_address = find_address()
    settings.operator_address = find_address()
    settings.peer_address = find_address()
    return settings


def create_plan(token_s: float = DEMO_TOKEN_S) -> SitePlan:
    """Create the plan of a site with one engine that leaves without a hold."""
    return SitePlan([FakeEngine(token_s)], Settings(drain_hold_s=0.0))


@asynccontextmanager
async def run_site(plan: SitePlan | None = None) -> AsyncIterator[Site]:
    """Run entry, control and fake endpoints on this loop."""
    plan = plan or create_plan()
    node = Node(create_settings(plan))
    service = FakeService()
    stop = anyio.Event()
    operator = OperatorClient(
        node.settings.operator_address, OperatorId("demo"), plan.authority
    )
    async with anyio.create_task_group() as group:
        paths = [_start_endpoint(group, each, stop) for each in plan.engines]
        service_path = _start_endpoint(group, service, stop)
        group.start_soon(node.run)
        await wait_until_listening(node.settings.operator_address)
        await wait_until_listening(node.settings.caller_address)
        addresses = [path.address for path in paths]
        configuration = build_configuration(plan, addresses, service_path.address)
        text = print_configuration(configuration)
        await anyio.to_thread.run_sync(operator.submit, text)
        yield Site(node, plan.engines, service, operator, [*paths, service_path])
        node.start_drain()
        stop.set()
        await node.stop.wait()
        for path in (*paths, service_path):
            path.kill()


def _start_endpoint(
    group: anyio.abc.TaskGroup, endpoint: FakeEngine | FakeService, stop: anyio.Event
) -> FaultyProxy:
    path = FaultyProxy(find_address(), find_address())
    group.start_soon(serve_address, path.target, endpoint.serve, stop, ENDPOINT_GRACE_S)
    group.start_soon(path.run)
    return path


async def wait_until_listening(address: Address) -> None:
    """Wait until an address takes connections."""
    host, port = split_address(address)
    with anyio.fail_after(START_LIMIT_S):
        while True:
            try:
                stream = await anyio.connect_tcp(host, port)
            except OSError:
                await anyio.sleep(0.02)
                continue
            await stream.aclose()
            return


async def wait_for_version(node: Node, version: int) -> None:
    """Wait until an entry instance runs a version, the latest one, and limits."""
    assert node.entry is not None and node.control is not None
    version = max(version, node.control.version)
    with anyio.fail_after(START_LIMIT_S):
        while node.entry.view.version < version:
            await anyio.sleep(0.02)
        while not node.entry.parts.limits.is_ready():
            await anyio.sleep(0.02)
