"""A whole site on the platform, run on one event loop with fakes around it."""

import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import anyio
import anyio.from_thread
import httpx
import msgspec

from burdockwall.errors import Code
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.servers import FakeServer, FakeServerList
from burdockwall.machine import Message
from burdockwall.platform.codec import PlatformCodec
from burdockwall.platform.configuration import decode_deployment
from burdockwall.platform.control import install_handlers
from burdockwall.platform.server_list import ServerListReader
from burdockwall.process.control_node import ControlNode
from burdockwall.process.forwarding_entry import ForwardingEntry
from burdockwall.process.membership.messages import (
    ChangesOutline,
    Grant,
    SnapshotOutline,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.storage.node import StoreNode
from burdockwall.settings import Settings
from burdockwall.types import Address, FailureDomain, InstanceId, Role

HOST = "site.example"
READY_LIMIT_S = 30.0
CALL_TIMEOUT_S = 10.0
EVENT_TOKENS = 9
# What brings the control state to an instance, or tells it that it lacks some.
UPDATES = (StateChanges, StateSnapshot, ChangesOutline, SnapshotOutline, Grant)
ENGINE_SERVICES = ("engines", "trial-engines")


def build_routes() -> list[dict]:
    base = {"host": HOST, "timeout-ms": 4000, "target-latency-ms": 200, "priority": 0}
    return [
        base
        | {"name": "tool", "path-prefix": "/tool/", "route-kind": "safe"}
        | {"service": "tools", "max-attempts": 2},
        base
        | {"name": "order", "path-prefix": "/order/", "route-kind": "unsafe"}
        | {"service": "tools", "max-attempts": 1},
        base
        | {"name": "chat", "path-prefix": "/chat/", "route-kind": "streaming"}
        | {"service": "engines", "max-attempts": 1, "retained": True}
        | {"retention-s": 60.0, "resumable": False},
        base
        | {"name": "trace", "path-prefix": "/trace/", "route-kind": "streaming"}
        | {"service": "engines", "max-attempts": 1, "resumable": True},
        base
        | {"name": "split", "path-prefix": "/split/", "route-kind": "streaming"}
        | {"backends": [{"service": name, "weight": 50} for name in ENGINE_SERVICES]}
        | {"max-attempts": 1, "resumable": True},
    ]


def build_configuration(version: int = 3, routes: list[dict] | None = None) -> dict:
    return {
        "version": version,
        "routes": build_routes() if routes is None else routes,
        "services": [
            {"name": "tools", "health-path": "/healthz", "max-conns": 96},
            *(
                {
                    "name": name,
                    "health-path": "/healthz",
                    "max-conns": 96,
                    "engine": {"slots": 8, "event-tokens": EVENT_TOKENS},
                }
                for name in ENGINE_SERVICES
            ),
        ],
        "tenants": [
            {"name": "one", "api-keys": ["key-one"], "rate-per-s": 100, "burst": 100},
            {"name": "two", "api-keys": ["key-two"], "rate-per-s": 100, "burst": 100},
        ],
    }


class PlatformSite:
    """The instances of a site and the fakes, on an event loop in a thread."""

    def __init__(
        self,
        engines: Sequence[FakeServer] = (),
        tools: Sequence[FakeServer] = (),
        placement: str = "counts",
    ) -> None:
        self.placement = placement
        self._folder = tempfile.TemporaryDirectory()
        self.tools = list(tools) or [
            FakeServer("tool-1", "tools"),
            FakeServer("tool-2", "tools"),
        ]
        self.engines = list(engines) or [FakeServer("engine-1", "engines")]
        self.engine = self.engines[0]
        self.server_list = FakeServerList([*self.tools, *self.engines])
        # All instances use the same peer port on hosts of their own.
        port = find_address().rpartition(":")[2]
        self.port = port
        self.seeds = [Address(f"127.0.1.{n}:{self._find_port()}") for n in (1, 2, 3)]
        self.control_nodes: list[ControlNode] = []
        self.stores: list[StoreNode] = []
        self.entries: list[ForwardingEntry] = []
        self.directory = find_address()
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run_thread, daemon=True)
        self._stop: anyio.Event | None = None
        self._portal: anyio.from_thread.BlockingPortal | None = None
        self.failure: BaseException | None = None

    @staticmethod
    def _find_port() -> str:
        return find_address().rpartition(":")[2]

    def _create_settings(self, role: Role, host: str, name: str) -> Settings:
        settings = Settings(
            schedule_placement=self.placement,
            instance_id=InstanceId(f"{host}:{self.port}"),
            instance_name=name,
            role=role,
            failure_domain=FailureDomain("a"),
            peer_address=Address(f"{host}:{self.port}"),
            seeds=self.seeds,
            named_by_address=True,
            first_start=True,
            operators_open=True,
            peer_plaintext=True,
            peer_silence_s=1.0,
            election_timeout_s=0.8,
            platform_address=self.server_list.address,
            resolve_ttl_s=2.0,
            denial_valid_ms=2000.0,
            drain_hold_s=0.5,
            drain_limit_s=5.0,
        )
        if role is not Role.ENTRY:
            settings.data_folder = Path(self._folder.name) / name
        return settings

    # The event loop.

    def start(self) -> None:
        self._thread.start()
        assert self._started.wait(READY_LIMIT_S), self.failure
        self.wait_for(self._is_ready, READY_LIMIT_S)

    def _run_thread(self) -> None:
        try:
            anyio.run(self._run)
        except BaseException as error:
            self.failure = error
            self._started.set()
            raise

    async def _run(self) -> None:
        self._stop = anyio.Event()
        async with (
            anyio.from_thread.BlockingPortal() as portal,
            anyio.create_task_group() as group,
        ):
            self._portal = portal
            self._group = group
            for fake in (*self.tools, *self.engines, self.server_list):
                group.start_soon(fake.run, self._stop)
            for number in (1, 2, 3):
                self._start_control_node(number)
                self.start_store(number)
            for number in (1, 2):
                self._start_entry(number)
            self._started.set()
            await self._stop.wait()
            group.cancel_scope.cancel()

    def _start(self, name: str, run: Callable) -> None:
        async def run_in_scope() -> None:
            with anyio.CancelScope() as scope:
                self._scopes[name] = scope
                await run(None)

        self._group.start_soon(run_in_scope)

    def _start_control_node(self, number: int) -> None:
        host = f"127.0.1.{number}"
        settings = self._create_settings(Role.CONTROL, host, f"control-{number}")
        settings.operator_address = self.seeds[number - 1]
        if number == 1:
            settings.directory_address = self.directory
        node = ControlNode(
            settings, ServerListReader(settings.platform_address), decode_deployment
        )
        install_handlers(node)
        self.control_nodes.append(node)
        self._start(f"control-{number}", node.run)

    def start_store(self, number: int, first: bool = True) -> None:
        name = f"store-{number}"
        settings = self._create_settings(Role.STORAGE, f"127.0.2.{number}", name)
        settings.first_start = first
        node = StoreNode(settings)
        self.stores.append(node)
        self._start(name, node.run)

    def _start_entry(self, number: int) -> None:
        host = f"127.0.3.{number}"
        settings = self._create_settings(Role.ENTRY, host, f"entry-{number}")
        settings.caller_address = Address(f"{host}:{self._find_port()}")
        settings.ready_address = Address(f"{host}:{self._find_port()}")
        entry = ForwardingEntry(settings, PlatformCodec(), decode_deployment)
        self.entries.append(entry)
        self._start(f"entry-{number}", entry.run)

    def call_in_loop(self, function: Callable, *arguments: object) -> object:
        assert self._portal is not None
        return self._portal.call(function, *arguments)

    def close(self) -> None:
        if self._portal is not None and self._stop is not None:
            self._portal.call(self._stop.set)
            self._thread.join(10)
        self._folder.cleanup()

    def stop_stores(self, *numbers: int) -> None:
        def stop() -> None:
            for number in numbers:
                self._scopes[f"store-{number}"].cancel()

        self.call_in_loop(stop)

    def restart_stores(self) -> None:
        self.stop_stores(1, 2, 3)
        anyio.run(anyio.sleep, 0.5)
        for node in self.stores:
            self.call_in_loop(node.service.journal.files.close)
        self.stores.clear()
        for number in (1, 2, 3):
            self.call_in_loop(self.start_store, number, False)

    def restart_stores_and_wait(self) -> None:
        """Restart every store, and wait until turns can begin again."""
        self.restart_stores()
        assert self.wait_for(self._can_begin_turns, READY_LIMIT_S)

    def _can_begin_turns(self) -> bool:
        headers = build_turn_headers(f"probe-{time.monotonic()}", None, 10_000)
        for instance in (1, 2):
            try:
                answer = self.send_request("POST", "/chat/1", headers, b"", instance)
            except httpx.RemoteProtocolError:
                # An engine has broken the answer off, so the turn had begun.
                continue
            if answer.status_code != 200 and not _is_code(answer, Code.NO_ENDPOINT):
                return False
        return True

    def cut_off_entry(self, number: int, stores: tuple[int, ...]) -> None:
        """Drop all messages of an entry instance to some stores from now on."""
        bus = self.entries[number - 1].member.host.bus
        cut = {InstanceId(f"127.0.2.{store}:{self.port}") for store in stores}
        send = bus.send

        def send_unless_cut(to: InstanceId, message: Message) -> None:
            if to not in cut:
                send(to, message)

        bus.send = send_unless_cut  # type: ignore[method-assign]

    def drop_updates(self, number: int, dropped: bool) -> None:
        """Drop the control state and grants sent to an entry instance, or no longer."""
        host = self.entries[number - 1].member.host

        def deliver(sender: InstanceId, message: Message) -> None:
            if not isinstance(message, UPDATES):
                host.deliver(sender, message)

        receive = deliver if dropped else host.deliver
        self.call_in_loop(host.bus.set_receiver, receive)

    def kill_entry(self, number: int) -> None:
        """End an entry instance without a drain."""
        self.call_in_loop(self._scopes[f"entry-{number}"].cancel)

    def restart_entries(self) -> None:
        """End all entry instances at once without a drain, and start them anew."""
        entries, self.entries = self.entries, []
        for number in range(1, len(entries) + 1):
            self.kill_entry(number)
        anyio.run(anyio.sleep, 0.3)
        for number in range(1, len(entries) + 1):
            self.call_in_loop(self._start_entry, number)
        assert self.wait_for(self._is_ready, READY_LIMIT_S)

    def restart_entry_and_ask(self, number: int, path: str, headers) -> httpx.Response:
        """End an entry instance, start it, and ask it as soon as it takes callers."""
        self.kill_entry(number)
        anyio.run(anyio.sleep, 0.3)
        others = self.entries
        self.entries = []
        self.call_in_loop(self._start_entry, number)
        started = self.entries[0]
        self.entries = [*others[: number - 1], started, *others[number:]]
        give_up_at = time.monotonic() + CALL_TIMEOUT_S
        while True:
            try:
                return self.send_request("GET", path, headers, b"", number)
            except httpx.ConnectError:
                assert time.monotonic() < give_up_at

    def stop_entry(self, number: int) -> None:
        self.call_in_loop(self.entries[number - 1].member.stopping.set)

    # Readiness.

    def _is_ready(self) -> bool:
        if self.put_configuration(build_configuration()).status_code != 200:
            return False
        return all(
            entry.is_ready()
            and entry.turn_client.calls.view.members
            and entry.limits.is_ready()
            for entry in self.entries
        )

    @staticmethod
    def wait_for(condition: Callable[[], bool], limit_s: float) -> bool:
        async def wait() -> bool:
            with anyio.move_on_after(limit_s):
                while not await anyio.to_thread.run_sync(condition):
                    await anyio.sleep(0.1)
                return True
            return False

        return anyio.run(wait)

    # Operators and callers.

    def _call_operator_port(self, method: str, path: str, content: bytes | None = None):
        url = f"http://{self.seeds[0]}{path}"
        try:
            return httpx.request(
                method,
                url,
                content=content,
                follow_redirects=True,
                timeout=CALL_TIMEOUT_S,
                trust_env=False,
            )
        except httpx.HTTPError:
            return httpx.Response(599)

    def put_configuration(self, configuration: dict | bytes) -> httpx.Response:
        content = configuration
        if isinstance(content, dict):
            content = msgspec.json.encode(content)
        return self._call_operator_port("POST", "/api/config/put", content)

    def read_configuration(self) -> httpx.Response:
        return self._call_operator_port("GET", "/api/config/get")

    def start_emptying(self, name: str) -> httpx.Response:
        body = msgspec.json.encode({"deadline-s": 10})
        return self._call_operator_port("POST", f"/api/retire/{name}/start", body)

    def is_emptied(self, name: str) -> bool:
        answer = self._call_operator_port("GET", f"/api/retire/{name}/get")
        return answer.status_code == 200 and answer.json() == {"state": "completed"}

    def resolve(self) -> list[str]:
        answer = httpx.get(
            f"http://{self.directory}/api/resolve",
            params={"name": HOST, "zone": "a", "region": "r"},
            trust_env=False,
        )
        return answer.json().get("addrs", [])

    def send_request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        content: bytes = b"",
        instance: int = 1,
    ) -> httpx.Response:
        address = self.entries[instance - 1].settings.caller_address
        return httpx.request(
            method,
            f"http://{address}{path}",
            headers={"host": HOST, "x-deadline-ms": "3000", **headers},
            content=content or None,
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )


def _is_code(answer: httpx.Response, code: Code) -> bool:
    return answer.json()["code"] == code.value.number


def build_turn_headers(turn: str, previous: str | None, budget: int) -> dict[str, str]:
    headers = {
        "x-request-id": turn,
        "x-api-key": "key-one",
        "x-program-id": "p1",
        "x-session-id": "s1",
        "x-finish-ms": "5000",
        "x-token-budget": str(budget),
        "x-token-usage": "100,45",
        "x-prompt-prefix": "5c1e07a2:100",
    }
    return headers | ({"x-previous-turn": previous} if previous else {})
