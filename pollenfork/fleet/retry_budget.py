"""This instance's share of the retries allowed to all instances."""

import collections

from pollenfork import ids

# The maximum number of retries that one instance may send beyond the ratio.
_MAX_EXTRA = 2.0
# The fraction of the ratio that is used; the rest is a margin for windows that
# aren't aligned with this instance's.
_USED_RATIO = 0.8
# Instances that haven't been heard from for less than this, in seconds, may
# only be partitioned and still be retrying.
_PARTITION_S = 60.0


class RetryBudget:
    """Limits each service's retries to a ratio of its recent requests."""

    def __init__(
        self, ratio: float, window_s: float, extra: float = 10.0
    ) -> None:
        """Creates the budget of a sole instance.

        Args:
            ratio: Retries allowed per request.
            window_s: The length of the window in seconds.
            extra: Additional retries allowed to all instances together.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra
        self._instances = 1
        self._counted_at = 0.0
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceName, collections.deque[float]] = {}

    def set_limits(self, ratio: float, window_s: float, extra: float) -> None:
        """Sets the ratio, the window and the additional retries."""
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra

    def set_instances(self, count: int, now: float) -> None:
        """Sets the number of known instances, including this one.

        A decrease takes effect only after a while, because instances that
        aren't heard may still be retrying.
        """
        if count >= self._instances or now - self._counted_at > _PARTITION_S:
            self._instances = count
            self._counted_at = now

    def record_request(self, service: ids.ServiceName, now: float) -> None:
        """Counts a request, which earns a fraction of a retry."""
        self._recent(self._requests, service, now).append(now)

    def try_take(self, service: ids.ServiceName, now: float) -> bool:
        """Takes one retry; returns False if the budget is exhausted."""
        if not self.has_left(service, now):
            return False
        self._recent(self._retries, service, now).append(now)
        return True

    def give_back(self, service: ids.ServiceName) -> None:
        """Gives back the last retry that was taken, as nothing was sent."""
        retries = self._retries.get(service)
        if retries:
            retries.pop()

    def has_left(self, service: ids.ServiceName, now: float) -> bool:
        """Returns whether a retry can be taken now."""
        requests = self._recent(self._requests, service, now)
        retries = self._recent(self._retries, service, now)
        share = self._extra * _USED_RATIO / self._instances
        allowed = self._ratio * _USED_RATIO * len(requests)
        allowed += min(_MAX_EXTRA, share)
        return len(retries) + 1 <= allowed

    def _recent(
        self,
        times_by_service: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now: float,
    ) -> collections.deque[float]:
        """Returns a service's times within the window, dropping older ones."""
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
