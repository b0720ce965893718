"""Measure the control state: acknowledgements, syncs, restarts, sizes, idle cost."""

import tempfile
import time
from pathlib import Path

import anyio
import msgspec

from benchmarks._control_cluster import (
    OPERATOR,
    BenchmarkCluster,
    LoadResult,
    build_key,
    build_submission,
)
from benchmarks._quantiles import compute_quantile
from benchmarks.result import Result, create_result
from burdockwall.machine import Tick
from burdockwall.process.control.commands import SubmitConfiguration
from burdockwall.process.control.events import Persist, Propose
from burdockwall.process.control.journal import Journal
from burdockwall.process.control.opening import bootstrap_replica, open_replica
from burdockwall.process.control.replica import Flush, Replica, encode_command
from burdockwall.process.control.shortening import shorten_submission
from burdockwall.process.control.state import ControlState
from burdockwall.settings import Settings
from burdockwall.types import Address, CallId, CustomerId, EndpointId, PoolName, Version
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    print_configuration,
)

SEED = 1
ONE_WAY_S = 0.0015
CHANGES = 2000
IN_FLIGHT = 64
SYNC_COUNT = 300
IN_FORCE_BOUND_S = 8.0
BYTES_PER_S_BOUND = 5000.0
IDLE_CORES_BOUND = 0.044
IDLE_S = 60.0
TARGET_CUSTOMERS = 4800
TARGET_SERVERS = 2200


def create_temporary_folder() -> "tempfile.TemporaryDirectory[str]":
    """Create a folder in the current directory, since /tmp may be in memory."""
    return tempfile.TemporaryDirectory(dir=Path.cwd(), prefix=".benchmark-")


def time_syncs() -> list[float]:
    """Measure flushes of one small entry on this disk in seconds; each syncs twice."""
    times = []
    with create_temporary_folder() as folder:
        replica = create_replica(Path(folder))
        journal = replica.storage
        hard = replica.consensus.state.hard_state
        for number in range(SYNC_COUNT):
            journal.append(Persist(number, hard))
            started = time.perf_counter()
            journal.flush()
            times.append(time.perf_counter() - started)
        close_replica(replica)
    return times


async def time_thread_hops() -> list[float]:
    """Measure the time in seconds to run a call on a worker thread."""
    times = []
    for _ in range(SYNC_COUNT):
        started = time.perf_counter()
        await anyio.to_thread.run_sync(time.perf_counter)
        times.append(time.perf_counter() - started)
    return times


def create_replica(folder: Path) -> Replica:
    """Create and open the only voter of a cluster in a folder."""
    settings = Settings(data_folder=folder)
    bootstrap_replica(settings)
    return open_replica(settings, ControlState())


def close_replica(replica: Replica) -> None:
    """Close the files of a replica."""
    if isinstance(replica.storage, Journal):
        replica.storage.files.close()


def start_replica(replica: Replica) -> None:
    """Let the only voter elect itself and apply its log."""
    replica.handle(Tick(), 0.0)
    for _ in range(4):
        replica.handle(Flush(), 0.0)


def measure_restart(changes: int) -> list[Result]:
    """Measure the size of the files and the restart after a number of changes."""
    with create_temporary_folder() as name:
        folder = Path(name)
        replica = create_replica(folder)
        start_replica(replica)
        for number in range(changes):
            command = build_key(number) if number else build_submission()
            data = encode_command(command, float(number))
            replica.handle(Propose(CallId(number + 1), data), float(number))
            # Several changes share a sync, as with group commit under load.
            if number % 50 == 0 or number == changes - 1:
                replica.handle(Flush(), float(number))
        replica.handle(Flush(), 0.0)
        assert replica.state.version == changes
        close_replica(replica)
        size = sum(path.stat().st_size for path in folder.iterdir())
        started = time.perf_counter()
        state = ControlState()
        replica = open_replica(Settings(data_folder=folder), state)
        start_replica(replica)
        elapsed = time.perf_counter() - started
        assert state.version == changes
        close_replica(replica)
    return [
        create_result(f"control/restart_{changes}", elapsed, "s"),
        create_result(f"control/files_{changes}", size / 1000, "KB"),
    ]


def list_load_results(voters: int, load: LoadResult) -> list[Result]:
    """List the results of a run of changes under load."""
    name = f"control/{voters}_voters"
    count = len(load.acknowledged_after_s)
    each_us = load.processor_s / count / voters * 1e6
    return [
        create_result(f"{name}/changes", count / load.elapsed_s, "1/s", SEED),
        create_result(
            f"{name}/acknowledged_p99",
            compute_quantile(load.acknowledged_after_s, 0.99),
            "s",
            SEED,
            bound=IN_FORCE_BOUND_S,
        ),
        create_result(f"{name}/processor", each_us, "us a change a voter", SEED),
        create_result(f"{name}/sent", load.sent_bytes / count, "bytes a change", SEED),
    ]


def measure_cluster(voters: int, sync_s: float) -> list[Result]:
    """Measure single changes, concurrent changes, and an idle cluster."""
    name = f"control/{voters}_voters"
    sequential = BenchmarkCluster(SEED, voters, ONE_WAY_S, sync_s).run(200, 1)
    concurrent = BenchmarkCluster(SEED, voters, ONE_WAY_S, sync_s).run(
        CHANGES, IN_FLIGHT
    )
    idle = BenchmarkCluster(SEED, voters, ONE_WAY_S, sync_s)
    bytes_before, processor_before_s = idle.network.sent_bytes, time.process_time()
    idle.network.run_until(idle.network.now + IDLE_S)
    processor_s = time.process_time() - processor_before_s
    sent_per_s = (idle.network.sent_bytes - bytes_before) / IDLE_S
    single_s = compute_quantile(sequential.acknowledged_after_s, 0.5)
    return [
        create_result(f"{name}/alone_acknowledged_p50", single_s, "s", SEED),
        *list_load_results(voters, concurrent),
        create_result(
            f"{name}/idle_sent_by_all",
            sent_per_s,
            "bytes/s",
            SEED,
            bound=BYTES_PER_S_BOUND,
        ),
        create_result(
            f"{name}/idle_core_share",
            processor_s / IDLE_S / voters,
            "cores",
            SEED,
            bound=IDLE_CORES_BOUND,
        ),
    ]


def measure_submission() -> list[Result]:
    """Measure a submission that changes one customer in the largest configuration."""
    customers = [
        Customer(CustomerId(f"customer-{number}")) for number in range(TARGET_CUSTOMERS)
    ]
    pool = PoolName("pool")
    endpoints = tuple(
        Endpoint(EndpointId(f"endpoint-{number}"), pool, Address("10.0.0.1:80"))
        for number in range(TARGET_SERVERS)
    )
    configuration = Configuration(tuple(customers), (Pool(pool),), endpoints)
    state = ControlState()
    first = build_text_submission(
        print_configuration(configuration), Version(0), "first"
    )
    state.apply(first, 0.0)
    customers[0] = Customer(customers[0].name, rate_per_s=11.0)
    changed = msgspec.structs.replace(configuration, customers=tuple(customers))
    text = print_configuration(changed)
    second = build_text_submission(text, state.version, "second")
    state.configurations.checker.check(state.sections)
    started = time.process_time()
    shortened = shorten_submission(second, state.configurations, state.version)
    checked_s = time.process_time() - started
    started = time.process_time()
    outcome = state.apply(shortened, 1.0)
    applied_s = time.process_time() - started
    assert not outcome.code and state.text == text
    entry_bytes = len(encode_command(shortened, 1.0))
    return [
        create_result("control/submission_text", len(text) / 1000, "KB"),
        create_result("control/submission_entry", entry_bytes, "bytes"),
        create_result("control/submission_checked", checked_s, "s at the leader"),
        create_result("control/submission_applied", applied_s, "s at each voter"),
    ]


def build_text_submission(
    text: str, based_on: Version, name: str
) -> SubmitConfiguration:
    """Build the submission of a configuration text."""
    return SubmitConfiguration(
        operator=OPERATOR, submission=name, based_on=based_on, text=text
    )


def measure() -> list[Result]:
    """Run all measurements, with the time of a sync on this disk."""
    syncs = time_syncs()
    hops = anyio.run(time_thread_hops)
    sync_s = compute_quantile(syncs, 0.5)
    results = [
        create_result("control/sync_p50", sync_s, "s"),
        create_result("control/sync_p99", compute_quantile(syncs, 0.99), "s"),
        create_result("control/thread_hop_p50", compute_quantile(hops, 0.5), "s"),
        create_result("control/thread_hop_p99", compute_quantile(hops, 0.99), "s"),
    ]
    for voters in (3, 5):
        results += measure_cluster(voters, sync_s)
    for changes in (100, 1000, 12_000):
        results += measure_restart(changes)
    return results + measure_submission()
