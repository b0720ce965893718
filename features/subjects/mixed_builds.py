"""Processes of two builds side by side, replaced one after the other on loopback."""

import io
import os
import subprocess
import sys
import tarfile
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
import msgspec

from burdockwall.fakes.ports import find_address
from burdockwall.fakes.servers import FakeServer, FakeServerList
from features.subjects.platform import HOST, build_configuration, build_turn_headers

ROOT = Path(__file__).resolve().parents[2]
ENTRIES, CONTROLS, STORES = 4, 3, 3
STOP_LIMIT_S = 12.0
READY_LIMIT_S = 40.0
CALL_INTERVAL_S = 0.1
CONTACT_S = 3.0
ELECTION_S = 3.0
DEADLY = b"deadly"
SETTINGS = """[instance]
id = {host}:{port}
name = {name}
role = {role}
failure_domain = a
region = r
first_start = {first}
tolerated_losses = 1
{data}

[listen]
peer = {host}:{port}
{listen}

[peers]
seeds = {seeds}
named_by_address = yes
silence = 1

[platform]
address = {platform}

[control]
election_timeout = 0.6

[operators]
open = yes

[tls]
peer_plaintext = yes

[drain]
hold = 1
limit = 4
"""


@dataclass(slots=True)
class Instance:
    """One instance, its build and its process."""

    name: str
    role: str
    host: str
    listen: dict[str, str]
    starts: int = 0
    build: str = ""
    process: subprocess.Popen | None = None
    started_at: float = 0.0


@dataclass(slots=True)
class Tally:
    """The answers to a kind of request, by status."""

    statuses: dict[int, int] = field(default_factory=dict)

    def add(self, status: int) -> None:
        """Count an answer; 0 is a broken connection."""
        self.statuses[status] = self.statuses.get(status, 0) + 1


class MixedBuilds:
    """A site whose instances run one of two builds."""

    def __init__(self, builds: dict[str, Path], folder: Path) -> None:
        self.builds = builds
        self.folder = folder
        self.port = find_address().rpartition(":")[2]
        self.tools = [
            FakeServer(f"tool-{n}", "tools", crashes_on=(DEADLY,), started_ms=1)
            for n in range(1, 6)
        ]
        self.engine = FakeServer("engine-1", "engines")
        self.server_list = FakeServerList([*self.tools, self.engine])
        self.controls = [
            self._create("control", n, "operator") for n in range(1, CONTROLS + 1)
        ]
        self.stores = [self._create("storage", n) for n in range(1, STORES + 1)]
        self.entries = [
            self._create("entry", n, "caller", "ready") for n in range(1, ENTRIES + 1)
        ]
        self.calls, self.turns, self.deadly = Tally(), Tally(), Tally()
        self.wrong_chains = 0
        # The ids of deadly requests sent while their instance and the core were calm.
        self.calm_deadly: set[str] = set()
        self.done = False
        self._sent = 0

    def _create(self, role: str, number: int, *names: str) -> Instance:
        third = ("control", "storage", "entry").index(role) + 1
        host = f"127.0.{third + 10}.{number}"
        listen = {name: f"{host}:{self._find_port()}" for name in names}
        return Instance(f"{role}-{number}", role, host, listen)

    @staticmethod
    def _find_port() -> str:
        return find_address().rpartition(":")[2]

    @property
    def instances(self) -> list[Instance]:
        """Return all instances."""
        return [*self.controls, *self.stores, *self.entries]

    # Processes.

    def start(self, instance: Instance, build: str) -> None:
        """Start a process of a build for an instance."""
        data = ""
        if instance.role != "entry":
            path = self.folder / instance.name
            path.mkdir(exist_ok=True)
            data = f"data_folder = {path}"
        lines = [f"{name} = {address}" for name, address in instance.listen.items()]
        seeds = [item.listen["operator"] for item in self.controls]
        text = SETTINGS.format(
            host=instance.host,
            port=self.port,
            name=instance.name,
            role=instance.role,
            first="no" if instance.starts else "yes",
            data=data,
            listen="\n".join(lines),
            seeds=" ".join(seeds),
            platform=self.server_list.address,
        )
        settings = self.folder / f"{instance.name}.ini"
        settings.write_text(text, encoding="utf-8")
        root = self.builds[build]
        environment = {
            **os.environ,
            "PYTHONPATH": str(root),
            "BURDOCKWALL_CONFIG": str(settings),
        }
        log = self.folder / f"{instance.name}.{instance.starts}.log"
        with log.open("wb") as output:
            instance.process = subprocess.Popen(
                [sys.executable, "-m", "burdockwall.platform"],
                cwd=root,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        instance.starts += 1
        instance.started_at = time.monotonic()
        instance.build = build

    async def replace(
        self, instance: Instance, build: str, down_s: float = 0.0
    ) -> None:
        """Stop an instance as planned, and start it with a build after a while."""
        process = instance.process
        assert process is not None
        process.terminate()
        ends_at = time.monotonic() + STOP_LIMIT_S
        while process.poll() is None and time.monotonic() < ends_at:
            await anyio.sleep(0.05)
        if process.poll() is None:
            process.kill()
            process.wait()
        await anyio.sleep(down_s)
        self.start(instance, build)

    def close(self) -> None:
        """End all processes."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()

    async def find_leader(self) -> Instance | None:
        """Return the control instance that last became leader, by the logs."""
        latest: tuple[str, Instance] | None = None
        for instance in self.controls:
            log = self.folder / f"{instance.name}.{instance.starts - 1}.log"
            for line in log.read_text("utf-8", "replace").splitlines():
                if '"role":"leader"' in line:
                    at = msgspec.json.decode(line)["time"]
                    if latest is None or at > latest[0]:
                        latest = (at, instance)
        return latest[1] if latest else None

    async def lead_by(self, build: str) -> bool:
        """Restart leaders of the other build until one of this build leads."""
        for _ in range(6):
            leader = await self.find_leader()
            if leader is not None and leader.build == build:
                return True
            if leader is not None:
                # One that is back sooner is elected again.
                await self.replace(leader, leader.build, ELECTION_S)
            await anyio.sleep(ELECTION_S)
        return False

    # Load.

    async def wait_until_ready(self) -> bool:
        """Put the configuration, and wait until every entry is ready."""
        body = msgspec.json.encode(build_configuration())
        ends_at = time.monotonic() + READY_LIMIT_S
        async with httpx.AsyncClient(trust_env=False, timeout=3) as client:
            while time.monotonic() < ends_at:
                await anyio.sleep(0.3)
                try:
                    address = self.controls[0].listen["operator"]
                    put = await client.post(
                        f"http://{address}/api/config/put",
                        content=body,
                        follow_redirects=True,
                    )
                    ready = [
                        await client.get(f"http://{item.listen['ready']}/api/readyz")
                        for item in self.entries
                    ]
                except httpx.HTTPError:
                    continue
                if all(item.status_code == 200 for item in [put, *ready]):
                    return True
        return False

    async def _ask(
        self,
        client: httpx.AsyncClient,
        entry: Instance,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> int:
        base = {"host": HOST, "x-api-key": "key-one", "x-deadline-ms": "3000"}
        try:
            answer = await client.post(
                f"http://{entry.listen['caller']}{path}",
                headers=base | headers,
                content=body,
            )
        except httpx.HTTPError:
            return 0
        return answer.status_code

    def _number(self) -> str:
        self._sent += 1
        return f"request-{self._sent}"

    async def run_calls(self, client: httpx.AsyncClient) -> None:
        """Send tool calls, in turn at each entry instance that is ready."""
        while not self.done:
            for entry in self.entries:
                headers = {"x-request-id": self._number()}
                status = await self._ask(client, entry, "/tool/1", headers, b"call")
                if not (status == 0 and entry.process and entry.process.poll()):
                    self.calls.add(status)
                await anyio.sleep(CALL_INTERVAL_S)

    async def run_turns(self, client: httpx.AsyncClient) -> None:
        """Send chains of turns, each turn at another entry instance."""
        chain = 0
        while not self.done:
            chain += 1
            previous, expected = None, b""
            for number in range(4):
                turn = self._number()
                headers = build_turn_headers(turn, previous, 100_000)
                headers |= {"x-program-id": f"program-{chain}"}
                text = f"input-{chain}-{number};".encode()
                entry = self.entries[(chain + number) % ENTRIES]
                status = await self._ask(client, entry, "/chat/1", headers, text)
                self.turns.add(status)
                await anyio.sleep(CALL_INTERVAL_S)
                if status != 200:
                    break
                sent = [
                    item.body
                    for item in self.engine.received_requests
                    if item.headers.get("x-request-id") == turn
                ]
                expected += text
                if sent[-1] != expected:
                    self.wrong_chains += 1
                expected += b"w1\nw2\nw3\n"
                previous = turn

    def _is_calm(self, entry: Instance) -> bool:
        """Return whether an instance and the core have run for the contact time."""
        latest = max(item.started_at for item in (*self.controls, *self.stores, entry))
        return time.monotonic() > latest + CONTACT_S

    async def run_deadly(self, client: httpx.AsyncClient, build: str) -> None:
        """Send the request that crashes servers at the instances of one build."""
        while not self.done:
            for entry in [item for item in self.entries if item.build == build]:
                headers = {"x-request-id": self._number()}
                if self._is_calm(entry):
                    self.calm_deadly.add(headers["x-request-id"])
                self.deadly.add(
                    await self._ask(client, entry, "/tool/1", headers, DEADLY)
                )
                await anyio.sleep(CALL_INTERVAL_S)
            await anyio.sleep(CALL_INTERVAL_S)

    def count_late_deadly(self) -> int:
        """Count deadly requests that reached servers too late after the third crash.

        Those count that calm instances sent.
        """
        crashes = sorted(at for tool in self.tools for at in tool.crash_times)
        if len(crashes) < 3:
            return 0
        return sum(
            item.received_at > crashes[2] + CONTACT_S
            and item.headers.get("x-request-id") in self.calm_deadly
            for tool in self.tools
            for item in tool.received_requests
            if item.body == DEADLY
        )


def extract_build(commit: str, folder: Path) -> Path:
    """Extract the sources of a commit of this repository."""
    path = folder / commit
    archive = subprocess.run(
        ["git", "archive", commit, "burdockwall"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as packed:
        packed.extractall(path, filter="data")
    return path


async def run_upgrade(commit: str, leader: str) -> dict[str, object]:
    """Run an upgrade from a commit with a leader of one build, and describe it."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        builds = {
            "old": extract_build(commit, folder),
            "new": extract_build("HEAD", folder),
        }
        site = MixedBuilds(builds, folder)
        try:
            return await _run_upgrade(site, commit, leader)
        finally:
            site.close()


async def _run_upgrade(
    site: MixedBuilds, commit: str, leader: str
) -> dict[str, object]:
    stop = anyio.Event()
    async with (
        httpx.AsyncClient(trust_env=False, timeout=5) as client,
        anyio.create_task_group() as group,
    ):
        for fake in (*site.tools, site.engine, site.server_list):
            group.start_soon(fake.run, stop)
        for instance in site.instances:
            site.start(instance, "old")
        ready = await site.wait_until_ready()
        group.start_soon(site.run_calls, client)
        group.start_soon(site.run_turns, client)
        await anyio.sleep(3)
        # Half of each role is replaced, and then the wanted build leads.
        for instance in (site.controls[0], *site.stores[:1], *site.entries[:2]):
            await site.replace(instance, "new")
            await anyio.sleep(2)
        led = await site.lead_by(leader)
        group.start_soon(site.run_deadly, client, "new")
        await anyio.sleep(12)
        for instance in (*site.entries[2:], *site.stores[1:], *site.controls[1:]):
            await site.replace(instance, "new")
            await anyio.sleep(2)
        await anyio.sleep(4)
        site.done = True
        await anyio.sleep(2)
        group.cancel_scope.cancel()
    return {
        "old": commit,
        "leader": leader,
        "ready": ready,
        "led": led,
        "calls": site.calls.statuses,
        "turns": site.turns.statuses,
        "wrong_chains": site.wrong_chains,
        "deadly": site.deadly.statuses,
        "crashes": sum(len(tool.crash_times) for tool in site.tools),
        "late_deadly": site.count_late_deadly(),
    }
