"""Client-side rate limits for calls to the platform.

The table and the object store together accept several hundred writes and
about two thousand reads a second from all instances. Each instance limits
itself to its share with token buckets; instances don't coordinate.
"""

import enum
import threading

import msgspec


class CallKind(enum.Enum):
    """The kind of a call, as the platform limits it."""

    READ = "read"
    WRITE = "write"


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Calls per second."""

    reads: float
    writes: float


# The low reading of the limits that the platform states: "several hundred
# writes and about 2,000 reads".
PLATFORM_RATES = Rates(reads=2000.0, writes=300.0)
# Fractions for requests with an idempotency key. Clients determine how many
# of these there are; they must not delay settings and leases.
KEYED_SHARES = Rates(reads=0.2, writes=0.7)
HEADROOM = 0.1  # For new instances that the instance list lacks so far.
DESIGN_INSTANCES = 360
BURST_S = 2.0
MIN_BURST = 4.0  # A keyed request makes three writes.


def compute_share(instances: int, total: Rates = PLATFORM_RATES) -> Rates:
    """Returns the rates of one instance when `instances` share equally."""
    fraction = (1.0 - HEADROOM) / max(1, instances)
    return Rates(reads=total.reads * fraction, writes=total.writes * fraction)


class TokenBucket:
    """A token bucket, initially full. Times are monotonic seconds."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = self._burst
        self._refilled_at = now

    def take(self, now: float) -> float:
        """Takes a token and returns 0, or the seconds until one is free."""
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._rate

    def resize(self, rate: float, now: float) -> None:
        """Changes the rate; keeps the tokens, up to the new burst size."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._burst)

    @property
    def _burst(self) -> float:
        return max(MIN_BURST, self._rate * BURST_S)

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = max(now, self._refilled_at)


class Budget:
    """The read and write buckets of one instance; thread-safe.

    Starts with the share for `DESIGN_INSTANCES`; the share grows once the
    instance knows that fewer instances are running.
    """

    def __init__(self, now: float, total: Rates = PLATFORM_RATES) -> None:
        self._total = total
        self._lock = threading.Lock()
        self._share = compute_share(DESIGN_INSTANCES, total)
        self._buckets = {
            CallKind.READ: TokenBucket(self._share.reads, now),
            CallKind.WRITE: TokenBucket(self._share.writes, now),
        }

    def set_instances(self, instances: int, now: float) -> None:
        """Recomputes the share for `instances` in all data centres.

        Args:
            instances: Number of entry instances in the platform's list; 0 if
                the list is unknown, which falls back to `DESIGN_INSTANCES`.
            now: Monotonic seconds.
        """
        share = compute_share(instances or DESIGN_INSTANCES, self._total)
        with self._lock:
            self._share = share
            self._buckets[CallKind.READ].resize(share.reads, now)
            self._buckets[CallKind.WRITE].resize(share.writes, now)

    @property
    def share(self) -> Rates:
        """This instance's calls per second."""
        return self._share

    def take(self, kind: CallKind, now: float) -> float:
        """Takes a token and returns 0, or the seconds until one is free."""
        with self._lock:
            return self._buckets[kind].take(now)


class Budgets:
    """An instance's two independent budgets.

    Attributes:
        control: For settings, leases and lists.
        keyed: For the records of requests with an idempotency key.
    """

    def __init__(self, now: float) -> None:
        total, fraction = PLATFORM_RATES, KEYED_SHARES
        keyed = Rates(
            reads=total.reads * fraction.reads,
            writes=total.writes * fraction.writes,
        )
        control = Rates(
            reads=total.reads - keyed.reads, writes=total.writes - keyed.writes
        )
        self.control = Budget(now, control)
        self.keyed = Budget(now, keyed)

    def set_instances(self, instances: int, now: float) -> None:
        """Recomputes both shares; see `Budget.set_instances`."""
        self.control.set_instances(instances, now)
        self.keyed.set_instances(instances, now)
