"""Estimates how many runners a service needs in total."""

import math

from pollenfork.scaling import model

# More runners are ordered once the mean backlog reaches this many seconds or
# this fraction of the slots is in use: otherwise the next long prompt would be
# late, as a new runner takes seconds to start.
_BUSY_BACKLOG_S = 0.4
_BUSY_UTILIZATION = 0.6
# The factor on the baseline at a pressure of 1, and the larger factor that
# applies from the higher pressure on.
_FACTOR = 1.3
_HIGH_PRESSURE = 1.6
_HIGH_FACTOR = 1.7
# The weight of the newest sample in the moving average; ten samples take 2.5 s.
_EWMA_WEIGHT = 0.4
# Added runners stay for this long after pressure was last high, in seconds:
# waves and bursts recur sooner, and a released runner loses its cache.
_HOLD_S = 20.0


class DemandEstimator:
    """Scales a baseline number of runners up while they are busy."""

    def __init__(
        self, baseline: int, present: int = 0, now: float = 0.0
    ) -> None:
        """Starts from the present number of runners.

        A new duty holder doesn't know when they were last needed, so it holds
        them for the full hold time.

        Args:
            baseline: The number of runners under normal load.
            present: The number of runners now.
            now: Monotonic seconds.
        """
        self.baseline = baseline
        self._factor = max(1.0, min(_HIGH_FACTOR, present / baseline))
        self._pressure = 0.0
        self._hold_until = now + _HOLD_S

    def estimate_total(self, load: model.Load, now: float) -> int:
        """Returns the number of runners to have.

        Args:
            load: The runners' load.
            now: Monotonic seconds.
        """
        pressure = max(
            load.backlog_s / _BUSY_BACKLOG_S,
            load.slot_utilization / _BUSY_UTILIZATION,
        )
        self._pressure += (pressure - self._pressure) * _EWMA_WEIGHT
        if self._pressure >= 1.0:
            high = self._pressure >= _HIGH_PRESSURE
            factor = _HIGH_FACTOR if high else _FACTOR
            self._factor = max(self._factor, factor)
            self._hold_until = now + _HOLD_S
        elif now >= self._hold_until:
            self._factor = 1.0
        return math.ceil(self.baseline * self._factor)
