"""Measure the overhead of the entry per request, per token and per idle caller."""

import ssl
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from benchmarks._processes import MeasuredProcess, start_module
from benchmarks.result import Result, create_result
from burdockwall.client import OperatorClient
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.site import CUSTOMER, SitePlan, build_configuration
from burdockwall.types import Address, OperatorId
from burdockwall.version.configuration import print_configuration

STREAMS = 50
# The engine process is configured as this many endpoints, as many as each deployment
# has, so that no stream waits for the capacity of an endpoint.
ENGINES = 5
SHORT_TOKENS = 20
LONG_TOKENS = 400
ROUNDS = 3
IDLE_CALLERS = 1000
FIRST_TOKEN_BOUND_MS = 1100.0
TOKEN_GAP_BOUND_MS = 47.0
IDLE_CORES_BOUND = 0.044
IDLE_MEASURE_S = 10.0
IDLE_MEMORY_BOUND_MB = 64.0
TOKEN_RATIO_BOUND = 1.5
MEGABYTE = 1_048_576
SETTLE_S = 1.0
CALLER_TIMEOUT_S = 60.0
CALLER_TLS_CONTEXT = ssl.create_default_context()
COMPLETIONS_PATH = "/v1/chat/completions"


@dataclass(slots=True)
class StreamTimes:
    """Times to the first token and between tokens at the callers, in microseconds."""

    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    token_gap: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    tokens: int = 0


async def _stream_one(
    client: httpx.AsyncClient, headers: dict[str, str], tokens: int, times: StreamTimes
) -> None:
    body = {
        "model": "inspector",
        "messages": [{"role": "user", "content": "measure"}],
        "max_tokens": tokens,
        "stream": True,
    }
    last = time.perf_counter()
    first = True
    async with client.stream(
        "POST", COMPLETIONS_PATH, headers=headers, json=body
    ) as response:
        response.raise_for_status()
        async for chunk in response.aiter_raw():
            now = time.perf_counter()
            histogram = times.first_token if first else times.token_gap
            histogram.record_value(max(1, int((now - last) * 1_000_000)))
            last, first = now, False
            times.tokens += chunk.count(b"\n\n")


def _create_client(address: Address) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=f"http://{address}",
        timeout=CALLER_TIMEOUT_S,
        trust_env=False,
        verify=CALLER_TLS_CONTEXT,
    )


async def _stream_many(
    address: Address, headers: dict[str, str], tokens: int, rounds: int
) -> StreamTimes:
    times = StreamTimes()
    # Each stream has its own client. A shared client would use more processor time in
    # the callers than the relay uses.
    clients = [_create_client(address) for _ in range(STREAMS)]
    for _ in range(rounds):
        async with anyio.create_task_group() as group:
            for client in clients:
                group.start_soon(_stream_one, client, headers, tokens, times)
    for client in clients:
        await client.aclose()
    assert times.tokens == STREAMS * tokens * rounds
    return times


@dataclass(frozen=True, slots=True)
class ForwardingCost:
    """Processor time of a relay or entry per request and token, and callers' times."""

    request_us: float
    token_us: float
    times: StreamTimes


def _measure_forwarding(
    process: MeasuredProcess, address: Address, headers: dict[str, str]
) -> ForwardingCost:
    anyio.run(_stream_many, address, headers, SHORT_TOKENS, 1)
    start = process.read_processor_s()
    anyio.run(_stream_many, address, headers, SHORT_TOKENS, ROUNDS)
    middle = process.read_processor_s()
    times = anyio.run(_stream_many, address, headers, LONG_TOKENS, ROUNDS)
    end = process.read_processor_s()
    streams = STREAMS * ROUNDS
    extra_tokens = streams * (LONG_TOKENS - SHORT_TOKENS)
    token_s = ((end - middle) - (middle - start)) / extra_tokens
    request_s = (middle - start) / streams - token_s * SHORT_TOKENS
    return ForwardingCost(request_s * 1_000_000, token_s * 1_000_000, times)


@dataclass(frozen=True, slots=True)
class RunningEntry:
    """An entry process that serves one customer, and the customer's headers."""

    process: MeasuredProcess
    address: Address
    headers: dict[str, str]


@contextmanager
def _start_entry(engine: Address) -> Iterator[RunningEntry]:
    caller, operator = find_address(), find_address()
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(f"[listen]\ncaller = {caller}\noperator = {operator}\n")
        file.write("[drain]\nhold = 0\n[log]\nlevel = error\n")
        file.flush()
        arguments = ["serve", "--settings", file.name]
        with start_module("burdockwall", arguments, caller) as process:
            client = OperatorClient(operator, OperatorId("benchmark"))
            plan = SitePlan(rate_per_s=100_000.0, burst=100_000)
            configuration = build_configuration(plan, [engine] * ENGINES, engine)
            client.submit(print_configuration(configuration))
            headers = {"authorization": f"Bearer {client.issue_key(CUSTOMER)}"}
            time.sleep(SETTLE_S)
            yield RunningEntry(process, caller, headers)


def _measure_idle_cores(process: MeasuredProcess) -> float:
    before = process.read_processor_s()
    time.sleep(IDLE_MEASURE_S)
    return (process.read_processor_s() - before) / IDLE_MEASURE_S


async def _measure_memory_with_idle_callers(
    address: Address, process: MeasuredProcess
) -> int:
    host, _, port = address.rpartition(":")
    streams = [await anyio.connect_tcp(host, int(port)) for _ in range(IDLE_CALLERS)]
    await anyio.sleep(SETTLE_S)
    resident_bytes = process.read_resident_bytes()
    for stream in streams:
        await stream.aclose()
    return resident_bytes


def _get_percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / 1000.0


def measure() -> list[Result]:
    """Measure the entry, with a bare relay of the same libraries as the baseline."""
    engine, relay = find_address(), find_address()
    with start_module("benchmarks._engine", [engine], engine):
        with start_module("benchmarks._relay", [relay, engine], relay) as process:
            relay_cost = _measure_forwarding(process, relay, {})
        with _start_entry(engine) as entry:
            resident_bytes = entry.process.read_resident_bytes()
            idle_cores = _measure_idle_cores(entry.process)
            idle_bytes = anyio.run(
                _measure_memory_with_idle_callers, entry.address, entry.process
            )
            cost = _measure_forwarding(entry.process, entry.address, entry.headers)
    without_callers = create_result(
        "path.processor_without_callers", idle_cores, "cores", bound=IDLE_CORES_BOUND
    )
    return [
        *_list_costs(cost, relay_cost),
        without_callers,
        *_list_memory(resident_bytes, idle_bytes),
    ]


def _list_costs(cost: ForwardingCost, relay: ForwardingCost) -> list[Result]:
    first = _get_percentile_ms(cost.times.first_token, 99.0)
    relay_first = _get_percentile_ms(relay.times.first_token, 99.0)
    gap = _get_percentile_ms(cost.times.token_gap, 95.0)
    relay_gap = _get_percentile_ms(relay.times.token_gap, 95.0)
    return [
        create_result(
            "path.processor_per_token",
            cost.token_us,
            "us",
            baseline=relay.token_us,
            bound=TOKEN_RATIO_BOUND,
            bound_on_ratio=True,
        ),
        create_result(
            "path.processor_per_request",
            cost.request_us,
            "us",
            baseline=relay.request_us,
        ),
        create_result(
            "path.first_token_added_p99",
            max(0.0, first - relay_first),
            "ms",
            baseline=relay_first,
            bound=FIRST_TOKEN_BOUND_MS,
        ),
        create_result(
            "path.first_token_p99",
            first,
            "ms",
            baseline=relay_first,
            bound=FIRST_TOKEN_BOUND_MS,
        ),
        create_result(
            "path.token_gap_p95",
            gap,
            "ms",
            baseline=relay_gap,
            bound=TOKEN_GAP_BOUND_MS,
        ),
    ]


def _list_memory(resident_bytes: int, idle_bytes: int) -> list[Result]:
    return [
        create_result(
            "path.memory_without_callers",
            resident_bytes / MEGABYTE,
            "MB",
            bound=IDLE_MEMORY_BOUND_MB,
        ),
        create_result(
            "path.memory_with_idle_callers",
            idle_bytes / MEGABYTE,
            "MB",
            baseline=resident_bytes / MEGABYTE,
        ),
        create_result(
            "path.memory_per_idle_caller",
            (idle_bytes - resident_bytes) / IDLE_CALLERS / 1024,
            "KB",
        ),
    ]
