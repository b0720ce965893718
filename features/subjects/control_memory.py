"""Measure what a control process keeps of documents that it has let go.

Run as a program, since the memory of a process depends on all that it did before.
"""

import random
from collections import deque
from pathlib import Path

import msgspec

from burdockwall.process.control.entries import Data, Entry
from burdockwall.process.control.records import FRAME, encode_record
from burdockwall.types import Term
from features.subjects.control_site import ControlSite

SIZE = 4_194_304
COUNT = 60
HELD = 4
BYTES_PER_KB = 1024


class MemorySite(ControlSite):
    """A control instance on loopback whose process then handles large entries."""

    def __init__(self) -> None:
        super().__init__(1)
        self.kept_bytes = 0
        self.actions.append(self.handle_entries)

    async def handle_entries(self) -> None:
        """Encode and decode entries, and hold the last few."""
        before = read_resident_bytes()
        held: deque[Entry] = deque(maxlen=HELD)
        for number in range(1, COUNT + 1):
            data = random.Random(number).randbytes(SIZE)
            record, _ = encode_record(Entry(Term(1), number, Data(data)), 0)
            body = memoryview(record)[FRAME.size :]
            held.append(msgspec.msgpack.decode(body, type=Entry))
            del data, record, body
        self.kept_bytes = read_resident_bytes() - before


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise AssertionError("no VmRSS in /proc/self/status")


if __name__ == "__main__":
    site = MemorySite()
    site.run()
    site.close()
    print(site.kept_bytes / (HELD * SIZE))
