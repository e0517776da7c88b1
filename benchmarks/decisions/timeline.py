"""Calls in virtual time."""

from collections.abc import Callable
import heapq
import itertools


class Timeline:
    """A heap of calls in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def __call__(self, at: float, call: Callable[[], None]) -> None:
        """Runs `call` at a moment that isn't past."""
        heapq.heappush(self._calls, (at, next(self._order), call))

    def run_until(self, end: float) -> None:
        """Runs every call up to `end`."""
        while self._calls and self._calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self._calls)
            call()
