"""Metrics of the process, exposed in the Prometheus text format."""

from collections.abc import Callable
import threading

import aioprometheus
from aioprometheus import collectors
from aioprometheus import formats

from pollenfork import metric_help

# Maximum label sets per metric: teams choose class names, so their number is
# unbounded. A scrape takes about 130 us of CPU per histogram series.
MAX_SERIES = 1000
MAX_HISTOGRAM_SERIES = 200
OTHER = "other"
_DROPPED = "pollenfork_series_dropped_total"


class Metrics:
    """The metrics of the process; thread-safe.

    The number of label sets per metric is limited; samples beyond the limit
    are counted with every label set to `other`.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = aioprometheus.Registry()
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}
        self._sources: list[Callable[[], None]] = []

    def add_source(self, read: Callable[[], None]) -> None:
        """Calls `read` before each scrape, to export counts kept elsewhere."""
        self._sources.append(read)

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to the counter `name` with these labels."""
        with self._lock:
            counter = self._get_counter(name)
            counter.add(self._limit_series(counter, labels), amount)

    def set_count(self, name: str, value: int, **labels: str) -> None:
        """Sets the counter `name` to a total counted elsewhere."""
        with self._lock:
            counter = self._get_counter(name)
            counter.set(self._limit_series(counter, labels), value)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the gauge `name` with these labels."""
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = aioprometheus.Gauge(
                    name, _describe(name), registry=self._registry
                )
                self._gauges[name] = gauge
            gauge.set(self._limit_series(gauge, labels), value)

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
            histogram.add(self._limit_series(histogram, labels), seconds)

    def render(self) -> tuple[bytes, str]:
        """Returns the metrics as text, and the content type."""
        for read in self._sources:
            read()
        formatter = formats.text.TextFormatter()
        texts = []
        for collector in self._registry.get_all():
            with self._lock:  # Per collector, so others can count meanwhile.
                texts.append(formatter.marshall_collector(collector))
        content = "".join(f"{text}\n" for text in sorted(texts))
        return content.encode(), formatter.get_headers()["Content-Type"]

    def _get_counter(self, name: str) -> aioprometheus.Counter:
        counter = self._counters.get(name)
        if counter is None:
            counter = aioprometheus.Counter(
                name, _describe(name), registry=self._registry
            )
            self._counters[name] = counter
        return counter

    def _limit_series(
        self, metric: collectors.Collector, labels: dict[str, str]
    ) -> dict[str, str]:
        escaped = {name: _escape(value) for name, value in labels.items()}
        max_series = MAX_SERIES
        if isinstance(metric, aioprometheus.Histogram):
            max_series = MAX_HISTOGRAM_SERIES
        if len(metric.values) < max_series or escaped in metric.values:
            return escaped
        self._get_counter(_DROPPED).inc({"metric": metric.name})
        return dict.fromkeys(labels, OTHER)


def _escape(value: str) -> str:
    """Escapes a label value for the text format."""
    if value.isalnum():
        return value
    return value.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")


def _describe(name: str) -> str:
    return metric_help.HELP.get(name, name)
