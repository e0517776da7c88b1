"""Rate limits by token bucket."""


class TokenBucket:
    """Allows `rate` calls per second, with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._capacity = max(1.0, rate)
        self._tokens = self._capacity
        self._refilled_at: float | None = None

    def take(self, now: float) -> float:
        """Takes a token and returns 0, or returns the seconds to wait."""
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens -= 1
        return 0.0
