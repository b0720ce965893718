"""A soak of real processes: drawn troubles in overlapping series, from a seed.

SEED draws the site, the troubles and the clients; LENGTH_S is how long they last. With
FOREIGN=0 the list has no entries of other writers. RECORD_FOLDER is where the record is
written, so that several seeds can run at once.
"""

import asyncio
import json
import os
import random
import signal
from pathlib import Path

from review.soak.checks import Checks
from review.soak.load import Load
from review.soak.sites import SITES
from review.standin.case import create_servers, run_case
from review.standin.record import Record
from review.standin.servers import Server
from review.standin.settings import build_configuration
from review.standin.site import Process, Site

SEED = int(os.environ.get("SEED", "1"))
LENGTH_S = float(os.environ.get("LENGTH_S", "55"))
FOREIGN = os.environ.get("FOREIGN", "1") != "0"
RECORD_FOLDER = Path(os.environ.get("RECORD_FOLDER", Path(__file__).parent))
# The pages give recovery-s as 12 s.
RECOVERY_S = 13.0
# A machine counts as lost for catch-up-s after it is back.
DISK_INTERVAL_S = 14.0
GRACE_S = 8.0
FOREIGN_ENTRIES = (
    {"address": "http://127.0.0.1:9/"},
    {"address": "10.0.0.1:70000"},
    {"address": "10.0.0.1:80", "slots": 2**70},
    {"address": "10.0.0.1:80", "born": 2**70},
    {"address": 7, "id": None},
)
ODD_TEXTS = (
    b'{"id":"deep","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"id":"\\ud800","service":"a","address":"10.0.0.1:1"}',
    b"7",
    b"null",
)


class Troubles:
    """Troubles of one run, each at a drawn moment."""

    def __init__(
        self, site: Site, servers: list[Server], checks: Checks, rng: random.Random
    ) -> None:
        self.site = site
        self.servers = servers
        self.checks = checks
        self.rng = rng
        self._disk_lost_at = float("-inf")

    async def run(self, until: float) -> None:
        """Begin troubles until a time; several may last at once."""
        kinds = (
            *(self._kill,) * 3,
            *(self._pause,) * 4,
            *(self._hang_up,) * 2,
            *(self._stop,) * 2,
            *(self._crash_server,) * 4,
            self._kill_role,
            self._lose_disk,
            self._lose_disk_and_power,
        )
        async with asyncio.TaskGroup() as group:
            while self.site.record.now() < until:
                await asyncio.sleep(self.rng.uniform(0.2, 3.0))
                group.create_task(self.rng.choice(kinds)())

    def _choose(self, *roles: str) -> Process:
        chosen = [item for item in self.site.processes if item.role in roles]
        return self.rng.choice(chosen or self.site.processes)

    def _choose_disk(self) -> Process | None:
        """Choose a machine with a disk that runs, unless one was lost just before."""
        now = self.site.record.now()
        process = self._choose("control", "storage")
        running = process.popen is not None and process.popen.returncode is None
        if not running or now - self._disk_lost_at < DISK_INTERVAL_S:
            return None
        self._disk_lost_at = now
        return process

    def _kill_now(self, process: Process) -> None:
        self.checks.trouble(process)
        process.signal(signal.SIGKILL)

    async def _kill(self) -> None:
        self._kill_now(self._choose())

    async def _kill_role(self) -> None:
        for process in self.site.list_role(self._choose().role):
            self._kill_now(process)

    async def _pause(self) -> None:
        process = self._choose()
        self.checks.trouble(process, lasts=True)
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        process.signal(signal.SIGCONT)
        self.checks.trouble(process)

    async def _hang_up(self) -> None:
        process = self._choose()
        if not process.has_begun():
            # Before our code runs, the signal has its usual effect (endings.md).
            return
        self.checks.trouble(process)
        process.signal(signal.SIGHUP)

    async def _stop(self) -> None:
        process = self._choose("entry", "control")
        if not process.has_begun():
            return
        self.checks.trouble(process, lasts=True)
        process.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        self.checks.trouble(process)

    async def _crash_server(self) -> None:
        server = self.rng.choice(self.servers)
        if server.state != "ready":
            return
        server.state = "crashed"
        server.crash()
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        server.state = "ready"
        await server.start()

    async def _lose_disk(self) -> None:
        process = self._choose_disk()
        if process is not None:
            self.checks.trouble(process, lasts=True)
            await process.wipe(1.0)
            self.checks.trouble(process)

    async def _lose_disk_and_power(self) -> None:
        """Lose a disk while all other machines are killed at the same moment."""
        lost = self._choose_disk()
        if lost is None:
            return
        for process in self.site.processes:
            if process is not lost:
                self._kill_now(process)
        self.checks.trouble(lost, lasts=True)
        await lost.wipe(1.0)
        self.checks.trouble(lost)


async def play(site: Site, record: Record, trouble: bool) -> bool:
    """Return whether every check held."""
    rng = random.Random(SEED)
    record.add(f"seed {SEED}, site {site.shape}")
    engines = create_servers(site, record, "lm-pool", 5, 0.4, 8, 16)
    apps = create_servers(site, record, "member-app", 4, 0.05)
    await site.start([*engines, *apps], build_configuration())
    if trouble and FOREIGN:
        site.list.foreign += [_build_foreign(item) for item in FOREIGN_ENTRIES]
        site.list.foreign += ODD_TEXTS
    checks = Checks(site, [*engines, *apps])
    load = Load(site, checks, rng)
    until = record.now() + LENGTH_S
    async with asyncio.TaskGroup() as group:
        group.create_task(load.run(until + RECOVERY_S))
        if trouble:
            troubles = Troubles(site, [*engines, *apps], checks, rng)
            group.create_task(troubles.run(until))
    return await checks.judge()


def _build_foreign(fields: dict[str, object]) -> bytes:
    entry = {"id": "x", "service": "member-app", "zone": "z", "version": "1"}
    return json.dumps(entry | {"slots": 4, "state": "ready"} | fields).encode()


if __name__ == "__main__":
    run_case(RECORD_FOLDER, play, SITES[SEED % len(SITES)])
