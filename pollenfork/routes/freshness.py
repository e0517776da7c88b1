"""How old what an instance knows of the configuration may be.

A key that was taken away must stop working within a bound even where the
news of it can't arrive. So an instance keeps the moment up to which it has
proof that it knew everything, and asks for keys only while that is recent.
"""

# A request may wait this long between the check of its key and its arrival
# at a runner; the bound counts to the arrival.
_SEND_DELAY_S = 0.4
# A store whose watchers hear nothing for a while still answers them, so what
# counts as proof may be this much older than it seems, in seconds.
_STORE_DELAY_S = 0.8


class Freshness:
    """Up to when the configuration is known to have been current."""

    def __init__(self, bound_s: float | None) -> None:
        """Starts with nothing known.

        Args:
            bound_s: Seconds that a key taken away may go on working; None
                where there is no such bound.
        """
        self._bound_s = bound_s
        self._current_at: float | None = None

    def set_bound(self, bound_s: float | None) -> None:
        """Sets how long a key taken away may go on working, in seconds."""
        self._bound_s = bound_s

    def record_current(self, moment: float) -> None:
        """Notes that everything up to `moment` is known.

        Args:
            moment: Monotonic seconds; for a reading call, when it was sent.
        """
        if self._current_at is None or moment > self._current_at:
            self._current_at = moment

    def age(self, now: float) -> float | None:
        """Returns seconds since the configuration was surely current."""
        return None if self._current_at is None else now - self._current_at

    def trusts_keys(self, now: float) -> bool:
        """Returns whether a key may be accepted by what is known."""
        age = self.age(now)
        if age is None:
            return False
        return (
            self._bound_s is None
            or age < self._bound_s - _SEND_DELAY_S - _STORE_DELAY_S
        )
