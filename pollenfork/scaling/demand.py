"""How many runners a service needs in all."""

import math

from pollenfork.scaling import model

# More runners are ordered once each has this much to read on average, in
# seconds, or this part of their places is taken: the next long prompt would
# be late, and a new runner takes seconds to start.
_BUSY_S = 0.4
_BUSY_TAKEN = 0.6
# Then there are this many times as many; and at so many times the mark, more.
_STEP = 1.3
_PRESSED = 1.6
_LARGEST_STEP = 1.7
# The part that the newest look has in what is believed: ten looks are 2.5 s.
_NEWEST = 0.4
# What was added stays for this long after the last sign, in seconds: waves and
# bursts come again sooner, and an emptied runner forgets what it has read.
_HELD_S = 20.0


class Demand:
    """Adds to the usual number of runners while they are busy."""

    def __init__(self, usual: int, present: int = 0, now: float = 0.0) -> None:
        """Starts with the runners that there are.

        Whoever takes over doesn't know when they were last needed.

        Args:
            usual: How many there are when nothing special goes on.
            present: How many there are now.
            now: Monotonic seconds.
        """
        self.usual = usual
        self._step = max(1.0, min(_LARGEST_STEP, present / usual))
        self._pressure = 0.0
        self._until = now + _HELD_S

    def find_total(self, use: model.Use, now: float) -> int:
        """Returns how many runners there shall be.

        Args:
            use: How busy they are.
            now: Monotonic seconds.
        """
        pressure = max(use.backlog_s / _BUSY_S, use.taken / _BUSY_TAKEN)
        self._pressure += (pressure - self._pressure) * _NEWEST
        if self._pressure >= 1.0:
            pressed = self._pressure >= _PRESSED
            step = _LARGEST_STEP if pressed else _STEP
            self._step = max(self._step, step)
            self._until = now + _HELD_S
        elif now >= self._until:
            self._step = 1.0
        return math.ceil(self.usual * self._step)
