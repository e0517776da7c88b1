"""The time of day that the instances agree on.

The clock of any machine may be wrong, or jump. The holder of the duties takes
the median of all clocks that it hears of; the others follow the holder. Once
the clock is settled it is only slewed, so that no window comes twice.
"""

from collections.abc import Callable
import statistics

# How fast the clock is corrected, in seconds per second.
_SLEW_RATE = 0.2
# A clock is ignored if it wasn't reported for this long, in seconds.
_CLOCK_TIMEOUT_S = 5.0
# The median of this many clocks settles the time: one wrong clock among them
# doesn't change it.
_SETTLED_BY = 3
# A reply that took longer than this, in seconds, is too inaccurate.
_MAX_ROUND_TRIP_S = 0.5


class ClusterClock:
    """This instance's estimate of the agreed time of day."""

    def __init__(self, read_wall: Callable[[], float], now: float) -> None:
        """Starts with the clock of this machine.

        Args:
            read_wall: Returns the machine's time of day in Unix seconds.
            now: Monotonic seconds.
        """
        self._read_wall = read_wall
        self._offset = read_wall() - now
        self._target = self._offset
        self._adjusted_at = now
        self._settled = False
        self._clocks: dict[str, tuple[float, float]] = {}

    def read(self, now: float) -> float:
        """Returns Unix seconds.

        Args:
            now: Monotonic seconds.
        """
        most = max(0.0, now - self._adjusted_at) * _SLEW_RATE
        self._adjusted_at = now
        gap = self._target - self._offset
        self._offset += max(-most, min(most, gap))
        return now + self._offset

    def record_clock(self, host: str, wall: float, now: float) -> None:
        """Records the clock of another instance, received just now."""
        self._clocks[host] = (wall - now, now)

    def follow_holder(self, time: float, asked_at: float, now: float) -> None:
        """Adjusts the clock to the holder's.

        Args:
            time: The holder's time in Unix seconds.
            asked_at: When this instance sent its request, in monotonic seconds.
            now: Monotonic seconds.
        """
        round_trip_s = now - asked_at
        if 0.0 <= round_trip_s <= _MAX_ROUND_TRIP_S:
            self._set_target(time + round_trip_s / 2.0 - now, now, True)

    def follow_median(self, now: float) -> None:
        """Adjusts the clock to the median of all; for the holder only."""
        for host, (_, heard_at) in list(self._clocks.items()):
            if now - heard_at > _CLOCK_TIMEOUT_S:
                del self._clocks[host]
        others = [offset for offset, _ in self._clocks.values()]
        offsets = [self._read_wall() - now, *others]
        median = statistics.median_low(offsets)
        self._set_target(median, now, len(offsets) >= _SETTLED_BY)

    def _set_target(self, offset: float, now: float, settles: bool) -> None:
        self.read(now)
        self._target = offset
        if not self._settled:
            self._offset = offset
            self._settled = settles
