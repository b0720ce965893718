"""Agent programs whose turns are kept, and the configuration that they need."""

import asyncio
import time

from fleet import ROLE_PORTS
from outside import PlatformList, Server, call, create_id

HOST = "host.example"
KEY = "key-of-tenant-a"
DEADLINE_MS = 3000
PAUSE_S = 0.25
SERVER_EVENTS = 3


def build_configuration(version, retention_s):
    """Build a configuration with one route whose turns are kept."""
    route = {
        "name": "r-chat",
        "host": HOST,
        "path-prefix": "/chat/",
        "route-kind": "streaming",
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 250,
        "priority": 0,
        "service": "models",
        "max-attempts": 1,
        "retained": True,
        "retention-s": retention_s,
        "public": False,
        "sticky": True,
        "resumable": False,
        "max-gap-ms": 150,
    }
    engine = {"slots": 16, "kv-capacity": 145737, "event-tokens": 14}
    service = {"name": "models", "health-path": "/healthz", "max-conns": 130}
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    tenant = {"name": "tenant-a", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}
    return {
        "version": version,
        "routes": [route],
        "services": [{**service, "engine": engine}],
        "limits": limits,
        "tenants": [tenant],
    }


async def start_outside(fleet):
    """Start the platform's list and three model servers; return the servers."""
    platform = PlatformList(fleet.list_address)
    servers = [
        Server(
            f"i-{zone}",
            "models",
            fleet.server_ip,
            9001 + at,
            f"zone-{zone}",
            SERVER_EVENTS,
        )
        for at, zone in enumerate("abc")
    ]
    platform.servers = servers
    await platform.start()
    for server in servers:
        await server.start()
    return servers


class Callers:
    """The clients of agent programs."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.sent = 0

    async def send(self, program, previous=None, body=b"input"):
        """Send one turn on a new channel; return its id and its answer."""
        request = create_id()
        entry = self.fleet.entries[self.sent % len(self.fleet.entries)]
        self.sent += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Deadline-Ms": DEADLINE_MS,
            "X-Api-Key": KEY,
            "X-Program-Id": program,
            "X-Session-Id": f"{program}-1",
            "X-Finish-Ms": 60000,
            "X-Token-Budget": 1000000,
            "X-Token-Usage": "100,80",
        }
        if previous is not None:
            headers["X-Previous-Turn"] = previous
        address = f"{entry.ip}:{ROLE_PORTS['front']}"
        limit_s = DEADLINE_MS / 1000
        answer = await call(address, "POST", "/chat/turn", headers, body, limit_s)
        return request, answer

    async def converse(self, program, times):
        """Send turns at some times, each of which continues the one before."""
        previous = None
        sent = served = 0
        for at in times:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            turn, answer = await self.send(program, previous)
            sent += 1
            if is_served(answer):
                previous = turn
                served += 1
        self.record.write(f"{program}: {sent} turns in one line, {served} served")
        return previous

    async def send_pairs(self, seconds, name):
        """Send programs of two turns; return how many turns were sent and served."""
        until = time.monotonic() + seconds
        sent = served = number = 0
        statuses = {}
        while time.monotonic() < until:
            number += 1
            program = f"{name}-{number}"
            turn, answer = await self.send(program)
            answers = [answer]
            if is_served(answer):
                answers.append((await self.send(program, turn))[1])
            for each in answers:
                sent += 1
                served += is_served(each)
                statuses[each.status] = statuses.get(each.status, 0) + 1
            await asyncio.sleep(PAUSE_S)
        counts = f"{sent} turns sent, {served} served"
        self.record.write(f"{name}: {counts}, statuses {statuses}")
        return sent, served


def is_served(answer):
    """Return whether an answer is a whole success."""
    return answer.status == 200 and answer.whole
