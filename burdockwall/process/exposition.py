"""Counters, gauges and latency histograms in the Prometheus text format."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

from burdockwall.connection.exchange import Exchange
from burdockwall.process.metrics import Metrics

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

METRICS_TYPE = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)
MS_PER_S = 1000.0


class Gauges(msgspec.Struct):
    """The gauges of a process: functions that read a value, by name."""

    readers: dict[str, Callable[[], float]] = msgspec.field(default_factory=dict)

    def add(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge."""
        self.readers[name] = read


def count_buckets(histogram: HdrHistogram) -> list[tuple[str, float]]:
    """Return cumulative counts by upper bound in seconds, the last one +Inf."""
    values = [
        (item.value_iterated_to, item.count_at_value_iterated_to)
        for item in histogram.get_recorded_iterator()
    ]
    buckets = [
        (str(bound / MS_PER_S), float(sum(n for value, n in values if value <= bound)))
        for bound in BUCKETS_MS
    ]
    return [*buckets, ("+Inf", float(histogram.get_total_count()))]


class PrometheusPage:
    """Answers scrapes of one process."""

    def __init__(self, metrics: Metrics, gauges: Gauges) -> None:
        self.metrics = metrics
        self.gauges = gauges

    async def serve(self, exchange: Exchange) -> None:
        """Answer one scrape."""
        await exchange.answer(200, METRICS_TYPE, self.render())

    def render(self) -> bytes:
        """Render every metric as text."""
        # Imported at the first scrape, so that the process starts faster.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(_Collector(self))
        return generate_latest(registry)

    def collect(self) -> Iterator["Metric"]:
        """Yield all metric families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        metrics = self.metrics
        tables = (
            ("route", "request", metrics.routes),
            ("route", "first_byte", metrics.first_tokens),
            ("customer", "customer_request", metrics.customers),
            ("endpoint", "endpoint_request", metrics.endpoints),
        )
        for label, name, table in tables:
            family = HistogramMetricFamily(
                f"burdockwall_{name}_seconds", f"Latency by {label}.", labels=[label]
            )
            for key, histogram in sorted(table.histograms.items()):
                buckets = count_buckets(histogram)
                total = histogram.get_mean_value() * histogram.get_total_count()
                family.add_metric([key], buckets, total / MS_PER_S)
            yield family
        refusals = CounterMetricFamily(
            "burdockwall_refusals", "Requests that ended with a code.", labels=["code"]
        )
        for code, count in sorted(metrics.refusals.items()):
            refusals.add_metric([str(code)], count)
        yield refusals
        lag = HistogramMetricFamily(
            "burdockwall_loop_lag_seconds", "By how much the loop was late."
        )
        lag.add_metric([], count_buckets(metrics.loop_lag), None)
        yield lag
        for name, read in sorted(self.gauges.readers.items()):
            yield GaugeMetricFamily(f"burdockwall_{name}", "", value=read())


class _Collector:
    def __init__(self, page: PrometheusPage) -> None:
        self.page = page

    def collect(self) -> Iterator["Metric"]:
        return self.page.collect()
