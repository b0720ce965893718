"""A real process of the own interface in little memory, and crowds at its ports."""

import asyncio
import json
import os
import signal
import ssl
import sys
import tempfile
import threading
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx

from burdockwall.client import OperatorClient
from burdockwall.fakes.engine import FakeEngine, FakeService
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.site import (
    CUSTOMER,
    SitePlan,
    build_configuration,
    wait_until_listening,
)
from burdockwall.process.web import serve_address
from burdockwall.types import Address, OperatorId
from burdockwall.version.configuration import print_configuration
from features.subjects import crowds
from features.subjects.crowds import Crowd
from features.subjects.limited_site import (
    BYTES_PER_MB,
    LOG_CHARACTERS,
    ORDINARY_LIMIT_S,
    ORDINARY_PAUSE_S,
    ORDINARY_TRIES,
    WATCH_INTERVAL_S,
    Usage,
    read_waiting_bytes,
)
from features.subjects.tls import Authority
from review.standin.http import build_head

MEMORY_MB = 200
DESCRIPTORS = 600
TOKEN_S = 0.001
START_LIMIT_S = 20.0
KEPT_TURNS = 25
SETTINGS = """
[listen]
caller = {caller}
operator = {operator}
peer = {peer}
[machine]
memory = {memory}
descriptors = {descriptors}
"""


class FakesThread(threading.Thread):
    """The endpoints of the process, on a loop of their own."""

    def __init__(self, engine: Address, service: Address) -> None:
        super().__init__(daemon=True)
        self.engine, self.service = engine, service

    def run(self) -> None:
        anyio.run(self._run)

    async def _run(self) -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            engine, service = FakeEngine(TOKEN_S), FakeService()
            group.start_soon(serve_address, self.engine, engine.serve, stop, 0.1)
            group.start_soon(serve_address, self.service, service.serve, stop, 0.1)


@dataclass(slots=True)
class OwnPlay:
    """One play of a crowd against one process, and what was seen."""

    secure: bool
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    addresses: dict[str, Address] = field(default_factory=dict)
    authority: Authority | None = None
    key: str = ""
    usage: Usage = field(default_factory=Usage)
    excesses: list[str] = field(default_factory=list)
    answered: bool = False
    log: str = ""
    process: asyncio.subprocess.Process | None = None

    def run(self, act: Callable[["OwnPlay"], Awaitable[None]]) -> None:
        """Start the process, let a crowd come, and send an ordinary request."""
        asyncio.run(self._run(act))

    async def _run(self, act: Callable[["OwnPlay"], Awaitable[None]]) -> None:
        names = ("caller", "operator", "peer", "engine", "service")
        self.addresses = {name: find_address() for name in names}
        FakesThread(self.addresses["engine"], self.addresses["service"]).start()
        log = self.folder / "log.txt"
        with log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "burdockwall", "serve", "--settings", self._write_settings()),
                stdout=output,
                stderr=output,
            )
        try:
            await asyncio.wait_for(self._configure(), START_LIMIT_S)
            assert await self._send_ordinary(), log.read_text()
            watching = asyncio.create_task(self._watch())
            await act(self)
            self.answered = await self._send_ordinary()
            await asyncio.sleep(2 * WATCH_INTERVAL_S)
            watching.cancel()
            self._list_excesses()
            self.log = log.read_text()[-LOG_CHARACTERS:]
        finally:
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def _write_settings(self) -> str:
        text = SETTINGS.format(
            **self.addresses, memory=MEMORY_MB, descriptors=DESCRIPTORS
        )
        if self.secure:
            self.authority = Authority(self.folder, "authority")
            files = self.authority.create_certificate("entry")
            text += f"[tls]\ncaller_certificate = {files.certificate}\n"
            text += f"caller_key = {files.key}\n"
        path = self.folder / "settings.ini"
        path.write_text(text)
        return str(path)

    async def _configure(self) -> None:
        authority = self.authority.path if self.authority else None
        operator = OperatorClient(
            self.addresses["operator"], OperatorId("demo"), authority
        )
        await wait_until_listening(self.addresses["operator"])
        await wait_until_listening(self.addresses["caller"])
        plan = SitePlan(rate_per_s=2000.0, burst=2000)
        text = print_configuration(
            build_configuration(
                plan, [self.addresses["engine"]], self.addresses["service"]
            )
        )
        await asyncio.to_thread(operator.submit, text)
        self.key = await asyncio.to_thread(operator.issue_key, CUSTOMER)

    async def _send_ordinary(self) -> bool:
        scheme = "https" if self.secure else "http"
        async with httpx.AsyncClient(
            base_url=f"{scheme}://{self.addresses['caller']}",
            verify=self.create_context() or True,
            trust_env=False,
            timeout=ORDINARY_LIMIT_S,
        ) as client:
            for _ in range(ORDINARY_TRIES):
                headers = {"authorization": f"Bearer {self.key}"}
                try:
                    answer = await client.get("/stock/filters", headers=headers)
                    if answer.status_code == 200:
                        return True
                except httpx.TransportError:
                    pass
                await asyncio.sleep(ORDINARY_PAUSE_S)
        return False

    def create_context(self, protocol: str = "http/1.1") -> ssl.SSLContext | None:
        """Create the context of a client, or return None without TLS."""
        if self.authority is None:
            return None
        context = ssl.create_default_context(cafile=str(self.authority.path))
        context.set_alpn_protocols([protocol])
        return context

    async def _watch(self) -> None:
        assert self.process is not None
        while self.process.returncode is None:
            self.usage.measure(self.process.pid, read_waiting_bytes())
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _list_excesses(self) -> None:
        assert self.process is not None
        if self.usage.memory_bytes > MEMORY_MB * BYTES_PER_MB:
            self.excesses.append(f"used {self.usage.memory_bytes} bytes")
        if self.usage.descriptors > DESCRIPTORS:
            self.excesses.append(f"had {self.usage.descriptors} descriptors")
        if self.process.returncode is not None:
            self.excesses.append(f"ended with {self.process.returncode}")

    def create_crowd(self, port: str = "caller", protocol: str = "http/1.1") -> Crowd:
        """Create a crowd for one of the ports."""
        return Crowd(self.addresses[port], tls=self.create_context(protocol))

    def build_post(self, path: str, lines: dict[str, str]) -> bytes:
        """Build the head of a request that bears a key."""
        name = os.urandom(8).hex()
        headers = {"Host": "site.example", "Authorization": f"Bearer {self.key}"}
        headers |= {"Idempotency-Key": name}
        return build_head(f"POST {path} HTTP/1.1", headers | lines)


BODY_BYTES = 4 * crowds.MIB


async def come(play: OwnPlay, text: str) -> Crowd:
    """Let the crowd come that a text describes."""
    first, _, kind = text.partition(" ")
    count = int(first)
    port, protocol, piece, body = "caller", "http/1.1", crowds.PIECE, b""
    lines = {"Content-Length": str(BODY_BYTES)}
    match kind:
        case "bodies announced as 10 GB":
            lines = {"Content-Length": str(crowds.ENDLESS_BYTES)}
        case "chunked bodies without end":
            lines, piece = crowds.CHUNKED, crowds.BIG_CHUNK
        case "chunked bodies without end to the operator port":
            port, lines, piece = "operator", crowds.CHUNKED, crowds.BIG_CHUNK
        case "bodies that lack their last byte":
            body = b"x" * (BODY_BYTES - 1)
        case "whole filings":
            body = b"x" * BODY_BYTES
        case "streams of HTTP/2 without end":
            protocol = "h2"
    crowd = play.create_crowd(port, protocol)
    if kind == "series of kept turns":
        await _come_with_kept_turns(play, crowd, count)
        return crowd
    if kind in ("idle connections", "unfinished heads"):
        head = play.build_post("/filings", {})[:-4] if kind[0] == "u" else b""
        await _come_and_stay(crowd, count, head, reads=False)
    elif protocol == "h2":
        await crowds.send_streams(crowd, count, 20, _list_stream_headers(play))
    elif body:
        head = play.build_post("/filings", lines)
        await _come_and_stay(crowd, count, head + body, reads=True)
    else:
        await crowds.send_bodies(
            crowd, count, play.build_post("/filings", lines), piece
        )
    return crowd


async def _come_with_kept_turns(play: OwnPlay, crowd: Crowd, count: int) -> None:
    """Send turns whose texts don't shrink when they are packed, one after the other."""
    text = os.urandom(crowds.MIB).hex()
    content = {"role": "user", "content": text}
    body = json.dumps({"model": "inspector", "messages": [content]}).encode()
    lines = {"Content-Length": str(len(body)), "Connection": "close"}
    lines |= {"Program-Turn": "1"}

    async def act(client: crowds.Client) -> None:
        for _ in range(KEPT_TURNS):
            head = play.build_post(
                "/v1/chat/completions", lines | {"Program-Id": os.urandom(8).hex()}
            )
            await client.connect()
            await client.send(head + body)
            await client.read_on()

    await crowd.come(count, act)


async def _come_and_stay(crowd: Crowd, count: int, data: bytes, reads: bool) -> None:
    async def act(client: crowds.Client) -> None:
        await client.connect()
        await client.send(data)
        if reads:
            await client.read_on()

    await crowd.come(count, act)


def _list_stream_headers(play: OwnPlay) -> list[tuple[str, str]]:
    return [
        (":method", "POST"),
        (":scheme", "https"),
        (":path", "/filings"),
        (":authority", "site.example"),
        ("authorization", f"Bearer {play.key}"),
        ("idempotency-key", os.urandom(8).hex()),
    ]
