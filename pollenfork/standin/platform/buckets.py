"""Rate limits by token bucket."""


class Bucket:
    """Lets `rate` calls a second pass, and one second's worth at once."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._size = max(1.0, rate)
        self._tokens = self._size
        self._filled_at: float | None = None

    def take(self, now: float) -> float:
        """Takes one token; else returns the seconds until there is one."""
        if self._filled_at is not None:
            added = (now - self._filled_at) * self._rate
            self._tokens = min(self._size, self._tokens + added)
        self._filled_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens -= 1
        return 0.0
