"""Real processes on machines with little memory, and what they use of it."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

from review.standin import site as standin
from review.standin.case import create_servers
from review.standin.http import (
    BrokenOff,
    Message,
    build_chunk,
    build_head,
    call,
    read_body,
    read_head,
    split_address,
)
from review.standin.record import Record
from review.standin.servers import Server
from review.standin.settings import HOST, KEY, add_route, build_configuration
from review.standin.site import Process, Shape, Site

BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1024
# The smallest machines of the users' pages.
MACHINES = {
    "front": {"memory-mb": 150, "max-fds": 4100},
    "storage": {"memory-mb": 170, "max-fds": 8200},
    "core": {"memory-mb": 296, "max-fds": 4096},
}
# As many descriptors as a small crowd takes.
FEW_DESCRIPTORS = 600
WATCH_INTERVAL_S = 0.1
ORDINARY_TRIES = 60
ORDINARY_PAUSE_S = 0.25
ORDINARY_LIMIT_S = 5.0
ENDLESS_PATH = "/endless/"
ENDLESS_STREAM_PATH = "/endless-stream/"
ENDLESS_CHAT_PATH = "/endless-chat/"
PIECE = b"x" * 65_536
PIECE_BYTES = 10_000
LOG_CHARACTERS = 1_500


class EndlessServer(Server):
    """A server whose answers never end."""

    async def _work(
        self, request: Message, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        headers |= {"Content-Type": "text/event-stream", "X-Weight-Versions": "1"}
        headers |= {"Transfer-Encoding": "chunked"}
        writer.write(build_head("HTTP/1.1 200 OK", headers))
        piece = b"data: " + PIECE + b"\n\n" if self.events else PIECE
        while True:
            writer.write(build_chunk(piece))
            await writer.drain()


def read_status_bytes(pid: int, name: str) -> int:
    """Read a figure of a process's status file."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0


def list_socket_inodes(pid: int) -> tuple[set[str], int]:
    """List the sockets of a process by inode, and count its descriptors."""
    inodes = set()
    names = os.listdir(f"/proc/{pid}/fd")
    for name in names:
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    return inodes, len(names)


def read_waiting_bytes() -> dict[str, int]:
    """Read how many bytes wait unread in each socket of the machine, by inode."""
    waiting = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        waiting[fields[9]] = int(fields[4].split(":")[1], 16)
    return waiting


@dataclass(slots=True)
class Usage:
    """What a process used at most."""

    memory_bytes: int = 0
    descriptors: int = 0

    def measure(self, pid: int, waiting: dict[str, int]) -> None:
        """Measure a process now; `waiting` are the bytes unread in each socket."""
        try:
            inodes, descriptors = list_socket_inodes(pid)
            resident = read_status_bytes(pid, "VmRSS")
            peak = read_status_bytes(pid, "VmHWM")
        except (FileNotFoundError, ProcessLookupError):
            # The process has just ended.
            return
        queued = sum(waiting.get(inode, 0) for inode in inodes)
        self.memory_bytes = max(self.memory_bytes, resident + queued, peak)
        self.descriptors = max(self.descriptors, descriptors)


class LimitedSite(Site):
    """One entry, three control instances and three stores, each in its limits."""

    def __init__(self, few_descriptors: bool, idle_ms: int) -> None:
        self.machines = {name: dict(item) for name, item in MACHINES.items()}
        if few_descriptors:
            for machine in self.machines.values():
                machine["max-fds"] = FEW_DESCRIPTORS
        self.configuration = _build_configuration(idle_ms)
        self.usage: dict[str, Usage] = {}
        self._watching: asyncio.Task[None] | None = None
        with mock.patch.object(standin, "fill_in", self._fill_in):
            super().__init__(Record(), Shape(fronts=1))
        for process in self.processes:
            process.command = [sys.executable, *process.command[1:]]

    def _fill_in(self, template: str, fields: dict[str, Any]) -> str:
        limits = self.machines[fields["node-class"]]
        return FILL_IN(template, fields | {"limits": limits})

    def _write_settings(self, process: Process, bootstrap: bool) -> None:
        with mock.patch.object(standin, "fill_in", self._fill_in):
            super()._write_settings(process, bootstrap)

    @property
    def entry(self) -> Process:
        """Return the only entry."""
        return self.list_role("entry")[0]

    def find_address(self, port: str) -> str:
        """Return the address of a port by its name."""
        control = self.list_role("control")[0]
        store = self.list_role("storage")[0]
        return {
            "caller": f"{self.entry.ip}:{self.ports.front}",
            "ready": f"{self.entry.ip}:{self.ports.ready}",
            "operator": f"{control.ip}:{self.ports.control}",
            "directory": f"{control.ip}:{self.ports.directory}",
            "entry's metrics": f"{self.entry.ip}:9464",
            "control's metrics": f"{control.ip}:9464",
            "store's metrics": f"{store.ip}:9464",
            "entry's peer": f"{self.entry.ip}:{self.ports.peer}",
            "control's peer": f"{control.ip}:{self.ports.peer}",
            "store's peer": f"{store.ip}:{self.ports.peer}",
        }[port]

    async def start_all(self) -> None:
        """Start servers and processes, and send one ordinary request."""
        record = self.record
        servers = create_servers(self, record, "lm-pool", 3, 0.05, 8, 16)
        servers += create_servers(self, record, "member-app", 3, 0.02)
        servers += [
            EndlessServer(
                item.name, item.service, item.address, item.zone, record, 0.0, events
            )
            for service, events in (("endless-app", 0), ("endless-pool", 1))
            for item in create_servers(self, record, service, 1, 0.0)
        ]
        await self.start(servers, self.configuration)
        assert await self.send_ordinary() is not None
        self._watching = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            waiting = read_waiting_bytes()
            for process in self.processes:
                self._measure(process, waiting)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _measure(self, process: Process, waiting: dict[str, int]) -> None:
        usage = self.usage.setdefault(process.name, Usage())
        if process.popen is None or process.popen.returncode is not None:
            return
        usage.measure(process.popen.pid, waiting)

    async def send_ordinary(
        self, path: str = "/order/1", body: bytes = b"an order", chunked: bool = False
    ) -> Message | None:
        """Send one request, again until it is answered, and return the answer."""
        for number in range(ORDINARY_TRIES):
            headers = build_headers(f"{id(self):x}{number:04x}{len(body):x}")
            try:
                answer = await self._send_once(path, headers, body, chunked)
            except (BrokenOff, OSError, TimeoutError) as error:
                self.record.add(f"ordinary request: {error!r}")
            else:
                if answer.status == 200:
                    return answer
                self.record.add(f"ordinary request: {answer.status} {answer.body!r}")
            await asyncio.sleep(ORDINARY_PAUSE_S)
        return None

    async def _send_once(
        self, path: str, headers: dict[str, str], body: bytes, chunked: bool
    ) -> Message:
        if not chunked:
            address = self.find_address("caller")
            return await call(address, "POST", path, headers, body, ORDINARY_LIMIT_S)
        pieces = [
            body[at : at + PIECE_BYTES] for at in range(0, len(body), PIECE_BYTES)
        ]
        data = b"".join(build_chunk(piece) for piece in [*pieces, b""])
        headers |= {"Transfer-Encoding": "chunked"}
        head = build_head(f"POST {path} HTTP/1.1", headers)
        return await asyncio.wait_for(self._exchange(head + data), ORDINARY_LIMIT_S)

    async def _exchange(self, data: bytes) -> Message:
        address = split_address(self.find_address("caller"))
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            answer = await read_head(reader)
            if answer is None:
                raise BrokenOff("the channel ended without an answer")
            await read_body(answer, reader)
            return answer
        finally:
            writer.close()

    def list_excesses(self) -> list[str]:
        """List the processes that used more than their machine has, or that ended."""
        found = []
        for process in self.processes:
            usage = self.usage[process.name]
            machine = self.machines[standin.CLASSES[process.role]]
            if usage.memory_bytes > machine["memory-mb"] * BYTES_PER_MB:
                found.append(f"{process.name} used {usage.memory_bytes} bytes")
            if usage.descriptors > machine["max-fds"]:
                found.append(f"{process.name} had {usage.descriptors} descriptors")
            if process.ended:
                found.append(f"{process.name} ended with {process.ended}")
        return found

    async def stop_all(self) -> None:
        """Stop watching, and end the processes."""
        if self._watching is not None:
            self._watching.cancel()
        await self.close()


FILL_IN = standin.fill_in


def build_headers(request: str) -> dict[str, str]:
    """Build the headers of an ordinary request."""
    return {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Api-Key": KEY,
        "X-Deadline-Ms": "3000",
        "X-Program-Id": f"p{request}",
        "X-Session-Id": f"s{request}",
        "X-Token-Budget": "100000",
        "X-Token-Usage": "100,80",
    }


def _build_configuration(idle_ms: int) -> dict[str, Any]:
    configuration = build_configuration()
    configuration["limits"]["idle-timeout-ms"] = idle_ms
    add_route(configuration, "r-endless", ENDLESS_PATH, "endless-app")
    add_route(configuration, "r-stream", ENDLESS_STREAM_PATH, "endless-pool")
    configuration["routes"][-1]["route-kind"] = "streaming"
    chat = dict(configuration["routes"][-1])
    chat |= {"name": "r-endless-chat", "path-prefix": ENDLESS_CHAT_PATH}
    configuration["routes"].append(chat | {"retained": True})
    configuration["tenants"][0] |= {"rate-per-s": 2000, "burst": 2000}
    return configuration


@dataclass(slots=True)
class Play:
    """One play of a crowd against a site, and what was seen."""

    few_descriptors: bool = False
    idle_ms: int = 15_000
    excesses: list[str] = field(default_factory=list)
    answered: bool = False
    usage: dict[str, Usage] = field(default_factory=dict)
    log: str = ""

    def run(self, act: Callable[[LimitedSite], Awaitable[None]]) -> None:
        """Start a site, let a crowd come, and send an ordinary request meanwhile."""
        asyncio.run(self._run(act))

    async def _run(self, act: Callable[[LimitedSite], Awaitable[None]]) -> None:
        site = LimitedSite(self.few_descriptors, self.idle_ms)
        try:
            await site.start_all()
            await act(site)
            self.answered = await site.send_ordinary() is not None
            await asyncio.sleep(2 * WATCH_INTERVAL_S)
            self.excesses = site.list_excesses()
            self.usage = site.usage
            if self.excesses or not self.answered:
                self.log = "\n".join(site.record.lines[-40:])
                self.log += "".join(
                    f"\n{process.name}:\n{process.read_log()[-LOG_CHARACTERS:]}"
                    for process in site.processes
                )
        finally:
            await site.stop_all()
