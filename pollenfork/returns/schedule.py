"""Assigns return times at the rate at which the runners can serve them."""

import bisect
import random

import msgspec

# Gaps shorter than this, in seconds, are rounding errors.
_TOLERANCE_S = 1e-9


class Window(msgspec.Struct, frozen=True):
    """The times at which a caller may be told to return.

    Attributes:
        earliest: Monotonic seconds from which on a place is sought.
        latest: The last time allowed.
    """

    earliest: float
    latest: float


class ReturnSchedule:
    """The return times that one instance has assigned for one service.

    Each return occupies the runners for as long as its place is long, so the
    places of a schedule don't overlap. All instances assign places without
    asking each other. After an idle period, a schedule therefore starts at a
    random phase: otherwise the first place of every instance would be due at
    once, which at 360 instances in front of 3 runners is eight seconds of work.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates an empty schedule.

        Args:
            rng: Sets the phase after an idle period.
        """
        self._rng = rng
        # Sorted, disjoint and not adjacent. Adjacent places are merged, so
        # that a search takes few steps also when the schedule is full.
        self._starts: list[float] = []
        self._ends: list[float] = []

    def assign(
        self, window: Window, length_s: float, now: float
    ) -> float | None:
        """Returns the first free time in a window; None: there is none.

        Args:
            window: When the caller may be told to return.
            length_s: Seconds of this instance's share of the runners that the
                request takes.
            now: Monotonic seconds.
        """
        self._drop_past(now)
        if not self._starts:
            phase_s = self._rng.random() * length_s
            self._insert(0, now, max(now, window.earliest) + phase_s)
        index, start = self._find_gap(max(now, window.earliest), length_s)
        if start > window.latest:
            return None
        self._insert(index, start, start + length_s)
        return start

    def _drop_past(self, now: float) -> None:
        past = bisect.bisect_right(self._ends, now)
        del self._starts[:past]
        del self._ends[:past]

    def _find_gap(self, earliest: float, length_s: float) -> tuple[int, float]:
        """Returns the first gap's position in the lists and its start."""
        index = bisect.bisect_right(self._ends, earliest)
        start = earliest
        while (
            index < len(self._starts)
            and self._starts[index] < start + length_s - _TOLERANCE_S
        ):
            start = self._ends[index]
            index += 1
        return index, start

    def _insert(self, index: int, start: float, end: float) -> None:
        """Inserts a place and merges it with adjacent ones."""
        if index and start - self._ends[index - 1] <= _TOLERANCE_S:
            index -= 1
            self._ends[index] = end
        else:
            self._starts.insert(index, start)
            self._ends.insert(index, end)
        after = index + 1
        if (
            after < len(self._starts)
            and self._starts[after] - end <= _TOLERANCE_S
        ):
            self._ends[index] = self._ends[after]
            del self._starts[after]
            del self._ends[after]
