"""Questions of the own interface to an entry that reaches no endpoint."""

import anyio
import httpx

from burdockwall.fakes.partition import ClientsLink
from features.subjects.fleet_site import ENTRIES, FleetSite

# Time within which a cut is noticed, and its end.
NOTICE_S = 3.0


class OwnCutOff:
    """Asks an entry of a fleet site while it is cut off from all endpoints."""

    def __init__(self, site: FleetSite) -> None:
        self.site = site
        self.statuses: list[int] = []
        self.relayed_before = 0
        self.relayed_after = 0
        self.second_hop_code = 0

    async def ask_while_cut_off(self, count: int) -> None:
        """Ask a number of questions during the cut, and as many after it."""
        key = await self.site.issue_key()
        entry = self.site.nodes[ENTRIES[0]].entry
        link = ClientsLink(entry.parts.clients)
        for endpoint in entry.parts.dispatcher.endpoints.values():
            await entry.parts.clients.replace(endpoint)
        link.cut = True
        # Only requests show the cut, so the first one may be refused.
        await self.site.post_turn(ENTRIES[0], key)
        await anyio.sleep(NOTICE_S)
        self.relayed_before = await self._ask(key, count)
        self.second_hop_code = await self._ask_relayed(key)
        link.cut = False
        await anyio.sleep(NOTICE_S)
        self.relayed_after = await self._ask(key, count)

    async def _ask(self, key: str, count: int) -> int:
        """Ask questions, and return how many the entry passed on to a peer."""
        upstreams = self.site.nodes[ENTRIES[0]].entry.peer_relay.upstreams
        passed_on = 0
        for _ in range(count):
            await upstreams.close_idle()
            before = upstreams.opened_count
            answer = await self.site.post_turn(ENTRIES[0], key)
            self.statuses.append(answer.status_code)
            passed_on += upstreams.opened_count - before
        return passed_on

    async def _ask_relayed(self, key: str) -> int:
        address = self.site.settings[ENTRIES[0]].caller_address
        headers = {"authorization": f"Bearer {key}", "burdockwall-relayed": "1"}
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.post(
                f"http://{address}/v1/chat/completions", headers=headers, json={}
            )
        return answer.json()["error"]["code"]
