"""Callers and an operator who go on through all troubles."""

import asyncio
import random

from review.soak.checks import Checks
from review.standin.client import Client
from review.standin.http import BrokenOff
from review.standin.settings import (
    CHAT,
    DRAFT,
    HOST,
    KEY,
    ORDER,
    PING,
    add_route,
    build_configuration,
)
from review.standin.site import CaseFailed, Site

CLIENTS = 12
TURN = {"X-Model": "m", "X-Token-Usage": "300,160", "X-Prompt-Prefix": "5c1e07a2:300"}
BUDGET = {"X-Token-Budget": "100000"}
ORDER_LIMIT_S = 6.0
PAUSES_S = (0.1, 0.5, 1.0, 3.0)


class Load:
    """The callers, who keep open connections, and the operator of one run."""

    def __init__(self, site: Site, checks: Checks, rng: random.Random) -> None:
        self.site = site
        self.checks = checks
        self.rng = rng

    async def run(self, until: float) -> None:
        """Go on until a time."""
        zones = self.site.shape.zones
        async with asyncio.TaskGroup() as group:
            group.create_task(self._change(until))
            for number in range(CLIENTS):
                client = Client(self.site, HOST, zones[number % len(zones)], KEY)
                client.kept_times = self.rng.choice((1.0, 3.0))
                self.checks.clients.append(client)
                group.create_task(self._call(client, until))

    async def _change(self, until: float) -> None:
        """Add a route with each change, in a series without end."""
        configuration = build_configuration()
        number = 0
        while self.site.record.now() < until - ORDER_LIMIT_S:
            number += 1
            prefix = f"/added{number}/"
            add_route(configuration, f"r-{number}", prefix, "member-app")
            configuration["services"].pop()
            try:
                await self.site.put_configuration(configuration, ORDER_LIMIT_S)
            except CaseFailed:
                continue
            self.checks.acknowledge(configuration["version"], prefix)
            await asyncio.sleep(self.rng.choice(PAUSES_S))

    async def _call(self, client: Client, until: float) -> None:
        turn = ""
        program = f"{self.rng.getrandbits(48):x}"
        while self.site.record.now() < until:
            try:
                address = await client.choose()
            except BrokenOff:
                await asyncio.sleep(0.2)
                continue
            kind = self.rng.random()
            headers = TURN | {"X-Program-Id": program}
            if kind < 0.25:
                sent = await client.send("POST", ORDER + "2f", body=b"order")
            elif kind < 0.4:
                sent = await client.send("GET", PING + "2f")
            elif kind < 0.55:
                sent = await client.send("POST", DRAFT + "2f", headers, b"question")
            elif kind < 0.75:
                sent = await self.checks.ask_added(client, address)
            else:
                previous = {"X-Previous-Turn": turn} if turn else {}
                headers |= BUDGET | previous
                sent = await client.send("POST", CHAT + "2f", headers, b"question")
                self.checks.check_turn(sent, turn)
                if sent.whole and sent.status == 200:
                    turn = sent.request
            await asyncio.sleep(0.05 if sent is None or sent.whole else 0.3)
        client.close()
