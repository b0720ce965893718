"""An entry of another writer in the platform's list that can't be read.

A text in it ends within a character that takes two escapes. It names no server to use,
and the others hold. A new service then starts, and a new configuration has a route to
it.
"""

import asyncio
import json
from pathlib import Path

from review.standin.case import create_servers, run_case
from review.standin.client import Client
from review.standin.record import Record
from review.standin.settings import (
    HOST,
    KEY,
    ORDER,
    add_route,
    build_configuration,
)
from review.standin.site import ZONES, Site

LATER = "/later/"
REQUESTS = 60
# The rule holds for a route that was added later from 20 requests on, if it is served
# less than a quarter as often as the first ones.
LEAST_REQUESTS = 20
SHARE = 0.25
# In steady state: contact-ms after the last change is over, and config-apply-ms too.
SETTLED_S = 8.0


async def play(site: Site, record: Record, trouble: bool) -> bool:
    """Return whether the later route is served as the first ones are."""
    servers = [
        *create_servers(site, record, "lm-pool", 3, 0.3, 8, 16),
        *create_servers(site, record, "member-app", 3, 0.05),
    ]
    configuration = build_configuration()
    await site.start(servers, configuration)
    if trouble:
        foreign = {
            "id": "backup-agent-7",
            "service": "backup-agent",
            "address": f"{site.network}.{site.find_host()}:9100",
            "zone": "bergen-a",
            "version": "2.1",
            "state": "ready",
            "note": "backed up \ud83d",
        }
        shown = json.dumps(foreign).encode()
        record.add(f"the list shows an entry of another writer: {shown.decode()}")
        site.list.foreign.append(shown)
    await asyncio.sleep(2.0)
    later = create_servers(site, record, "later-app", 3, 0.05)
    for server in later:
        await server.start()
    await site.list.change(lambda: site.list.servers.extend(later))
    record.add("the list shows the servers of later-app")
    add_route(configuration, "r-later", LATER, "later-app")
    await site.put_configuration(configuration)
    await asyncio.sleep(SETTLED_S)
    clients = [Client(site, HOST, zone, KEY) for zone in ZONES]
    served = {ORDER: 0, LATER: 0}
    for number in range(REQUESTS):
        for prefix in served:
            client = clients[number % len(clients)]
            sent = await client.send("POST", prefix + "2f", body=b"order")
            served[prefix] += sent.whole and sent.status == 200
        await asyncio.sleep(0.1)
    record.add(f"served of {REQUESTS} each: {served}; {site.list.calls} list calls")
    for client in clients:
        client.close()
    assert REQUESTS >= LEAST_REQUESTS
    return served[LATER] >= SHARE * served[ORDER]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
