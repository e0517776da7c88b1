"""Reserves a limited runner's permits for the more urgent tiers."""

import collections

from pollenfork import ids

_WINDOW_S = 2.0


class _RecentCounts:
    """Counts recent events by tier."""

    def __init__(self) -> None:
        self._events: collections.deque[tuple[float, ids.Tier]] = (
            collections.deque()
        )
        self.counts: collections.Counter[ids.Tier] = collections.Counter()

    def add(self, tier: ids.Tier, now: float) -> None:
        self._events.append((now, tier))
        self.counts[tier] += 1

    def expire(self, now: float) -> None:
        while self._events and self._events[0][0] <= now - _WINDOW_S:
            _, tier = self._events.popleft()
            self.counts[tier] -= 1


class TierReservation:
    """Tracks each tier's recent requests for permits and its grants.

    Less urgent requests share the permits that the more urgent ones would
    leave if as many came as in the last seconds.
    """

    def __init__(self) -> None:
        self._requested = _RecentCounts()
        self._granted = _RecentCounts()

    def record_request(self, tier: ids.Tier, now: float) -> None:
        """Counts a request for a permit."""
        self._requested.add(tier, now)

    def record_grant(self, tier: ids.Tier, now: float) -> None:
        """Counts a permit granted."""
        self._granted.add(tier, now)

    def admits(self, tier: ids.Tier, rate: float, now: float) -> bool:
        """Returns whether a permit leaves enough for more urgent tiers.

        Args:
            tier: The request's tier.
            rate: Permits a second.
            now: Monotonic seconds.
        """
        self._requested.expire(now)
        self._granted.expire(now)
        requested = self._requested.counts.items()
        urgent = sum(count for urgency, count in requested if urgency < tier)
        if not urgent:
            return True
        grants = self._granted.counts.items()
        granted = sum(count for urgency, count in grants if urgency >= tier)
        return granted + 1 <= rate * _WINDOW_S - urgent
