"""This instance's part of the repeats that all instances may send."""

import collections

from pollenfork import ids

# Repeats that an instance may send besides the ratio. How many instances
# there are isn't known here; the operators' sheets allow 52 for 6 of them and
# 168 for 64, so two each stay below it with room for instances that join.
_EXTRA_EACH = 2.0
_USED_PART = 0.8  # The rest is for windows that don't begin with ours.


class RepeatBudget:
    """Counts requests and repeats in a sliding window, by service."""

    def __init__(self, ratio: float, window_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._repeats: dict[ids.ServiceName, collections.deque[float]] = {}

    def set_limits(self, ratio: float, window_s: float) -> None:
        """Sets the repeats allowed for each request, and the window."""
        self._ratio = ratio
        self._window_s = window_s

    def note_request(self, service: ids.ServiceName, now: float) -> None:
        """Counts a request, on which repeats are earned."""
        self._recent(self._requests, service, now).append(now)

    def take(self, service: ids.ServiceName, now: float) -> bool:
        """Takes one repeat; returns whether there was one left."""
        requests = self._recent(self._requests, service, now)
        repeats = self._recent(self._repeats, service, now)
        allowed = self._ratio * _USED_PART * len(requests) + _EXTRA_EACH
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _recent(
        self,
        kept: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now: float,
    ) -> collections.deque[float]:
        times = kept.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
