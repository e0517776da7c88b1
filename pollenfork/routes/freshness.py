"""Tracks how old an instance's copy of the configuration may be.

A revoked key must stop working within a bound, even on an instance that
can't receive the update. Each instance therefore records the latest time at
which its copy was confirmed to be current, and accepts keys only while that
confirmation is recent.
"""

# A request may take this long from the check of its key until it reaches a
# runner; the bound includes this time.
_SEND_DELAY_S = 0.4
# A store whose watchers receive no updates goes on answering for a while, so
# the last confirmation may be older than it seems by this much.
_STORE_DELAY_S = 0.8


class Freshness:
    """The latest time at which the configuration was known to be current."""

    def __init__(self, bound_s: float | None) -> None:
        """Starts without any confirmation.

        Args:
            bound_s: Seconds that a revoked key may go on working; None for no
                limit.
        """
        self._bound_s = bound_s
        self._current_at: float | None = None

    def set_bound(self, bound_s: float | None) -> None:
        """Sets how long a revoked key may go on working, in seconds."""
        self._bound_s = bound_s

    def record_current(self, moment: float) -> None:
        """Records that the configuration was current at `moment`.

        Args:
            moment: Monotonic seconds; for a read call, when it was sent.
        """
        if self._current_at is None or moment > self._current_at:
            self._current_at = moment

    def age(self, now: float) -> float | None:
        """Returns seconds since the configuration was last known current."""
        return None if self._current_at is None else now - self._current_at

    def trusts_keys(self, now: float) -> bool:
        """Returns whether the copy is recent enough to accept keys by it."""
        age = self.age(now)
        if age is None:
            return False
        return (
            self._bound_s is None
            or age < self._bound_s - _SEND_DELAY_S - _STORE_DELAY_S
        )
