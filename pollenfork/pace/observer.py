"""Times the events of a streamed answer."""

import collections

# A lower quartile of fewer intervals may consist of delayed ones only.
MIN_INTERVALS = 6
# Bounds the memory that a long answer takes; the latest intervals are kept.
_MAX_INTERVALS = 128


class EventTimer:
    """Measures the typical interval between the events of one answer.

    The lower quartile leaves out the decode steps during which the runner also
    ran the prefill of another prompt.
    """

    def __init__(self) -> None:
        self._last: float | None = None
        self._intervals: collections.deque[float] = collections.deque(
            maxlen=_MAX_INTERVALS
        )

    def record(self, now: float, events: int = 1) -> None:
        """Adds events that arrived together.

        Events that one read returns were generated one after the other, so
        each counts with its share of the time since the previous read.

        Args:
            now: Monotonic seconds.
            events: Their number.
        """
        if events < 1:
            return
        if self._last is not None:
            share = (now - self._last) / events
            self._intervals.extend([share] * min(events, _MAX_INTERVALS))
        self._last = now

    def get_interval_ms(self) -> float | None:
        """Returns the lower quartile; None: there are too few intervals."""
        if len(self._intervals) < MIN_INTERVALS:
            return None
        ordered = sorted(self._intervals)
        return ordered[len(ordered) // 4] * 1000
