"""True time, as most instances have it.

Each machine's time of day may be wrong, or jump. The holder takes the median of
all clocks that it hears; the others take the holder's word. What is believed is
only ever slewed once it has been settled, so no window comes twice.
"""

from collections.abc import Callable
import statistics

# How fast a belief is corrected, in seconds a second.
_SLEW = 0.2
# A clock that wasn't heard for this long says nothing, in seconds.
_HEARD_S = 5.0
# As many clocks settle it at once: one that is wrong among them doesn't.
_SETTLED_BY = 3
# An answer that took longer tells too little, in seconds.
_LONGEST_WAY_S = 0.5


class TrueTime:
    """What this instance takes for the time of day."""

    def __init__(self, read_wall: Callable[[], float], now: float) -> None:
        """Starts with this machine's own clock.

        Args:
            read_wall: Returns its time of day in Unix seconds.
            now: Monotonic seconds.
        """
        self._read_wall = read_wall
        self._offset = read_wall() - now
        self._aim = self._offset
        self._moved_at = now
        self._settled = False
        self._clocks: dict[str, tuple[float, float]] = {}

    def read(self, now: float) -> float:
        """Returns Unix seconds.

        Args:
            now: Monotonic seconds.
        """
        most = max(0.0, now - self._moved_at) * _SLEW
        self._moved_at = now
        gap = self._aim - self._offset
        self._offset += max(-most, min(most, gap))
        return now + self._offset

    def note_clock(self, host: str, wall: float, now: float) -> None:
        """Takes another instance's clock, as it was told just now."""
        self._clocks[host] = (wall - now, now)

    def follow(self, told: float, asked_at: float, now: float) -> None:
        """Takes the holder's word.

        Args:
            told: Unix seconds that it answered.
            asked_at: Monotonic seconds here at which it was asked.
            now: Monotonic seconds.
        """
        way_s = now - asked_at
        if 0.0 <= way_s <= _LONGEST_WAY_S:
            self._aim_at(told + way_s / 2.0 - now, now, True)

    def agree(self, now: float) -> None:
        """Goes by the median of all clocks; for the holder alone."""
        for host, (_, heard_at) in list(self._clocks.items()):
            if now - heard_at > _HEARD_S:
                del self._clocks[host]
        others = [offset for offset, _ in self._clocks.values()]
        offsets = [self._read_wall() - now, *others]
        median = statistics.median_low(offsets)
        self._aim_at(median, now, len(offsets) >= _SETTLED_BY)

    def _aim_at(self, offset: float, now: float, settles: bool) -> None:
        self.read(now)
        self._aim = offset
        if not self._settled:
            self._offset = offset
            self._settled = settles
