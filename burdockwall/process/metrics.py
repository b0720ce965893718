"""Latency histograms of requests by route, customer and endpoint."""

from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from burdockwall.request.trace import RequestTrace

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
ROUTE_DIGITS = 2
CUSTOMER_DIGITS = 1
CUSTOMERS_LIMIT = 1024
OTHER_CUSTOMERS = "(others)"
PERCENTILES = (50.0, 95.0, 99.0)


class Latency(msgspec.Struct, frozen=True):
    """The summary of a histogram; times in milliseconds."""

    count: int
    p50_ms: int
    p95_ms: int
    p99_ms: int
    max_ms: int


class MetricsPage(msgspec.Struct, frozen=True):
    """All metrics of an instance; times in milliseconds."""

    routes: dict[str, Latency]
    first_tokens: dict[str, Latency]
    customers: dict[str, Latency]
    endpoints: dict[str, Latency]
    refusals: dict[str, int]
    in_flight: int
    open_streams: int
    loop_lag: Latency
    endpoint_replacements: int
    body_bytes_held: int
    evacuated_domains: int = 0


def create_histogram(digits: int = ROUTE_DIGITS) -> HdrHistogram:
    """Create a histogram of milliseconds."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, digits)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a time given in seconds."""
    value = min(HIGHEST_MS, max(LOWEST_MS, round(seconds * 1000)))
    histogram.record_value(value)


def summarise(histogram: HdrHistogram) -> Latency:
    """Summarise a histogram."""
    values = [histogram.get_value_at_percentile(each) for each in PERCENTILES]
    return Latency(
        count=histogram.get_total_count(),
        p50_ms=int(values[0]),
        p95_ms=int(values[1]),
        p99_ms=int(values[2]),
        max_ms=int(histogram.get_max_value()),
    )


class HistogramTable(msgspec.Struct):
    """A histogram for each name; names beyond the limit share one."""

    digits: int
    limit: int = CUSTOMERS_LIMIT
    histograms: dict[str, HdrHistogram] = msgspec.field(default_factory=dict)

    def record(self, name: str, seconds: float) -> None:
        """Record a time under a name."""
        if name not in self.histograms and len(self.histograms) >= self.limit:
            name = OTHER_CUSTOMERS
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = create_histogram(self.digits)
            self.histograms[name] = histogram
        record_seconds(histogram, seconds)

    def summarise(self) -> dict[str, Latency]:
        """Summarise every histogram in the order of names."""
        names = sorted(self.histograms)
        return {name: summarise(self.histograms[name]) for name in names}


class Metrics:
    """The measurements of one process."""

    def __init__(self) -> None:
        self.routes = HistogramTable(ROUTE_DIGITS)
        self.first_tokens = HistogramTable(ROUTE_DIGITS)
        self.customers = HistogramTable(CUSTOMER_DIGITS)
        self.endpoints = HistogramTable(CUSTOMER_DIGITS)
        self.refusals: Counter[int] = Counter()
        self.loop_lag = create_histogram()

    def record_request(self, trace: RequestTrace, now: float) -> None:
        """Record a request that has ended."""
        if trace.code:
            self.refusals[trace.code] += 1
        if not trace.route:
            return
        seconds = now - trace.started_at
        self.routes.record(trace.route, seconds)
        self.customers.record(trace.customer, seconds)
        if trace.endpoint:
            self.endpoints.record(trace.endpoint, seconds)
        if trace.first_byte_at is not None:
            first = trace.first_byte_at - trace.started_at
            self.first_tokens.record(trace.route, first)

    def record_lag(self, seconds: float) -> None:
        """Record by how much the event loop was late."""
        record_seconds(self.loop_lag, seconds)
