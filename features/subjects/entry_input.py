"""Faulty requests and connections to a running entry instance."""

import sys
from dataclasses import dataclass, field

import anyio
import httpx

from burdockwall.fakes.engine import FakeEngine
from burdockwall.fakes.site import Site, SitePlan
from burdockwall.settings import Settings
from features.subjects.idle_holder import READY
from features.subjects.path import MODEL, TOKEN_S, PathSubject

BODY_LIMIT_BYTES = 50_000
SILENCE_S = 0.5
IDLE_S = 1.0
CLOSE_LIMIT_S = 5.0
URL = "/v1/chat/completions"
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"


def create_input_plan(body_memory_bytes: int = 10_000_000) -> SitePlan:
    settings = Settings(
        drain_hold_s=0.0,
        drain_limit_s=2.0,
        max_body_bytes=BODY_LIMIT_BYTES,
        body_memory_bytes=body_memory_bytes,
        body_silence_s=SILENCE_S,
        caller_idle_s=IDLE_S,
    )
    return SitePlan([FakeEngine(TOKEN_S)], settings, 1000.0, 1000)


@dataclass(slots=True)
class EntryInputSubject:
    """Sends faulty input and then a good request, and stores both results."""

    plan: SitePlan
    responses: list[httpx.Response] = field(default_factory=list)
    good_status: int = 0
    closed: bool = False
    body_bytes_after: int = -1

    def run(self, action) -> None:
        path = PathSubject(self.plan)

        async def act(site: Site, client: httpx.AsyncClient) -> None:
            await action(site, client, path)
            self.body_bytes_after = site.node.entry.budget.reserved_bytes
            base = f"http://{site.node.settings.caller_address}"
            async with httpx.AsyncClient(base_url=base, trust_env=False) as fresh:
                good = await path.post_turn(fresh, path.build_headers(1), "good")
                self.good_status = good.status_code

        path.run(act)

    async def send_fault(self, site, client, path, fault: str) -> None:
        headers = path.build_headers(1)
        headers["program-id"] = "faulty"
        good = {"model": MODEL, "messages": [{"role": "user", "content": "a"}]}
        match fault:
            case "oversized":
                request = {"content": b"a" * (BODY_LIMIT_BYTES + 1)}
            case "malformed":
                request = {"content": b'{"model": "inspector", "messages": ['}
            case "not completion":
                request = {"json": {"model": 5, "messages": "none"}}
            case "slow in its body":
                request = {"content": self._send_slowly()}
            case "with a header twice":
                pairs = [*headers.items(), ("program-id", "other")]
                request = {"json": good, "headers": pairs}
            case "of a negative turn":
                request = {"json": good, "headers": {**headers, "program-turn": "-1"}}
            case "to no route":
                response = await client.post("/nowhere", headers=headers, json=good)
                self.responses.append(response)
                return
            case "with a dot segment":
                url = "/filings/%2e%2e/secret"
                response = await client.post(url, headers=headers, json=good)
                self.responses.append(response)
                return
        request.setdefault("headers", headers)
        self.responses.append(await client.post(URL, **request))

    async def _send_slowly(self):
        yield b'{"model": '
        await anyio.sleep(4 * SILENCE_S)
        yield b'"inspector"}'

    async def open_fault(self, site, client, path, fault: str) -> None:
        host, _, port = site.node.settings.caller_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            match fault:
                case "sending noise":
                    await stream.send(bytes(range(256)) * 4)
                case "of a wrong version":
                    await stream.send(b"GET / HTTP/7.3\r\n\r\n")
                case "half-closed":
                    await stream.send(HEAD + b"content-length: 10\r\n\r\nab")
                    await stream.send_eof()
                case "silent within a header":
                    await stream.send(HEAD)
                case "endless in a header":
                    await self._send_endless(stream)
            with anyio.move_on_after(CLOSE_LIMIT_S):
                await self._read_to_end(stream)

    async def _send_endless(self, stream) -> None:
        try:
            await stream.send(HEAD + b"x-long: ")
            for _ in range(100):
                await stream.send(b"a" * 10_000)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed = True

    async def _read_to_end(self, stream) -> None:
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.closed = True

    async def pause_in_bodies(self, site, client, path, count: int, size: int) -> None:
        async def send(number: int) -> None:
            headers = path.build_headers(1)
            headers["program-id"] = f"held-{number}"
            body = self._send_with_pause(size)
            self.responses.append(await client.post(URL, headers=headers, content=body))

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(send, number)

    async def _send_with_pause(self, size: int):
        yield b"a" * size
        await anyio.sleep(SILENCE_S / 2)
        yield b"a"

    async def stay_idle(self, site, client, path, count: int) -> None:
        host, _, port = site.node.settings.caller_address.rpartition(":")
        command = [sys.executable, "-m", "features.subjects.idle_holder"]
        command += [host, port, str(count)]
        async with await anyio.open_process(command, stderr=None) as holder:
            ready = await holder.stdout.receive()
            assert ready == f"{READY} {count}\n".encode(), ready
            base = f"http://{site.node.settings.caller_address}"
            async with httpx.AsyncClient(base_url=base, trust_env=False) as fresh:
                good = await path.post_turn(fresh, path.build_headers(1), "good")
                assert good.status_code == 200, good.text
            holder.terminate()
