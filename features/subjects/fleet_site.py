"""Run one control instance and two entries over loopback sockets in one process."""

from collections.abc import Awaitable, Callable

import anyio
import httpx

from burdockwall.client import OperatorClient, resolve
from burdockwall.errors import OperatorError
from burdockwall.fakes.engine import FakeEngine, FakeService
from burdockwall.fakes.platform import FakePlatform
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.site import CUSTOMER, SitePlan, build_configuration
from burdockwall.process.membership.platform import PlatformList
from burdockwall.process.node import Node
from burdockwall.process.web import serve_address
from burdockwall.settings import Settings
from burdockwall.types import (
    EndpointId,
    EndpointState,
    FailureDomain,
    InstanceId,
    OperatorId,
    Role,
)
from burdockwall.version.configuration import print_configuration

TIMEOUT_S = 30.0
CONTROL = InstanceId("control-1")
ENTRIES = [InstanceId("entry-1"), InstanceId("entry-2")]


class FleetSite:
    """The fleet, its platform, engine and service, and what a scenario observed."""

    def __init__(self) -> None:
        names = [CONTROL, *ENTRIES]
        peers = {name: find_address() for name in names}
        self.platform_address = find_address()
        self.settings = {
            name: Settings(
                instance_id=name,
                role=Role.CONTROL if name == CONTROL else Role.ENTRY,
                failure_domain=FailureDomain("abc"[position]),
                caller_address=find_address(),
                operator_address=find_address(),
                peer_address=peers[name],
                peers={CONTROL: peers[CONTROL]},
                peer_plaintext=True,
                control_instances=[CONTROL],
                platform_address=self.platform_address,
                drain_hold_s=20.0,
            )
            for position, name in enumerate(names)
        }
        self.platform = FakePlatform()
        self.nodes: dict[InstanceId, Node] = {}
        self.withdrawn_at: float | None = None
        self.stopped_after_s = 0.0
        self.in_force_summary = ""
        self.refusal: httpx.Response | None = None
        self.resolved: list[str] = []

    def run(self, action: Callable[[], Awaitable[None]]) -> None:
        anyio.run(self._run, action)

    async def _run(self, action: Callable[[], Awaitable[None]]) -> None:
        engine, service = find_address(), find_address()
        stop = anyio.Event()
        served = (
            (engine, FakeEngine(0.001)),
            (service, FakeService()),
            (self.platform_address, self.platform),
        )
        async with anyio.create_task_group() as group:
            for address, fake in served:
                group.start_soon(serve_address, address, fake.serve, stop, 0.1)
            for name, settings in self.settings.items():
                self.nodes[name] = Node(settings)
                group.start_soon(self.nodes[name].run)
            plan = build_configuration(SitePlan(), [engine], service)
            await self.submit(print_configuration(plan))
            await self.wait(self.is_settled)
            await action()
            group.cancel_scope.cancel()

    @property
    def operator(self) -> OperatorClient:
        address = self.settings[CONTROL].operator_address
        return OperatorClient(address, OperatorId("operator"))

    async def submit(self, text: str) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while True:
                try:
                    await anyio.to_thread.run_sync(self.operator.submit, text)
                    return
                except OperatorError:
                    await anyio.sleep(0.1)

    def is_settled(self) -> bool:
        """Return whether shards are assigned and both entries are up to date.

        An entry is up to date if it runs the latest version, holds a lease and has
        both entries in its member list.
        """
        latest = self.nodes[CONTROL].control.state
        entries = [self.nodes[name] for name in ENTRIES]
        return bool(latest.shards) and all(
            node.entry.view.version == latest.version
            and node.host.clock() < node.membership.lease_until
            and len(node.list_members()) == len(ENTRIES)
            for node in entries
        )

    async def wait(self, reached: Callable[[], bool]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not reached():
                await anyio.sleep(0.05)

    async def post_turn(self, name: InstanceId, key: str) -> httpx.Response:
        url = f"http://{self.settings[name].caller_address}/v1/chat/completions"
        body = {
            "model": "inspector",
            "messages": [{"role": "user", "content": "question"}],
        }
        headers = {"authorization": f"Bearer {key}"}
        async with httpx.AsyncClient(trust_env=False, timeout=15) as client:
            return await client.post(url, headers=headers, json=body)

    def cut_off(self, name: InstanceId) -> None:
        """Silently drop every message to and from an instance."""
        bus = self.nodes[name].bus
        bus.set_receiver(lambda sender, message: None)
        bus.send = lambda to, message: None

    async def issue_key(self) -> str:
        key = await anyio.to_thread.run_sync(self.operator.issue_key, CUSTOMER)
        await self.wait(self.is_settled)
        return key

    async def withdraw_key_while_cut_off(self) -> None:
        """Withdraw a key while an entry is cut off, and measure when it refuses it."""
        key = await self.issue_key()
        self.cut_off(ENTRIES[1])
        before = await self.post_turn(ENTRIES[1], key)
        assert before.status_code != 401, before.text
        async with anyio.create_task_group() as group:
            group.start_soon(self._withdraw, key)
            await self.wait(lambda: self.withdrawn_at is not None)
            while True:
                self.refusal = await self.post_turn(ENTRIES[1], key)
                if self.refusal.headers.get("burdockwall-code") == "1503":
                    break
                await anyio.sleep(0.05)
            self.stopped_after_s = anyio.current_time() - self.withdrawn_at

    async def _withdraw(self, key: str) -> None:
        self.withdrawn_at = anyio.current_time()
        outcome = await anyio.to_thread.run_sync(self.operator.withdraw_key, key)
        page = await anyio.to_thread.run_sync(
            self.operator.wait_in_force, outcome.version
        )
        self.in_force_summary = f"confirmed {page.confirmed} expired {page.lapsed}"

    async def resolve_while_leaving(self) -> None:
        """Resolve the entries before and after one starts to leave."""
        await self._resolve()
        self.nodes[ENTRIES[0]].start_drain()

        def is_left_out() -> bool:
            members = self.nodes[ENTRIES[1]].list_members()
            leaving = EndpointState.LEAVING
            return any(item.state is leaving for item in members)

        await self.wait(is_left_out)
        await self._resolve()

    async def _resolve(self) -> None:
        address = self.settings[ENTRIES[1]].caller_address
        found = await anyio.to_thread.run_sync(resolve, address, "b", "caller-1")
        names = {self.settings[name].caller_address: name for name in ENTRIES}
        self.resolved.append(" ".join(names[item.address] for item in found.addresses))

    async def post_turn_while_endpoint_leaves(self) -> None:
        """Publish that the engine is leaving, and send turns until one is refused."""
        key = await self.issue_key()
        leaving = {EndpointId("engine-1"): EndpointState.LEAVING}
        self.platform.published = PlatformList(endpoints=leaving)
        with anyio.fail_after(5.0):
            while True:
                self.refusal = await self.post_turn(ENTRIES[0], key)
                if self.refusal.headers.get("burdockwall-code") == "1401":
                    return
                await anyio.sleep(0.1)
