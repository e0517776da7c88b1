"""Circuit breaker and retry backoff for calls to a remote service."""

import enum
import random
import threading

import msgspec


class BreakerState(enum.Enum):
    """Whether a circuit breaker lets calls through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"  # One probe call is in flight.


class BreakerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a circuit breaker opens and for how long.

    Attributes:
        failures: Consecutive failures that open it.
        open_s: Delay before the first probe call. It doubles with each
            failed probe; half of it is jitter.
        max_open_s: Upper bound of the delay.
    """

    failures: int = 5
    open_s: float = 1.0
    max_open_s: float = 15.0


class CircuitBreaker:
    """Blocks calls to a failing service; thread-safe.

    Every admitted call must be recorded. Times are monotonic seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        limits: BreakerLimits | None = None,
    ) -> None:
        self._rng = rng
        self._limits = limits or BreakerLimits()
        self._lock = threading.Lock()
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._times_opened = 0
        self._probe_at = 0.0
        self._generation = 0

    @property
    def state(self) -> BreakerState:
        """The current state."""
        with self._lock:
            return self._state

    def is_blocked(self, now: float) -> bool:
        """Returns whether `admit` would refuse a call; changes no state."""
        with self._lock:
            return self._is_blocked(now)

    def admit(self, now: float) -> int | None:
        """Admits a call, or refuses it.

        Returns:
            The generation to pass to `record`, or None if the call must not
            be made.
        """
        with self._lock:
            if self._is_blocked(now):
                return None
            if self._state is BreakerState.CLOSED:
                return self._generation
            self._state = BreakerState.HALF_OPEN
            self._generation += 1
            return self._generation

    def record(self, generation: int, succeeded: bool, now: float) -> None:
        """Records the result of a call admitted in `generation`."""
        with self._lock:
            if generation != self._generation:
                return  # Sent before the last change of state: outdated.
            if succeeded:
                self._close()
            else:
                self._record_failure(now)

    def _is_blocked(self, now: float) -> bool:
        if self._state is BreakerState.OPEN:
            return now < self._probe_at
        return self._state is BreakerState.HALF_OPEN

    def _close(self) -> None:
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._times_opened = 0

    def _record_failure(self, now: float) -> None:
        self._failures += 1
        probing = self._state is BreakerState.HALF_OPEN
        if not probing and self._failures < self._limits.failures:
            return
        self._state = BreakerState.OPEN
        self._generation += 1
        delay_s = self._limits.open_s * 2**self._times_opened
        delay_s = min(delay_s, self._limits.max_open_s)
        self._times_opened = min(self._times_opened + 1, 16)
        self._probe_at = now + delay_s * self._rng.uniform(0.5, 1.0)


class Backoff:
    """Exponential backoff with full jitter."""

    def __init__(
        self, rng: random.Random, first_s: float = 0.05, max_s: float = 1.0
    ) -> None:
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s

    def choose_delay(self, retry: int) -> float:
        """Returns the delay in seconds before retry `retry`, counted from 0."""
        ceiling = min(self._max_s, self._first_s * 2.0**retry)
        return self._rng.uniform(0.0, ceiling)
