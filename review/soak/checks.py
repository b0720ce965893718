"""What a soak holds against the rules, from what callers, servers, operator see."""

import json
from collections import Counter

from review.standin.client import Client, Sent
from review.standin.servers import Server
from review.standin.settings import ORDER
from review.standin.site import BOUNDS, Process, Site

APPLY_S = BOUNDS["config-apply-ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000
# Exit codes of a process that ended in order, or was killed.
PLANNED_ENDS = (0, -9)
DENIALS = (401, 403, 404)
SHOWN = 5


class Checks:
    """The checks of one run; `broken` names what was broken and where."""

    def __init__(self, site: Site, servers: list[Server]) -> None:
        self.site = site
        self.servers = servers
        self.clients: list[Client] = []
        self.broken: list[str] = []
        self._acknowledged: dict[str, float] = {}
        self._version = 0
        self._troubled_at: dict[str, float] = {}

    # What the run tells.

    def trouble(self, process: Process, lasts: bool = False) -> None:
        """Note a trouble at a machine, which may last until the next note."""
        now = self.site.record.now()
        at = float("inf") if lasts else now
        self._troubled_at[process.name] = at

    def acknowledge(self, version: int, prefix: str) -> None:
        """Note a change that was acknowledged."""
        self._version = version
        self._acknowledged[prefix] = self.site.record.now()

    async def ask_added(self, client: Client, address: str) -> Sent | None:
        """Ask for the latest route that must be in force everywhere."""
        now = self.site.record.now()
        due = [path for path, at in self._acknowledged.items() if now - at > APPLY_S]
        if not due:
            return None
        calm = self._is_calm(address)
        sent = await client.send("POST", due[-1] + "2f", body=b"x", address=address)
        if sent.status in DENIALS and calm and self._is_calm(address):
            self.broken.append(
                f"CONFIG {sent.sent_at:.1f} s: {address} answers {sent.status} "
                f"for {sent.path}"
            )
        return sent

    def check_turn(self, sent: Sent, previous: str) -> None:
        """Check that a turn which was answered whole is known later."""
        if previous and sent.status in (404, 410):
            self.broken.append(
                f"LOST {sent.sent_at:.1f} s: turn {previous} is answered {sent.status}"
            )

    def _is_calm(self, address: str) -> bool:
        host = address.rpartition(":")[0]
        now = self.site.record.now()
        # The core and the stores have to be stable, too.
        counted = [
            item.name
            for item in self.site.processes
            if item.ip == host or item.role != "entry"
        ]
        troubled = [self._troubled_at.get(name, 0.0) for name in counted]
        return all(now - at > CONTACT_S for at in troubled)

    # What is judged at the end.

    async def judge(self) -> bool:
        """Check what can be checked after the run; return whether all held."""
        self._check_ends()
        self._check_runs()
        self._check_answers()
        await self._check_configuration()
        sent = [item for client in self.clients for item in client.sent]
        statuses = Counter(item.status for item in sent)
        self.site.record.add(
            f"{len(sent)} requests, {sum(item.whole for item in sent)} whole, "
            f"{dict(statuses)}; {len(self._acknowledged)} changes acknowledged; "
            f"{len(self.broken)} broken"
        )
        for line in self.broken[:SHOWN]:
            self.site.record.add(f"BROKEN {line}")
        return not self.broken

    def _check_ends(self) -> None:
        for process in self.site.processes:
            own = [code for code in process.ended if code not in PLANNED_ENDS]
            if own:
                self.broken.append(f"Fault: {process.name} ended by itself, {own}")

    def _check_runs(self) -> None:
        runs = Counter(
            run.request
            for server in self.servers
            for run in server.runs
            if run.path.startswith((ORDER, "/added"))
        )
        for request, count in runs.items():
            if count > 1:
                self.broken.append(f"TWICE {request} ran {count} times")
        for item in self._list_sent():
            if item.status in (429, 503) and runs.get(item.request):
                self.broken.append(f"REFUSED {item.request} has run")

    def _check_answers(self) -> None:
        for item in self._list_sent():
            success = item.status is not None and 200 <= item.status < 300
            if success and item.whole and not item.stamp:
                self.broken.append(f"MIXED {item.request} has no signature")
            if item.status in DENIALS and not item.path.startswith("/added"):
                self.broken.append(f"DENIED {item.request} {item.path} {item.status}")

    async def _check_configuration(self) -> None:
        found = await self.site.read_configuration()
        version = json.loads(found)["version"] if found is not None else None
        if version is None or version < self._version:
            self.broken.append(
                f"CONFIG {version} is read back, {self._version} was acknowledged"
            )

    def _list_sent(self) -> list[Sent]:
        return [item for client in self.clients for item in client.sent]
