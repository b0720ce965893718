"""Run one case: exit with 1 if the rule was broken, 0 if it held, else 2."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standin.record import Record
from review.standin.servers import Server
from review.standin.site import SMALL, Shape, Site

LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

Play = Callable[[Site, Record, bool], Awaitable[bool]]


def create_servers(
    site: Site,
    record: Record,
    service: str,
    count: int,
    work_s: float,
    events: int = 0,
    slots: int = 6,
    spread: float = 0.0,
) -> list[Server]:
    """Create servers of one service, over the zones in turn."""
    return [
        Server(
            f"i-{service}-{number}",
            service,
            f"{site.network}.{site.find_host()}:{site.ports.front}",
            site.processes[number % 3].zone,
            record,
            work_s,
            events,
            slots,
            spread,
        )
        for number in range(count)
    ]


def run_case(folder: Path, play: Play, shape: Shape = SMALL) -> None:
    """Play a case and exit; `play` returns whether the rule held.

    The disruption is left out where TROUBLE is 0.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()
    code = NOT_RUN
    try:
        code = asyncio.run(_play(play, record, trouble, shape))
    except Exception:
        record.add(traceback.format_exc())
    record.add(f"exit code {code}, disruption {'on' if trouble else 'off'}")
    record.write(folder / "record.txt")
    print("\n".join(record.lines[-12:]))
    sys.exit(code)


async def _play(play: Play, record: Record, trouble: bool, shape: Shape) -> int:
    site = Site(record, shape)
    try:
        held = await asyncio.wait_for(play(site, record, trouble), LIMIT_S)
        return HELD if held else BROKEN
    finally:
        if kept := os.environ.get("REVIEW_LOGS"):
            for process in site.processes:
                Path(kept, f"{process.name}.log").write_text(process.read_log())
        await site.close()
