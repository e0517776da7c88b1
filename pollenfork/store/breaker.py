"""When calls to a service are worth trying: a circuit breaker, a backoff."""

import enum
import random
import threading

import msgspec


class BreakerState(enum.Enum):
    """Whether calls go through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"  # One probe is under way.


class BreakerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a breaker opens and for how long.

    Attributes:
        failures: Failures in a row that open it.
        open_s: The first pause before a probe; doubles with each failed
            probe, and half of it is jitter.
        max_open_s: The longest pause.
    """

    failures: int = 5
    open_s: float = 1.0
    max_open_s: float = 15.0


class Breaker:
    """Stops calls to a service that fails; shared by threads.

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
        self._openings = 0
        self._probe_at = 0.0
        self._era = 0

    @property
    def state(self) -> BreakerState:
        """Whether calls go through."""
        with self._lock:
            return self._state

    def is_blocked(self, now: float) -> bool:
        """Returns whether `admit` would refuse; changes nothing."""
        with self._lock:
            return self._blocks(now)

    def admit(self, now: float) -> int | None:
        """Returns the number to record the call under, or None: don't call."""
        with self._lock:
            if self._blocks(now):
                return None
            if self._state is BreakerState.CLOSED:
                return self._era
            self._state = BreakerState.HALF_OPEN
            self._era += 1
            return self._era

    def record(self, era: int, succeeded: bool, now: float) -> None:
        """Takes the end of the call that `admit` numbered `era`."""
        with self._lock:
            if era != self._era:
                return  # Sent before the breaker last changed.
            if succeeded:
                self._close()
            else:
                self._count_failure(now)

    def _blocks(self, now: float) -> bool:
        if self._state is BreakerState.OPEN:
            return now < self._probe_at
        return self._state is BreakerState.HALF_OPEN

    def _close(self) -> None:
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._openings = 0

    def _count_failure(self, now: float) -> None:
        self._failures += 1
        probing = self._state is BreakerState.HALF_OPEN
        if not probing and self._failures < self._limits.failures:
            return
        self._state = BreakerState.OPEN
        self._era += 1
        pause_s = self._limits.open_s * 2**self._openings
        pause_s = min(pause_s, self._limits.max_open_s)
        self._openings = min(self._openings + 1, 16)
        self._probe_at = now + pause_s * self._rng.uniform(0.5, 1.0)


class Backoff:
    """Exponential pauses with full jitter between retries."""

    def __init__(
        self, rng: random.Random, first_s: float = 0.05, max_s: float = 1.0
    ) -> None:
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s

    def choose_delay(self, retry: int) -> float:
        """Returns the seconds before retry number `retry`, from 0."""
        ceiling = min(self._max_s, self._first_s * 2.0**retry)
        return self._rng.uniform(0.0, ceiling)
