"""An event loop whose time passes only while everybody waits."""

import asyncio
import heapq
from typing import Any


class _Selector:
    """Lets time pass instead of waiting for sockets."""

    def __init__(self, loop: "Loop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        """Moves the clock to the next timer."""
        if timeout is None:
            raise RuntimeError("everybody waits for something without a timer")
        self._loop.advance(timeout)
        return []

    def close(self) -> None:
        """Has nothing to close."""


class Loop(asyncio.BaseEventLoop):
    """Runs tasks and timers in simulated time; a second takes none."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        self._selector = _Selector(self)

    def time(self) -> float:
        """Returns simulated seconds since the start."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self._now_s += max(0.0, seconds)
        scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore
        if scheduled:
            # A sum of floats may fall a little short of the next timer.
            due = heapq.nsmallest(1, scheduled)[0].when()
            if 0.0 < due - self._now_s < 1e-6:
                self._now_s = due

    def _process_events(self, events: list[Any]) -> None:
        """Has no sockets."""

    def _write_to_self(self) -> None:
        """Has no other threads to wake it."""
