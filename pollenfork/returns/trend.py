"""How fast a service's backlog falls."""

import collections

import msgspec

# How far back samples count, and the time that they must span, in seconds.
# Loads of other instances are up to 0.15 s old.
_WINDOW_S = 1.5
_MIN_SPAN_S = 0.3
# Samples closer together than this, in seconds, add nothing.
_INTERVAL_S = 0.05


class Fall(msgspec.Struct, frozen=True):
    """The fall of a backlog over a period.

    Attributes:
        start: Monotonic seconds of the first sample.
        end: Monotonic seconds of the last sample.
        rate: Seconds of backlog per second; negative: it grows.
    """

    start: float
    end: float
    rate: float


class BacklogTrend:
    """Recent samples of one service's mean backlog."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record(self, backlog_s: float, now: float) -> None:
        """Adds a sample.

        Args:
            backlog_s: The mean backlog of the service's runners in seconds.
            now: Monotonic seconds.
        """
        samples = self._samples
        while samples and samples[0][0] < now - _WINDOW_S:
            samples.popleft()
        if not samples or now - samples[-1][0] >= _INTERVAL_S:
            samples.append((now, backlog_s))

    def measure(self) -> Fall | None:
        """Returns the fall between the oldest and the newest sample.

        None: the samples span too short a time.
        """
        if not self._samples:
            return None
        start, first_s = self._samples[0]
        end, last_s = self._samples[-1]
        if end - start < _MIN_SPAN_S:
            return None
        return Fall(start, end, (first_s - last_s) / (end - start))
