"""Quantile sketches and running means of request measurements."""

from hdrh import histogram

_MAX_VALUE = 1_000_000
_SIGNIFICANT_DIGITS = 1
_WINDOW = 512
_CACHE_INTERVAL = 32


class Sketch:
    """Quantiles of recently recorded positive integers.

    Two histograms rotate, so that a shift in the values is fully reflected
    after at most two windows. Quantiles are cached for `_CACHE_INTERVAL`
    values.
    """

    def __init__(self) -> None:
        self._current = _create_histogram()
        self._previous: histogram.HdrHistogram | None = None
        self._count = 0
        self._cached: dict[float, int] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no value has been recorded yet."""
        return self._count == 0 and self._previous is None

    def record(self, value: int) -> None:
        """Records a value, clamped to the supported range."""
        self._current.record_value(min(max(value, 1), _MAX_VALUE))
        self._count += 1
        if self._count % _CACHE_INTERVAL == 0 or self._count < _CACHE_INTERVAL:
            self._cached.clear()
        if self._count >= _WINDOW:
            self._previous = self._current
            self._current = _create_histogram()
            self._count = 0

    def quantile(self, fraction: float) -> int | None:
        """Returns the quantile at `fraction`, between 0 and 1."""
        if self.is_empty:
            return None
        cached = self._cached.get(fraction)
        if cached is None:
            cached = self._cached[fraction] = self._compute_quantile(fraction)
        return cached

    def _compute_quantile(self, fraction: float) -> int:
        merged = self._current
        if self._previous is not None:
            merged = _create_histogram()
            merged.add(self._previous)
            merged.add(self._current)
        return int(merged.get_value_at_percentile(fraction * 100))


class Mean:
    """An exponentially weighted mean; at first it is the arithmetic mean."""

    __slots__ = ("_min_weight", "count", "value")

    def __init__(self, value: float, weight: float) -> None:
        self.value = value
        self.count = 0
        self._min_weight = weight

    def record(self, value: float) -> None:
        """Records a value."""
        self.count += 1
        weight = max(1.0 / self.count, self._min_weight)
        self.value += weight * (value - self.value)


def _create_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MAX_VALUE, _SIGNIFICANT_DIGITS)
