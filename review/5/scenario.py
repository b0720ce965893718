"""A planned stop of one entry while clients that know it go on sending.

Half of the clients keep the directory's answer for three times its ttl, so they connect
to the entry until six seconds after its SIGTERM. Streams last two to three seconds.
"""

import asyncio
import random
import signal
from pathlib import Path

from review.standin.case import create_servers, run_case
from review.standin.client import Client, Sent
from review.standin.http import BrokenOff
from review.standin.record import Record
from review.standin.settings import DRAFT, HOST, KEY, PING, build_configuration
from review.standin.site import BOUNDS, ZONES, Process, Site

STREAM_S = 3.2
# Some streams are shorter, by up to this share.
SPREAD = 0.35
STREAM_EVENTS = 16
CLIENTS = 210
# Of these clients, every second one keeps the directory's answer three times as long.
LONG_EVERY = 2
BEFORE_S = 9.0
AFTER_S = 11.0
TURN = {"X-Model": "m", "X-Token-Usage": "300,160", "X-Prompt-Prefix": "5c1e07a2:300"}


async def play(site: Site, record: Record, trouble: bool) -> bool:
    """Return whether no request was lost around the planned stop."""
    servers = [
        *create_servers(
            site, record, "lm-pool", 14, STREAM_S, STREAM_EVENTS, 16, SPREAD
        ),
        *create_servers(site, record, "member-app", 3, 0.02),
    ]
    await site.start(servers, build_configuration())
    clients = [
        Client(site, HOST, ZONES[n % 3], KEY, 1.0 if n % LONG_EVERY else 3.0)
        for n in range(CLIENTS)
    ]
    until = record.now() + BEFORE_S + AFTER_S
    tasks = [asyncio.create_task(_go_on(client, until)) for client in clients]
    await asyncio.sleep(BEFORE_S)
    stopped = site.list_role("entry")[0]
    stopped_at = record.now()
    if trouble:
        asyncio.create_task(_stop(stopped))
    await asyncio.gather(*tasks)
    runs = {run.request for server in servers for run in server.runs}
    address = f"{stopped.ip}:{site.ports.front}"
    lost = [
        sent
        for client in clients
        for sent in client.sent
        if sent.address == address
        and sent.request in runs
        and _is_lost(sent, stopped_at)
    ]
    total = sum(len(client.sent) for client in clients)
    whole = sum(sent.whole for client in clients for sent in client.sent)
    record.add(f"{total} requests, {whole} answered whole")
    for sent in lost:
        record.add(
            f"LOST: {sent.request} sent {sent.sent_at - stopped_at:.3f} s after the "
            f"SIGTERM, passed on, cut off after {sent.ended_at - sent.sent_at:.3f} s"
        )
    for client in clients:
        client.close()
    return not lost


def _is_lost(sent: Sent, stopped_at: float) -> bool:
    """Return whether LOST counts a request that was passed on to a server."""
    cut_after_s = sent.ended_at - stopped_at
    if sent.whole or not 0.0 <= cut_after_s <= BOUNDS["grace-s"] + 1.0:
        return False
    # Its time budget and its route's timeout are 4 s; both were far from over.
    if sent.ended_at - sent.sent_at > 3.5:
        return False
    late = cut_after_s > BOUNDS["grace-s"] * 5 / 6
    excused = late and sent.sent_at - stopped_at <= 3.0
    return not excused


async def _go_on(client: Client, until: float) -> None:
    """Send turns of a program, one after the other."""
    await asyncio.sleep(random.uniform(0.0, 6.0))
    record = client.site.record
    while record.now() < until:
        try:
            await client.choose()
        except BrokenOff:
            await asyncio.sleep(0.2)
            continue
        program = {"X-Program-Id": f"{random.getrandbits(32):x}"}
        if random.random() < 0.2:
            await client.send("GET", PING + "2f")
            continue
        await client.send("POST", DRAFT + "2f", TURN | program, b"question")


async def _stop(process: Process) -> None:
    """Stop a process as the platform does: SIGTERM, and SIGKILL after the grace."""
    stopped = process.popen
    process.signal(signal.SIGTERM)
    await asyncio.sleep(BOUNDS["grace-s"])
    if process.popen is stopped:
        process.signal(signal.SIGKILL)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
