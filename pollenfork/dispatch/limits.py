"""The adaptive concurrency limit of an endpoint."""

_DECREASE = 0.8
_INCREASE = 0.5
_MIN_LIMIT = 1.0
_DECREASE_INTERVAL_S = 2.0
_RAMP_S = 8.0


class ConcurrencyLimit:
    """An AIMD limit that never exceeds the configured slots.

    The signal is the ratio of an attempt's latency to its class's target: at
    1.0 the target was just met.
    """

    def __init__(self, slots: int) -> None:
        self._slots = float(slots)
        self._value = float(slots)
        self._decreased_at = float("-inf")
        self._ramp_start: float | None = None

    def resize(self, slots: int) -> None:
        """Scales the limit to a new number of configured slots."""
        self._value *= slots / self._slots
        self._slots = float(slots)

    def record(self, ratio: float, now: float) -> None:
        """Records an attempt's latency as a multiple of its target."""
        if ratio <= 1.0:
            self._value = min(self._slots, self._value + _INCREASE)
        elif now - self._decreased_at >= _DECREASE_INTERVAL_S:
            self._value = max(_MIN_LIMIT, self._value * _DECREASE)
            self._decreased_at = now

    def start_slow(self, now: float) -> None:
        """Ramps the limit up from one after the endpoint returned."""
        self._ramp_start = now

    def get(self, now: float) -> float:
        """Returns how many attempts the endpoint should hold at most."""
        if self._ramp_start is None:
            return self._value
        part = (now - self._ramp_start) / _RAMP_S
        if part >= 1.0:
            self._ramp_start = None
            return self._value
        return max(_MIN_LIMIT, self._value * part)
