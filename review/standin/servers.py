"""Servers of the platform and its list of servers, as PROTOCOL.md describes them."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.standin.http import (
    BrokenOff,
    Message,
    build_chunk,
    build_head,
    read_body,
    read_head,
    split_address,
)
from review.standin.record import Record

HEALTH_PATH = "/healthz"
KEEP_ALIVE_S = 60
BUSY = 503
MISDIRECTED = 421


@dataclass(slots=True)
class Run:
    """One request that a server began to work on."""

    request: str
    path: str
    began_at: float
    ended_at: float | None = None


@dataclass(slots=True)
class Server:
    """A sound server: it answers after `work_s`, or streams `events` events.

    The events of a stream come evenly within that. Some requests are shorter, by up to
    the share `spread`.
    """

    name: str
    service: str
    address: str
    zone: str
    record: Record
    work_s: float = 0.05
    events: int = 0
    slots: int = 16
    spread: float = 0.0
    version: str = "v1"
    state: str = "ready"
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    runs: list[Run] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def list_entry(self) -> dict[str, Any]:
        """Return the entry of the platform's list."""
        entry = {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "born": self.born,
        }
        if self.events:
            entry |= {"stage": "both"}
            entry |= {"models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._serve_channel, host, port)

    def crash(self) -> None:
        """Stop listening and reset all channels, as a process does that is killed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(request, reader)
                await self._answer(request, reader, writer)
        except (BrokenOff, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _build_headers(self, request: Message) -> dict[str, str]:
        running = sum(run.ended_at is None for run in self.runs)
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Server-Stamp": f"{self.name}.{len(self.runs)}",
            "X-Server-Load": f"{running},0,{self.slots}",
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
        }
        if self.state == "draining":
            headers |= {"Server-Leaving": "1"}
        return headers

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        _, path, _ = request.first.split(" ")
        if path == HEALTH_PATH:
            healthy = self.state == "ready"
            line = "HTTP/1.1 200 OK" if healthy else "HTTP/1.1 503 Leaving"
            await _send(writer, line, {"X-Instance-Id": self.name}, b"")
            return
        headers = self._build_headers(request)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            headers |= {"X-Not-Executed": "1"}
            await _send(writer, f"HTTP/1.1 {MISDIRECTED} Misdirected", headers, b"")
            return
        if sum(run.ended_at is None for run in self.runs) >= 2 * self.slots:
            headers |= {"X-Not-Executed": "1"}
            await _send(writer, f"HTTP/1.1 {BUSY} Full", headers, b"full")
            return
        await self._run(request, path, headers, reader, writer)

    async def _run(
        self,
        request: Message,
        path: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        run = Run(headers["X-Request-Id"], path, self.record.now())
        self.runs.append(run)
        self.record.add(f"server {self.name} runs {run.request} {path}")
        work = asyncio.ensure_future(self._work(request, headers, writer))
        gone = asyncio.ensure_future(_wait_for_end(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        ended = work.done() and not work.cancelled() and work.exception() is None
        gone.cancel()
        work.cancel()
        await asyncio.gather(work, gone, return_exceptions=True)
        run.ended_at = self.record.now()
        how = "ends" if ended else "is cut off by its caller"
        self.record.add(f"server {self.name}: {run.request} {how}")
        if not ended:
            raise BrokenOff("the caller closed the channel")

    async def _work(
        self, request: Message, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        work_s = self.work_s * random.uniform(1.0 - self.spread, 1.0)
        if not self.events:
            await asyncio.sleep(work_s)
            await _send(writer, "HTTP/1.1 200 OK", headers, b"done by " + request.body)
            return
        headers |= {"Content-Type": "text/event-stream"}
        headers |= {"Transfer-Encoding": "chunked", "X-Weight-Versions": "1"}
        for number in range(1, self.events + 1):
            await asyncio.sleep(work_s / self.events)
            if number == 1:
                writer.write(build_head("HTTP/1.1 200 OK", headers))
            writer.write(build_chunk(f"id: {number}\ndata: w{number}\n\n".encode()))
            await writer.drain()
        writer.write(build_chunk(b""))
        await writer.drain()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Wait until the other side closes; a next request stays in the reader."""
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


async def _send(
    writer: asyncio.StreamWriter, line: str, headers: dict[str, str], body: bytes
) -> None:
    writer.write(build_head(line, headers | {"Content-Length": str(len(body))}))
    writer.write(body)
    await writer.drain()


@dataclass(slots=True)
class ServerList:
    """The platform's list of servers; `foreign` are entries of other writers."""

    address: str
    record: Record
    servers: list[Server] = field(default_factory=list)
    foreign: list[bytes] = field(default_factory=list)
    lag_s: float = 0.8
    calls: int = 0

    def build_page(self) -> bytes:
        """Build the only page of the list."""
        entries = [json.dumps(server.list_entry()).encode() for server in self.servers]
        entries += self.foreign
        return b'{"instances":[' + b",".join(entries) + b'],"next":null}'

    async def start(self) -> None:
        """Listen, and show each change after the lag."""
        host, port = split_address(self.address)
        await asyncio.start_server(self._serve_channel, host, port)

    async def change(self, change: Callable[[], None]) -> None:
        """Change what the list shows, after its lag."""
        await asyncio.sleep(self.lag_s)
        change()

    async def _serve_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(request, reader)
                self.calls += 1
                headers = {"Content-Type": "application/json"}
                await _send(writer, "HTTP/1.1 200 OK", headers, self.build_page())
        except (BrokenOff, ConnectionError):
            pass
        finally:
            writer.close()
