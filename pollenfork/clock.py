"""Injectable clocks, so that tests can stop and advance time."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Returns seconds that never decrease, from an arbitrary origin.

        Time also passes while the machine is suspended: a lease granted for
        3 s has expired after a suspension of 5 s, even if its holder did not
        notice.
        """

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; it may jump."""


def read_boottime() -> float:
    """Returns the seconds since boot, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """The system clock."""

    def monotonic(self) -> float:
        """Returns the seconds since boot, including time suspended."""
        return read_boottime()

    def wall(self) -> float:
        """Returns the Unix time in seconds."""
        return time.time()


class ManualClock:
    """A clock that only moves when a test advances it."""

    def __init__(self, wall: float = 1_700_000_000.0) -> None:
        self._lock = threading.Lock()
        self._monotonic = 0.0
        self._wall = wall

    def monotonic(self) -> float:
        """Returns the seconds advanced so far."""
        with self._lock:
            return self._monotonic

    def wall(self) -> float:
        """Returns the initial Unix time plus the seconds advanced."""
        with self._lock:
            return self._wall

    def advance(self, seconds: float) -> None:
        """Advances both clocks by `seconds`."""
        with self._lock:
            self._monotonic += seconds
            self._wall += seconds
