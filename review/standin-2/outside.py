"""Stand-ins for the platform's list, servers, clients and the operator."""

import asyncio
import itertools
import json
import random
import time

from fleet import LIST_PORT, ROLE_PORTS

READ_LIMIT = 16_777_216
CALL_TIMEOUT_S = 1.0
_ids = itertools.count(1)
_run = f"{random.getrandbits(32):08x}"


def create_id():
    """Return a request id that no other request has."""
    return f"{_run}{next(_ids):08x}"


class Answer:
    """What a client got: the status, or None where the channel ended without one."""

    def __init__(self, status=None, headers=None, body=b"", whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole

    def __str__(self):
        kind = "whole" if self.whole else "cut"
        return f"{self.status} ({len(self.body)} bytes, {kind})"


async def read_head(reader):
    """Read a head; return its first line and headers."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yield the chunks of a body."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return
        yield data


async def read_answer(reader):
    """Read one answer, whole or as far as it came."""
    answer = Answer()
    try:
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split()[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            async for chunk in read_chunks(reader):
                answer.body += chunk
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.whole = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial if answer.status else b""
    except (OSError, ValueError):
        pass
    return answer


async def call(address, method, path, headers=None, body=b"", timeout_s=5.0):
    """Send one request on a new channel and return its answer."""
    host, _, port = address.rpartition(":")
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=READ_LIMIT
            )
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            named = {"Host": address, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in named.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            answer = await read_answer(reader)
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class PlatformList:
    """The platform's list of servers."""

    def __init__(self, address):
        self.host = address.rpartition(":")[0]
        self.servers = []

    async def start(self):
        """Listen."""
        return await asyncio.start_server(self._serve, self.host, LIST_PORT)

    async def _serve(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                entries = [server.describe() for server in self.servers]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Run:
    """One run of a request at a server."""

    def __init__(self, request, path, headers, body):
        self.at = time.monotonic()
        self.request = request
        self.path = path
        self.headers = headers
        self.body = body


class Server:
    """A sound server: it answers what it runs, and streams where `events` is set."""

    def __init__(self, name, service, ip, port, zone, events=0, work_s=0.01):
        self.name = name
        self.service = service
        self.address = f"{ip}:{port}"
        self.ip = ip
        self.port = port
        self.zone = zone
        self.events = events
        self.work_s = work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []

    def describe(self):
        """Return the entry of the list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "cold-left-ms": 0,
            "born": self.born,
        }

    async def start(self):
        """Listen."""
        return await asyncio.start_server(
            self._serve, self.ip, self.port, limit=READ_LIMIT
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                body = b""
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    async for chunk in read_chunks(reader):
                        body += chunk
                else:
                    length = int(headers.get("content-length", 0))
                    body = await reader.readexactly(length)
                await self._answer(writer, method, path, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, method, path, headers, body):
        request = headers.get("x-request-id", "")
        if path == "/healthz":
            self._write(writer, 200, request, [f"X-Instance-Id: {self.name}"], b"")
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            self._write(writer, 421, request, ["X-Not-Executed: 1"], b"")
            return
        run = Run(request, path, headers, body)
        self.runs.append(run)
        await asyncio.sleep(self.work_s)
        stamp = f"X-Server-Stamp: {self.name}.{len(self.runs)}"
        if not self.events:
            text = f"{self.name} ran {request}".encode()
            self._write(writer, 200, request, [stamp], text)
            return
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request}",
            stamp,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {request}.{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.work_s)
        writer.write(b"0\r\n\r\n")

    def _write(self, writer, status, request, headers, body):
        head = [
            f"HTTP/1.1 {status} X",
            f"X-Request-Id: {request}",
            *headers,
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)


class Operator:
    """Sends configurations as the page of the operator's calls says."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record

    async def call(self, method, path, body=b"", tries=20):
        """Call any daemon until one answers with a final status."""
        answer = Answer()
        for number in range(tries):
            control = self.fleet.controls[number % len(self.fleet.controls)]
            address = f"{control.ip}:{ROLE_PORTS['control']}"
            for _ in range(3):
                headers = {"Content-Type": "application/json"}
                answer = await call(
                    address, method, path, headers, body, CALL_TIMEOUT_S
                )
                if answer.status != 307:
                    break
                address = answer.headers["location"].split("/")[2]
            if answer.status in (200, 400, 404, 409, 412, 413, 422):
                return answer
            await asyncio.sleep(min(1.0, 0.1 * 1.5**number))
        return answer

    async def put(self, configuration):
        """Send a configuration; return whether it was acknowledged."""
        body = json.dumps(configuration).encode()
        answer = await self.call("POST", "/api/config/put", body)
        version = configuration["version"]
        self.record.write(f"operator: put {version}: {answer.status}")
        return answer.status == 200

    async def read_version(self):
        """Read the configuration back; return its version or None."""
        answer = await self.call("GET", "/api/config/get")
        return json.loads(answer.body)["version"] if answer.status == 200 else None


async def wait_until_ready(fleet, record, limit_s=25.0):
    """Wait until all entries answer 200 at their ready address."""
    until = time.monotonic() + limit_s
    waiting = list(fleet.entries)
    while waiting and time.monotonic() < until:
        address = f"{waiting[0].ip}:{ROLE_PORTS['ready']}"
        answer = await call(address, "GET", "/api/readyz", timeout_s=1.0)
        if answer.status == 200:
            record.write(f"{waiting[0].name} is ready")
            del waiting[0]
        else:
            await asyncio.sleep(0.1)
    return not waiting
