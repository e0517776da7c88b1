"""Time as an injected value, so that tests pause and advance it."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Returns seconds that never go back, from an arbitrary origin.

        They go on while the machine is suspended: a lease given for 3 s
        has run out after a suspension of 5 s, whatever its holder has seen.
        """

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; it may jump."""


def read_boottime() -> float:
    """Returns seconds since the machine started, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Returns the machine's seconds, suspension included."""
        return read_boottime()

    def wall(self) -> float:
        """Returns the machine's Unix time in seconds."""
        return time.time()


class ManualClock:
    """A clock that stands still until a test advances it."""

    def __init__(self, wall: float = 1_700_000_000.0) -> None:
        self._lock = threading.Lock()
        self._monotonic = 0.0
        self._wall = wall

    def monotonic(self) -> float:
        """Returns the seconds advanced so far."""
        with self._lock:
            return self._monotonic

    def wall(self) -> float:
        """Returns the Unix time set at the start plus the seconds advanced."""
        with self._lock:
            return self._wall

    def advance(self, seconds: float) -> None:
        """Moves both readings forward by `seconds`."""
        with self._lock:
            self._monotonic += seconds
            self._wall += seconds
