"""Store documents on one voter, in a process whose memory and files are measured."""

import random
import sys
import time
from pathlib import Path

import msgspec

import burdockwall.process.control_node  # noqa: F401  (what a control process loads)
from benchmarks.control import start_replica
from burdockwall.process.control.commands import PutDocument
from burdockwall.process.control.events import Propose
from burdockwall.process.control.files import DiskFiles
from burdockwall.process.control.journal import Journal
from burdockwall.process.control.opening import bootstrap_replica, open_replica
from burdockwall.process.control.replica import Flush, Replica, encode_command
from burdockwall.process.control.state import ControlState
from burdockwall.settings import Settings
from burdockwall.types import CallId, DocumentName, OperatorId

NAME = DocumentName("document")
BYTES_PER_KB = 1024


class Figures(msgspec.Struct):
    """The greatest memory and disk use in bytes, and the slowest step in seconds."""

    memory_bytes: int = 0
    disk_bytes: int = 0
    slowest_s: float = 0.0


class MeasuredFiles(DiskFiles):
    """A data folder whose greatest size is recorded."""

    peak_bytes = 0

    def write(self, name: str, offset: int, data: bytes | bytearray) -> None:
        """Write, and record the size of all files."""
        super().write(name, offset, data)
        size = sum(path.stat().st_size for path in self.folder.iterdir())
        self.peak_bytes = max(self.peak_bytes, size)


def store_documents(folder: Path, count: int, size: int) -> Figures:
    """Open the replica in a folder, store documents and return what that took."""
    settings = Settings(data_folder=folder)
    if count:
        bootstrap_replica(settings)
    figures = Figures()
    started = time.perf_counter()
    replica = open_replica(settings, ControlState())
    files = measure_files(replica)
    start_replica(replica)
    if not count:
        figures.slowest_s = time.perf_counter() - started
    for number in range(1, count + 1):
        data = encode_put(number, size)
        started = time.perf_counter()
        replica.handle(Propose(CallId(number), data), 0.0)
        replica.handle(Flush(), 0.0)
        elapsed_s = time.perf_counter() - started
        figures.slowest_s = max(figures.slowest_s, elapsed_s)
        assert replica.state.documents[NAME].number == number
    figures.memory_bytes = read_peak_bytes()
    figures.disk_bytes = files.peak_bytes
    return figures


def measure_files(replica: Replica) -> MeasuredFiles:
    """Let a replica use files that record their greatest size."""
    journal, archive = replica.storage, replica.archive
    assert isinstance(journal, Journal) and archive is not None
    assert isinstance(journal.files, DiskFiles)
    journal.files.close()
    files = MeasuredFiles(journal.files.folder)
    journal.files = archive.files = files
    return files


def encode_put(number: int, size: int) -> bytes:
    """Encode a put of a document of a size."""
    data = random.Random(number).randbytes(size)
    command = PutDocument(
        operator=OperatorId("operator"),
        submission=f"{NAME} {number}",
        name=NAME,
        number=number,
        data=data,
    )
    return encode_command(command, 0.0)


def read_peak_bytes() -> int:
    """Return the greatest resident memory of this process in bytes."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise RuntimeError("no VmHWM in /proc/self/status")


if __name__ == "__main__":
    found = store_documents(Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
    print(msgspec.json.encode(found).decode())
