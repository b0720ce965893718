"""All machines lose power while removals of ledger files are not on the disks yet."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))

from fleet import Fleet, Record, exit_on_signals
from outside import Operator, wait_until_ready
from programs import Callers, build_configuration, is_served, start_outside

HELD, BROKEN, NOT_RUN = 0, 1, 2
RETENTION_S = 8.0
RECOVERY_S = 12.0
CHECKED_S = 6.0
# Turns of the morning and the size of their inputs: about 40 MB at each store.
MORNING_TURNS = 160
INPUT_BYTES = 262_144
PARALLEL_TURNS = 8
# The quiet hours last until the stores have removed what they need no more.
QUIET_LIMIT_S = 60.0
POLL_S = 0.05
LEDGER_FILES = "ledger-*"


class Removals:
    """Keeps the ledger files of one store that it has removed.

    The directory of a store's disk is synced when it creates a ledger file. What was
    removed since then may come back after a loss of power, each file independently.
    """

    def __init__(self, store):
        self.store = store
        self.kept = store.folder / "kept"
        self.kept.mkdir()
        self.removed = set()
        self._present = set()

    def follow(self):
        """Note which files were created and removed since the last time."""
        present = {path.name for path in self.store.data.glob(LEDGER_FILES)}
        for name in present - self._present:
            target = self.kept / name
            if not target.exists():
                os.link(self.store.data / name, target)
        if present - self._present:
            # The creation synced the directory, and with it the earlier removals.
            self.removed.clear()
        self.removed |= self._present - present
        self._present = present

    def lose_power(self, generator):
        """Lose some of the unsynced removals; return the names that are back."""
        back = [name for name in sorted(self.removed) if generator.random() < 0.5]
        for name in back:
            os.link(self.kept / name, self.store.data / name)
        return back


async def send_morning(callers):
    """Send the turns of the busy hours; return how many were answered whole."""
    body = random.randbytes(INPUT_BYTES)
    places = asyncio.Semaphore(PARALLEL_TURNS)

    async def send(number):
        async with places:
            _, answer = await callers.send(f"morning-{number}", body=body)
            return is_served(answer)

    results = await asyncio.gather(*(send(at) for at in range(MORNING_TURNS)))
    return sum(results)


async def follow_removals(removals):
    """Follow the ledger files of all stores until cancelled."""
    while True:
        for each in removals:
            each.follow()
        await asyncio.sleep(POLL_S)


async def play(fleet, record, trouble):
    """Play the case; return the exit code."""
    await start_outside(fleet)
    fleet.start(bootstrap=True)
    operator = Operator(fleet, record)
    callers = Callers(fleet, record)
    if not await operator.put(build_configuration(1, RETENTION_S)):
        return NOT_RUN
    if not await wait_until_ready(fleet, record):
        return NOT_RUN
    removals = [Removals(store) for store in fleet.stores]
    follower = asyncio.create_task(follow_removals(removals))
    whole = await send_morning(callers)
    record.write(f"busy hours: {whole} of {MORNING_TURNS} turns answered whole")
    until = time.monotonic() + QUIET_LIMIT_S
    sent = served = 0
    while time.monotonic() < until and not all(len(r.removed) > 3 for r in removals):
        more = await callers.send_pairs(4.0, "quiet")
        sent, served = sent + more[0], served + more[1]
    for each in removals:
        record.write(f"{each.store.name}: removed, not synced: {sorted(each.removed)}")
    if served * 4 < sent or not all(len(each.removed) > 1 for each in removals):
        return NOT_RUN
    turn, answer = await callers.send("continued")
    record.write(f"turn {turn} before the final fault: {answer}")
    follower.cancel()
    if trouble:
        fleet.kill()
        generator = random.Random(os.environ.get("SEED"))
        for each in removals:
            back = each.lose_power(generator)
            record.write(f"{each.store.name} loses power; back are {back}")
        await asyncio.sleep(0.5)
        fleet.start()
        record.write("all machines are back")
        await asyncio.sleep(1.0)
        began_at = time.monotonic()
        if not await wait_until_ready(fleet, record):
            return NOT_RUN
        await asyncio.sleep(max(0.0, began_at + RECOVERY_S - time.monotonic()))
    _, continued = await callers.send("continued", turn)
    record.write(f"the turn that goes on from {turn}: {continued} {continued.body!r}")
    sent, served = await callers.send_pairs(CHECKED_S, "after")
    version = await operator.read_version()
    record.write(f"the configuration that is read back: {version}")
    return BROKEN if served * 4 < sent else HELD


def main():
    """Play the case and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    exit_on_signals(NOT_RUN)
    fleet = Fleet()
    code = NOT_RUN
    try:
        code = asyncio.run(play(fleet, record, trouble))
    finally:
        fleet.close(keep=bool(os.environ.get("KEEP")))
        record.write(f"exit {code}: " + ("held", "broken", "could not run")[code])
    sys.exit(code)


main()
