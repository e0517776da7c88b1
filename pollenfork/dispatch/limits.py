"""The adaptive concurrency limit of one endpoint."""

_DECREASE = 0.8
_INCREASE = 0.5
_LEAST = 1.0
_CUT_PERIOD_S = 2.0
_SLOW_START_S = 8.0


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, below the planned slots.

    The signal is how an attempt's latency compares with its class's target:
    1.0 means that the target was just met.
    """

    def __init__(self, slots: int) -> None:
        self._slots = float(slots)
        self._value = float(slots)
        self._cut_at = float("-inf")
        self._ramp_from: float | None = None

    def resize(self, slots: int) -> None:
        """Takes a new number of planned slots."""
        self._value *= slots / self._slots
        self._slots = float(slots)

    def note(self, ratio: float, now: float) -> None:
        """Takes one attempt's latency as a multiple of its target."""
        if ratio <= 1.0:
            self._value = min(self._slots, self._value + _INCREASE)
        elif now - self._cut_at >= _CUT_PERIOD_S:
            self._value = max(_LEAST, self._value * _DECREASE)
            self._cut_at = now

    def start_slowly(self, now: float) -> None:
        """Lets the limit grow from one again: the endpoint is back."""
        self._ramp_from = now

    def read(self, now: float) -> float:
        """Returns how many attempts the endpoint should hold."""
        if self._ramp_from is None:
            return self._value
        part = (now - self._ramp_from) / _SLOW_START_S
        if part >= 1.0:
            self._ramp_from = None
            return self._value
        return max(_LEAST, self._value * part)
