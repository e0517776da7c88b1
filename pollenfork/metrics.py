"""Counters and histograms of the process, in Prometheus' text form."""

from collections.abc import Callable
import threading

import aioprometheus
from aioprometheus import collectors
from aioprometheus import formats

from pollenfork import metric_help

# Label sets of one metric; teams choose class names. A scrape takes about
# 130 us of CPU for each histogram's series.
MAX_SERIES = 1000
MAX_HISTOGRAM_SERIES = 200
OTHER = "other"
_DROPPED = "pollenfork_series_dropped_total"


class Metrics:
    """What the process counts; safe from any thread.

    A metric takes a bounded number of sets of label values; what comes
    beyond is counted with every label set to `other`.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = aioprometheus.Registry()
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}
        self._sources: list[Callable[[], None]] = []

    def add_source(self, read: Callable[[], None]) -> None:
        """Calls `read` before each scrape; it sets what others counted."""
        self._sources.append(read)

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to the counter `name` with these labels."""
        with self._lock:
            counter = self._find_counter(name)
            counter.add(self._bound(counter, labels), amount)

    def set_count(self, name: str, value: int, **labels: str) -> None:
        """Sets the counter `name` to what another part counted so far."""
        with self._lock:
            counter = self._find_counter(name)
            counter.set(self._bound(counter, labels), value)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the gauge `name` with these labels."""
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = aioprometheus.Gauge(
                    name, _describe(name), registry=self._registry
                )
                self._gauges[name] = gauge
            gauge.set(self._bound(gauge, labels), value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds one duration to the histogram `name` with these labels."""
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = aioprometheus.Histogram(
                    name,
                    _describe(name),
                    buckets=list(metric_help.LATENCY_BOUNDS_S),
                    registry=self._registry,
                )
                self._histograms[name] = histogram
            histogram.add(self._bound(histogram, labels), seconds)

    def render(self) -> tuple[bytes, str]:
        """Returns the exposition and its content type."""
        for read in self._sources:
            read()
        formatter = formats.text.TextFormatter()
        blocks = []
        for collector in self._registry.get_all():
            with self._lock:  # Not for all at once: others want to count.
                blocks.append(formatter.marshall_collector(collector))
        content = "".join(f"{block}\n" for block in sorted(blocks))
        return content.encode(), formatter.get_headers()["Content-Type"]

    def _find_counter(self, name: str) -> aioprometheus.Counter:
        counter = self._counters.get(name)
        if counter is None:
            counter = aioprometheus.Counter(
                name, _describe(name), registry=self._registry
            )
            self._counters[name] = counter
        return counter

    def _bound(
        self, metric: collectors.Collector, labels: dict[str, str]
    ) -> dict[str, str]:
        escaped = {name: _escape(value) for name, value in labels.items()}
        limit = MAX_SERIES
        if isinstance(metric, aioprometheus.Histogram):
            limit = MAX_HISTOGRAM_SERIES
        if len(metric.values) < limit or escaped in metric.values:
            return escaped
        self._find_counter(_DROPPED).inc({"metric": metric.name})
        return dict.fromkeys(labels, OTHER)


def _escape(value: str) -> str:
    """Returns the label's value as the text form wants it."""
    if value.isalnum():
        return value
    return value.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")


def _describe(name: str) -> str:
    return metric_help.HELP.get(name, name)
