"""Quantile sketches and running means of what requests turned out to need."""

from hdrh import histogram

_HIGHEST = 1_000_000
_SIGNIFICANT_DIGITS = 1
_WINDOW = 512
_REFRESH = 32


class Sketch:
    """Quantiles of positive whole numbers seen lately.

    Two histograms rotate, so that a shift shows after at most two windows;
    quantiles are computed anew only every so many values.
    """

    def __init__(self) -> None:
        self._current = _create_histogram()
        self._earlier: histogram.HdrHistogram | None = None
        self._count = 0
        self._cached: dict[float, int] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no value was recorded yet."""
        return self._count == 0 and self._earlier is None

    def record(self, value: int) -> None:
        """Takes a value; those beyond the range count as its bounds."""
        self._current.record_value(min(max(value, 1), _HIGHEST))
        self._count += 1
        if self._count % _REFRESH == 0 or self._count < _REFRESH:
            self._cached.clear()
        if self._count >= _WINDOW:
            self._earlier = self._current
            self._current = _create_histogram()
            self._count = 0

    def quantile(self, part: float) -> int | None:
        """Returns the value that `part` (0 to 1) of all stay below."""
        if self.is_empty:
            return None
        cached = self._cached.get(part)
        if cached is None:
            cached = self._cached[part] = self._compute(part)
        return cached

    def _compute(self, part: float) -> int:
        merged = self._current
        if self._earlier is not None:
            merged = _create_histogram()
            merged.add(self._earlier)
            merged.add(self._current)
        return int(merged.get_value_at_percentile(part * 100))


class Mean:
    """An exponentially weighted mean that starts as the plain mean."""

    __slots__ = ("_least_weight", "count", "value")

    def __init__(self, value: float, weight: float) -> None:
        self.value = value
        self.count = 0
        self._least_weight = weight

    def record(self, value: float) -> None:
        """Takes a value."""
        self.count += 1
        weight = max(1.0 / self.count, self._least_weight)
        self.value += weight * (value - self.value)


def _create_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _HIGHEST, _SIGNIFICANT_DIGITS)
