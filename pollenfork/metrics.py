"""Counters and histograms of the process, in Prometheus' text form."""

import threading

import aioprometheus

_LATENCY_BOUNDS_S = [0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0, 30.0]


class Metrics:
    """What the process counts; safe from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = aioprometheus.Registry()
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to the counter `name` with these labels."""
        with self._lock:
            counter = self._counters.get(name)
            if counter is None:
                counter = aioprometheus.Counter(
                    name, name, registry=self._registry
                )
                self._counters[name] = counter
            counter.add(labels, amount)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the gauge `name` with these labels."""
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = aioprometheus.Gauge(name, name, registry=self._registry)
                self._gauges[name] = gauge
            gauge.set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds one duration to the histogram `name` with these labels."""
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = aioprometheus.Histogram(
                    name,
                    name,
                    buckets=_LATENCY_BOUNDS_S,
                    registry=self._registry,
                )
                self._histograms[name] = histogram
            histogram.add(labels, seconds)

    def render(self) -> tuple[bytes, str]:
        """Returns the exposition and its content type."""
        with self._lock:
            content, headers = aioprometheus.render(self._registry, [])
        return content, headers["Content-Type"]
