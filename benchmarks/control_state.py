"""Measure memory and disk of a control replica by number and size of its changes."""

import subprocess
import sys

import msgspec

from benchmarks._control_state_process import Figures
from benchmarks.control import create_temporary_folder
from benchmarks.result import Result, create_result

MB = 1_000_000
# Half of the least memory and disk that the sheets give a control instance.
MEMORY_BOUND_MB = 296 / 2
DISK_BOUND_MB = 128 / 2
# The time in which a change has to be acknowledged.
ACKNOWLEDGED_BOUND_S = 4.0
CASES = (
    (100, 1_280_000),
    (300, 1_280_000),
    (1000, 1_280_000),
    (100, 4_194_304),
    (300, 4_194_304),
    (1000, 10_000),
)


def run_process(folder: str, count: int, size: int) -> Figures:
    """Run one process on a folder; without changes it only opens the replica."""
    module = "benchmarks._control_state_process"
    command = [sys.executable, "-m", module, folder, str(count), str(size)]
    printed = subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout
    return msgspec.json.decode(printed, type=Figures)


def list_results(name: str, figures: Figures) -> list[Result]:
    """List the results of one process."""
    memory_mb = figures.memory_bytes / MB
    disk_mb = figures.disk_bytes / MB
    return [
        create_result(f"{name}/memory", memory_mb, "MB", bound=MEMORY_BOUND_MB),
        create_result(f"{name}/disk", disk_mb, "MB", bound=DISK_BOUND_MB),
        create_result(
            f"{name}/slowest", figures.slowest_s, "s", bound=ACKNOWLEDGED_BOUND_S
        ),
    ]


def measure() -> list[Result]:
    """Measure changes of each number and size, and a restart after them."""
    results = []
    for count, size in CASES:
        name = f"control_state/{count}_changes_of_{size}"
        with create_temporary_folder() as folder:
            results += list_results(name, run_process(folder, count, size))
            restarted = run_process(folder, 0, size)
            results += list_results(f"{name}/restart", restarted)
    return results
