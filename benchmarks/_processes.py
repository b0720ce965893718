"""Start processes for a benchmark and read their resource use from /proc."""

import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from burdockwall.fakes.site import wait_until_listening
from burdockwall.types import Address

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
EXIT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class MeasuredProcess:
    """A process whose resource use is measured."""

    process: subprocess.Popen[bytes]

    def read_processor_s(self) -> float:
        """Return the processor time of the process in seconds."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def read_resident_bytes(self) -> int:
        """Return the resident memory of the process in bytes."""
        text = Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


@contextmanager
def start_module(
    module: str, arguments: list[str], address: Address
) -> Iterator[MeasuredProcess]:
    """Run a module as a process, and wait until it listens at an address."""
    command = [sys.executable, "-m", module, *arguments]
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        anyio.run(wait_until_listening, address)
        time.sleep(0.2)
        yield MeasuredProcess(process)
    finally:
        process.terminate()
        try:
            process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
