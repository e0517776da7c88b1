"""Counters and histograms of the process, in Prometheus' text form."""

from collections.abc import Callable
import threading

import aioprometheus
from aioprometheus import collectors

from pollenfork import metric_help

MAX_SERIES = 1000  # Label sets of one metric; teams choose class names.
OTHER = "other"
_DROPPED = "pollenfork_series_dropped_total"
_LATENCY_BOUNDS_S = [
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.3,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
    300.0,
]


class Metrics:
    """What the process counts; safe from any thread.

    A metric takes `MAX_SERIES` sets of label values; what comes beyond is
    counted with every label set to `other`.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = aioprometheus.Registry()
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}
        self._sources: list[Callable[[], None]] = []

    def add_source(self, source: Callable[[], None]) -> None:
        """Calls `source` before each exposition, to set what it counts."""
        self._sources.append(source)

    def set_total(self, name: str, total: int, **labels: str) -> None:
        """Sets the counter `name`, which is kept elsewhere, to its total."""
        self.count(name, 0, **labels)
        with self._lock:
            counter = self._counters[name]
            counter.set(self._bound(counter, labels), total)

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to the counter `name` with these labels."""
        with self._lock:
            counter = self._counters.get(name)
            if counter is None:
                counter = aioprometheus.Counter(
                    name, _describe(name), registry=self._registry
                )
                self._counters[name] = counter
            counter.add(self._bound(counter, labels), amount)

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
                    buckets=_LATENCY_BOUNDS_S,
                    registry=self._registry,
                )
                self._histograms[name] = histogram
            histogram.add(self._bound(histogram, labels), seconds)

    def render(self) -> tuple[bytes, str]:
        """Returns the exposition and its content type."""
        for source in self._sources:
            source()
        with self._lock:
            content, headers = aioprometheus.render(self._registry, [])
        return content, headers["Content-Type"]

    def _bound(
        self, metric: collectors.Collector, labels: dict[str, str]
    ) -> dict[str, str]:
        if len(metric.values) < MAX_SERIES or labels in metric.values:
            return labels
        dropped = self._counters.get(_DROPPED)
        if dropped is None:
            dropped = aioprometheus.Counter(
                _DROPPED, _describe(_DROPPED), registry=self._registry
            )
            self._counters[_DROPPED] = dropped
        dropped.inc({"metric": metric.name})
        return dict.fromkeys(labels, OTHER)


def _describe(name: str) -> str:
    return metric_help.HELP.get(name, name)
