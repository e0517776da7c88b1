"""Earlier load reports, for an engine whose report lags."""

import collections
from collections.abc import Callable

from pollenfork.endpoints import edges

_PERIOD_S = 0.02
_SIZE = 4096


class History:
    """The load at regular times, oldest first."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, edges.LoadReport]] = (
            collections.deque(maxlen=_SIZE)
        )

    def record(
        self, now: float, measure: Callable[[], edges.LoadReport]
    ) -> None:
        """Takes a sample unless the last one is still fresh."""
        if not self._samples or now - self._samples[-1][0] >= _PERIOD_S:
            self._samples.append((now, measure()))

    def find(self, at: float) -> tuple[float, edges.LoadReport] | None:
        """Returns the last sample until `at`, or else the oldest one."""
        for sample in reversed(self._samples):
            if sample[0] <= at:
                return sample
        return self._samples[0] if self._samples else None
