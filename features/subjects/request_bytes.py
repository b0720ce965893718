"""Request bytes of all kinds at the listening addresses of a site."""

import random
import sys
from collections import Counter
from dataclasses import dataclass, field

import anyio
import anyio.abc

from burdockwall.fakes.ports import find_address
from burdockwall.settings import Settings
from burdockwall.types import Address, Role
from features.subjects.platform import HOST
from features.subjects.surviving_errors import SurvivingSite

ANSWER_LIMIT_S = 4.0
PATIENCE_S = 0.3
PARALLEL = 8
METHODS = ("GET", "POST", "PUT", "HEAD", "OPTIONS", "CONNECT", "B@D", "")
PATHS = (
    "/api/config/put",
    "/api/config/get",
    "/api/retire/store-1/get",
    "/api/retire//start",
    "/api/retire/%ff%fe/start",
    "/api/retire/%ed%a0%80/get",
    "/api/evacuate/%ff/start",
    "/api/evacuate/%ed%a0%80/end",
    "/api/evacuate//start",
    "/api/evacuate/a%00b/start",
    "/api/resolve?zone=%ff&name=%00",
    "/api/resolve?zone=a&zone=b&&&=",
    "/api/resolve?" + "a=" * 4000,
    "/metrics",
    "/ready",
    "/tool/%ed%a0%80",
    "/tool/1",
    "/",
    "//",
    "*",
    "http://[::1/",
    "/" + "x" * 40_000,
    "/%",
    "/%zz",
    "\xff\xfe",
)
BODIES = (
    b"",
    b"{}",
    b"[]",
    b"null",
    b"\xff\xfe",
    b'{"version": 99999999999999999999999999}',
    b'{"version": "\\ud800"}',
    b"[" * 100_000,
    b'{"a":' * 20_000,
    b'{"version": 4, "routes": 7}',
    b"x" * 200_000,
)
HEADERS = (
    "content-length: -1",
    "content-length: 5, 6",
    "content-length: 99999999999999999999",
    "transfer-encoding: chunked",
    "transfer-encoding: gzip",
    "expect: 100-continue",
    "upgrade: h2c",
    "upgrade: websocket",
    "connection: close",
    "x-api-key: \xff\xfe",
    "x-deadline-ms: 1e999",
    "x-deadline-ms: nan",
    "x-deadline-ms: -5",
    "x-token-budget: " + "9" * 400,
    "x-request-id: " + "z" * 5000,
    "x-request-id: \xff",
    "last-event-id: " + "9" * 5000,
    "x-program-id: \xff",
    "x-previous-turn: \x00",
    "x-prompt-prefix: ,,:,a:-1,b:1e9",
    ": empty",
    "no colon",
)


def build_request(generator: random.Random) -> bytes:
    """Build the bytes of a request, of which most are wrong in some way."""
    kind = generator.randrange(6)
    if kind == 0:
        return generator.randbytes(generator.randint(1, 2000))
    methods = METHODS if kind < 3 else METHODS[:3]
    method, path = generator.choice(methods), generator.choice(PATHS)
    body = generator.choice(BODIES)
    lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}"]
    lines += generator.sample(HEADERS, generator.choice((0, 0, 0, 1, 4)))
    if generator.random() < 0.8:
        lines.append(f"content-length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    if kind == 1:
        return data[: generator.randrange(1, len(data))]
    if kind == 2:
        changed = bytearray(data)
        for _ in range(generator.randint(1, 5)):
            changed[generator.randrange(min(300, len(changed)))] = generator.randrange(
                256
            )
        return bytes(changed)
    return data


@dataclass(slots=True)
class Tally:
    """The outcomes of requests: the status, or how the connection ended."""

    outcomes: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


class RequestBytesSite(SurvivingSite):
    """A site whose addresses get bytes of all kinds."""

    def __init__(self) -> None:
        super().__init__()
        self.metrics_address = find_address()

    def _create_settings(self, role: Role, host: str, name: str) -> Settings:
        settings = super()._create_settings(role, host, name)
        if name == "entry-1":
            settings.metrics_address = self.metrics_address
        return settings

    def list_addresses(self) -> dict[str, Address]:
        entry = self.entries[0].settings
        return {
            "operators": self.seeds[0],
            "directory": self.directory,
            "ready": entry.ready_address,
            "callers": entry.caller_address,
            "metrics": self.metrics_address,
        }

    def count_errors(self) -> int:
        """Count the errors that the instances survived."""
        nodes = (*self.control_nodes, *self.stores, *self.entries)
        return sum(node.member.bus.failures.count for node in nodes)

    def send_all(self, count: int, seed: int) -> Tally:
        return anyio.run(self._send_all, count, seed)

    async def _send_all(self, count: int, seed: int) -> Tally:
        tally = Tally()
        addresses = self.list_addresses()
        limiter = anyio.CapacityLimiter(PARALLEL)
        async with anyio.create_task_group() as group:
            for number in range(seed, seed + count):
                name = sorted(addresses)[number % len(addresses)]
                group.start_soon(
                    self._send, tally, limiter, name, addresses[name], number
                )
        return tally

    async def _send(
        self,
        tally: Tally,
        limiter: anyio.CapacityLimiter,
        name: str,
        address: Address,
        number: int,
    ) -> None:
        data = build_request(random.Random(number))
        async with limiter:
            outcome = await self._ask(address, data)
        tally.outcomes[f"{name} {outcome}"] += 1
        if outcome in ("500", "no connection", "no end"):
            tally.faults.append(f"{number} {name}: {outcome} for {data[:120]!r}")

    async def _ask(self, address: Address, data: bytes) -> str:
        host, _, port = address.rpartition(":")
        received = b""
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                with anyio.move_on_after(ANSWER_LIMIT_S) as scope:
                    received = await self._exchange(stream, data)
        except OSError:
            return "no connection"
        if scope.cancelled_caught:
            return "no end"
        return received.split(b" ")[1].decode("latin-1") if received else "closed"

    async def _exchange(self, stream: anyio.abc.SocketStream, data: bytes) -> bytes:
        try:
            await stream.send(data)
            with anyio.move_on_after(PATIENCE_S):
                return await stream.receive()
            # The server may wait for the rest of the request.
            await stream.send_eof()
            return await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            return b""


def main(count: int, seed: int) -> None:
    """Send requests to a site, and print how they ended."""
    site = RequestBytesSite()
    try:
        site.start()
        tally = site.send_all(count, seed)
        for outcome, number in sorted(tally.outcomes.items()):
            print(number, outcome)
        print(len(tally.faults), "faults", *tally.faults[:20], sep="\n")
        print("ended:", site.ended, "errors:", site.count_errors())
    finally:
        site.close()


if __name__ == "__main__":
    main(*(int(argument) for argument in sys.argv[1:3]))
