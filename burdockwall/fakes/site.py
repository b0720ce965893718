"""One process with fake endpoints, each behind a proxy that can fail."""

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
    """A running process, its fake endpoints and the proxies in front of them."""

    node: Node
    engines: list[FakeEngine]
    service: FakeService
    operator: OperatorClient
    proxies: list[FaultyProxy]


@dataclass(slots=True)
class SitePlan:
    """Engines of a site, settings of its process and limits of its customer.

    `authority` is the file of the certificate authority for operator calls. `assets`
    are the assets of engines by their numbers from 1.
    """

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
    """Set free addresses in the settings of a plan and return the settings."""
    settings = plan.settings
    settings.caller_address = find_address()
    settings.operator_address = find_address()
    settings.peer_address = find_address()
    return settings


def create_plan(token_s: float = DEMO_TOKEN_S) -> SitePlan:
    """Create the plan of a site with one engine; a drain refuses requests at once."""
    return SitePlan([FakeEngine(token_s)], Settings(drain_hold_s=0.0))


@asynccontextmanager
async def run_site(plan: SitePlan | None = None) -> AsyncIterator[Site]:
    """Run entry, control and fake endpoints on the current event loop."""
    plan = plan or create_plan()
    node = Node(create_settings(plan))
    service = FakeService()
    stop = anyio.Event()
    operator = OperatorClient(
        node.settings.operator_address, OperatorId("demo"), plan.authority
    )
    async with anyio.create_task_group() as group:
        proxies = [_start_endpoint(group, engine, stop) for engine in plan.engines]
        service_proxy = _start_endpoint(group, service, stop)
        group.start_soon(node.run)
        await wait_until_listening(node.settings.operator_address)
        await wait_until_listening(node.settings.caller_address)
        addresses = [proxy.address for proxy in proxies]
        configuration = build_configuration(plan, addresses, service_proxy.address)
        text = print_configuration(configuration)
        await anyio.to_thread.run_sync(operator.submit, text)
        yield Site(node, plan.engines, service, operator, [*proxies, service_proxy])
        node.start_drain()
        stop.set()
        await node.stop.wait()
        for proxy in (*proxies, service_proxy):
            proxy.kill()


def _start_endpoint(
    group: anyio.abc.TaskGroup, endpoint: FakeEngine | FakeService, stop: anyio.Event
) -> FaultyProxy:
    proxy = FaultyProxy(find_address(), find_address())
    group.start_soon(
        serve_address, proxy.target, endpoint.serve, stop, ENDPOINT_GRACE_S
    )
    group.start_soon(proxy.run)
    return proxy


async def wait_until_listening(address: Address) -> None:
    """Wait until an address accepts connections."""
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
    """Wait until an entry has this version and the latest, and its limits are ready."""
    assert node.entry is not None and node.control is not None
    version = max(version, node.control.version)
    with anyio.fail_after(START_LIMIT_S):
        while node.entry.view.version < version:
            await anyio.sleep(0.02)
        while not node.entry.parts.limits.is_ready():
            await anyio.sleep(0.02)
