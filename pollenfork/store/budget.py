"""An instance's share of the calls that the platform handles.

The table and the object store together take several hundred writes and
about two thousand reads a second from all instances. Each instance keeps to
its share by token buckets; no instance asks another.
"""

import enum
import threading

import msgspec


class CallKind(enum.Enum):
    """What a call costs the platform."""

    READ = "read"
    WRITE = "write"


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Calls a second."""

    reads: float
    writes: float


# The low reading of "several hundred writes and about 2,000 reads".
PLATFORM_RATES = Rates(reads=2000.0, writes=300.0)
# What requests with a key may use of it. Their number is the callers' choice;
# settings and leases must not wait behind them.
KEYED_PARTS = Rates(reads=0.2, writes=0.7)
HEADROOM = 0.1  # Left for the instances that the count doesn't show yet.
DESIGN_INSTANCES = 360
BURST_S = 2.0
MIN_BURST = 4.0  # A keyed request writes three times.


def compute_share(instances: int, total: Rates = PLATFORM_RATES) -> Rates:
    """Returns the rates of one of `instances` alike instances."""
    part = (1.0 - HEADROOM) / max(1, instances)
    return Rates(reads=total.reads * part, writes=total.writes * part)


class Bucket:
    """A token bucket; full at the start. Times are monotonic seconds."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = self._burst
        self._filled_at = now

    def take(self, now: float) -> float:
        """Takes a token and returns 0, or the seconds until there is one."""
        self._fill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._rate

    def resize(self, rate: float, now: float) -> None:
        """Goes on at another rate, with the tokens at hand."""
        self._fill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._burst)

    @property
    def _burst(self) -> float:
        return max(MIN_BURST, self._rate * BURST_S)

    def _fill(self, now: float) -> None:
        gained = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = max(now, self._filled_at)


class Budget:
    """The read and write buckets of one instance; shared by threads.

    It starts with the share of the design size and grows when the instance
    knows that there are fewer instances.
    """

    def __init__(self, now: float, total: Rates = PLATFORM_RATES) -> None:
        self._total = total
        self._lock = threading.Lock()
        self._share = compute_share(DESIGN_INSTANCES, total)
        self._buckets = {
            CallKind.READ: Bucket(self._share.reads, now),
            CallKind.WRITE: Bucket(self._share.writes, now),
        }

    def set_instances(self, instances: int, now: float) -> None:
        """Recomputes the share for `instances`, counted over all sites.

        Args:
            instances: Entry instances in the platform's list; 0 where the
                list isn't known, which falls back to the design size.
            now: Monotonic seconds.
        """
        share = compute_share(instances or DESIGN_INSTANCES, self._total)
        with self._lock:
            self._share = share
            self._buckets[CallKind.READ].resize(share.reads, now)
            self._buckets[CallKind.WRITE].resize(share.writes, now)

    @property
    def share(self) -> Rates:
        """This instance's calls a second."""
        return self._share

    def take(self, kind: CallKind, now: float) -> float:
        """Takes one call and returns 0, or the seconds until there is one."""
        with self._lock:
            return self._buckets[kind].take(now)


class Budgets:
    """An instance's budget, in two parts that can't use up each other.

    Attributes:
        control: For settings, leases and lists.
        keyed: For the records of requests with a key.
    """

    def __init__(self, now: float) -> None:
        total, part = PLATFORM_RATES, KEYED_PARTS
        keyed = Rates(
            reads=total.reads * part.reads, writes=total.writes * part.writes
        )
        control = Rates(
            reads=total.reads - keyed.reads, writes=total.writes - keyed.writes
        )
        self.control = Budget(now, control)
        self.keyed = Budget(now, keyed)

    def set_instances(self, instances: int, now: float) -> None:
        """Recomputes both parts; see `Budget.set_instances`."""
        self.control.set_instances(instances, now)
        self.keyed.set_instances(instances, now)
