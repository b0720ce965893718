"""A site whose tool servers are in two failure domains, and its operators' orders."""

import time
from concurrent.futures import Future, ThreadPoolExecutor

import anyio
import httpx

from burdockwall.client import OperatorClient
from burdockwall.errors import OperatorError
from burdockwall.fakes.servers import FakeServer
from burdockwall.machine import Message
from burdockwall.process.control_node import ControlNode
from burdockwall.process.evacuation.evacuations import Evacuations
from burdockwall.process.forwarding_entry import ForwardingEntry
from burdockwall.settings import Settings
from burdockwall.types import Address, FailureDomain, InstanceId, OperatorId, Role
from features.subjects.fleet_site import ENTRIES, FleetSite
from features.subjects.platform import PlatformSite

LEADER_LIMIT_S = 5.0
OBEYED_LIMIT_S = 5.0
REQUESTS = 6


class EvacuationSite(PlatformSite):
    """The site, with a tool server in each of the failure domains a and b."""

    def __init__(self) -> None:
        servers = [
            FakeServer(f"tool-{number}", "tools", zone, delay_s=0.05)
            for number, zone in enumerate("ab", 1)
        ]
        super().__init__(tools=servers)
        self._pool = ThreadPoolExecutor(2 * REQUESTS)
        self.calls: list[Future[httpx.Response]] = []
        self.held_count = 0

    def _create_settings(self, role: Role, host: str, name: str) -> Settings:
        # The instances are in a third domain, so that no server is near to them.
        settings = super()._create_settings(role, host, name)
        settings.failure_domain = FailureDomain("c")
        return settings

    def find_leader(self) -> ControlNode:
        def is_one_leading() -> bool:
            return any(node.member.membership.is_leading() for node in self.running)

        assert self.wait_for(is_one_leading, LEADER_LIMIT_S)
        return next(n for n in self.running if n.member.membership.is_leading())

    @property
    def running(self) -> list[ControlNode]:
        return [
            node
            for number, node in enumerate(self.control_nodes, 1)
            if not self._scopes[f"control-{number}"].cancel_called
        ]

    def order(self, domain: str, action: str, leader: bool = True) -> httpx.Response:
        """Send an order to the leader, or to an instance that does not lead."""
        found = self.find_leader()
        node = next(n for n in self.running if (n is found) is leader)
        return httpx.post(
            f"http://{node.settings.operator_address}/api/evacuate/{domain}/{action}",
            trust_env=False,
        )

    def order_and_kill(self, domain: str) -> None:
        """End the leader's process as soon as an order is committed."""
        node = self.find_leader()
        scope = self._scopes[f"control-{self.control_nodes.index(node) + 1}"]

        async def run() -> None:
            await node.evacuation_orders.start(domain, "operator")
            scope.cancel()

        self.call_in_loop(run)

    def race(self, calls: list) -> list[BaseException | None]:
        """Run calls at the same time, and return the error of each, or None."""
        errors: list[BaseException | None] = [None] * len(calls)

        async def run(position: int) -> None:
            try:
                await calls[position]()
            except Exception as error:
                errors[position] = error

        async def run_all() -> None:
            async with anyio.create_task_group() as group:
                for position in range(len(calls)):
                    group.start_soon(run, position)

        self.call_in_loop(run_all)
        return errors

    def get_evacuations(self) -> Evacuations:
        return self.find_leader().evacuation_orders.get_evacuations()

    def set_cut(self, cut: bool) -> None:
        """Drop, or pass again, all messages between instance 1 and the others."""
        entry = self.entries[0].member.host.bus
        own = self.entries[0].settings.instance_id
        for bus in (entry, *(node.member.host.bus for node in self.control_nodes)):
            bus.__dict__.pop("send", None)
            if cut:
                bus.send = self._build_cut_send(bus, own)  # type: ignore[method-assign]

    @staticmethod
    def _build_cut_send(bus, own: InstanceId):
        send = type(bus).send

        def send_unless_cut(to: InstanceId, message: Message) -> None:
            if to != own and bus.instance != own:
                send(bus, to, message)

        return send_unless_cut

    def start_calls(self) -> None:
        """Begin requests at both instances, more at once than one server is given."""
        self.calls = []
        for number in range(2 * REQUESTS):
            headers = {"x-request-id": f"{time.time_ns()}", "x-api-key": "key-one"}
            call = ("GET", "/tool/1", headers, b"", number % 2 + 1)
            self.calls.append(self._pool.submit(self.send_request, *call))

    def serve_calls(self) -> int:
        """Send requests, and return how many the server in domain b received."""
        before = self.count_received()
        self.start_calls()
        self.check_answered()
        return self.count_received() - before

    def check_answered(self) -> None:
        answers = [call.result() for call in self.calls]
        refused = [answer.text for answer in answers if answer.status_code != 200]
        assert not refused, refused

    def hold_connections(self) -> None:
        """Let no connection to the server in domain b open until the order is obeyed.

        Both instances begin to send requests, some of which then wait for one.
        """
        for entry in self.entries:
            entry.upstreams.open_connection = self._build_held_open(entry)
        self.start_calls()
        assert self.wait_for(lambda: self.held_count > 0, 5)

    def _build_held_open(self, entry: ForwardingEntry):
        open_connection = entry.upstreams.open_connection

        async def open_held(address: Address, timeout_s: float):
            if address == self.tools[1].address:
                self.held_count += 1
                while not entry.endpoints.evacuation.includes(FailureDomain("b")):
                    await anyio.sleep(0.01)
            return await open_connection(address, timeout_s)

        return open_held

    def count_received(self) -> int:
        """Return how many requests the server in domain b has received."""
        return len(self.tools[1].received_requests)

    def measure_obeyed_s(self, instance: int) -> float:
        """Return how long an instance takes to obey the order for domain b."""
        started = time.monotonic()
        follower = self.entries[instance - 1].endpoints.evacuation
        assert self.wait_for(lambda: follower.includes("b"), 10)
        return time.monotonic() - started


class OwnEvacuation:
    """Evacuates the engine's failure domain at a fleet of the own interface."""

    def __init__(self, site: FleetSite) -> None:
        self.site = site
        self.codes: list[int] = []
        self.status: list[str] = []
        self.ended = Evacuations()

    async def run(self) -> None:
        operator = self.site.operator
        key = await self.site.issue_key()
        try:
            await anyio.to_thread.run_sync(operator.evacuate, "elsewhere")
        except OperatorError as error:
            self.codes.append(error.code.value.number)
        await anyio.to_thread.run_sync(operator.evacuate, "a")
        await self._wait_until(key, 1401)
        entry = self.site.settings[ENTRIES[0]].operator_address
        client = OperatorClient(entry, OperatorId("operator"))
        self.status = (await anyio.to_thread.run_sync(client.read_status)).evacuated
        self.ended = await anyio.to_thread.run_sync(operator.evacuate, "a", True)
        await self._wait_until(key, 200)

    async def _wait_until(self, key: str, code: int) -> None:
        with anyio.fail_after(OBEYED_LIMIT_S):
            while True:
                answer = await self.site.post_turn(ENTRIES[0], key)
                found = int(answer.headers.get("burdockwall-code", answer.status_code))
                if found == code:
                    break
                await anyio.sleep(0.1)
        self.codes.append(code)
