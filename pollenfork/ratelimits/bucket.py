"""A token bucket whose rate may change at any time."""


class TokenBucket:
    """Allows `rate` requests a second on average, and short bursts.

    In any span of T seconds it allows at most rate x T + burst.
    """

    def __init__(self, now: float) -> None:
        """Starts empty, as a previous coordinator may have used all tokens."""
        self._tokens = 0.0
        self._filled_at = now

    def take(self, rate: float, burst: float, now: float) -> bool:
        """Takes one token; returns whether there was one.

        Args:
            rate: Tokens a second since the last call.
            burst: The capacity in tokens.
            now: Monotonic seconds.
        """
        gained = max(0.0, now - self._filled_at) * rate
        self._filled_at = now
        self._tokens = min(burst, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def find_wait(self, rate: float) -> float:
        """Returns seconds until the next token, as of the last call."""
        return max(0.0, 1.0 - self._tokens) / rate
