"""Counts the requests that start, by account and window.

The counts of one start of an instance only grow, so that each message replaces
the one before even if messages are lost or reordered. Windows are intervals of
the time of day that the instances agree on.
"""

from collections.abc import Iterable

import msgspec

from pollenfork import ids
from pollenfork.loads import messages as loads

Counts = dict[ids.AccountId, int]


class Windows(msgspec.Struct, frozen=True):
    """The intervals by which requests are counted.

    Attributes:
        length_s: The length of a window in seconds.
        kept: For how many windows counts are kept.
    """

    length_s: float
    kept: int

    def find(self, time: float) -> int:
        """Returns the number of the window that contains a Unix time."""
        return int(time // self.length_s)

    def end(self, window: int) -> float:
        """Returns when a window ends, in Unix seconds."""
        return (window + 1) * self.length_s


class UsageCounter:
    """This instance's counts, and which of them the holder has acknowledged."""

    def __init__(self, windows: Windows) -> None:
        self._windows = windows
        self._counts: dict[int, Counts] = {}
        self._acknowledged: dict[int, int] = {}
        self._acknowledged_by = ("", 0)

    def record(self, account: ids.AccountId, time: float) -> None:
        """Counts a request that started.

        Args:
            account: The account of the request.
            time: Unix seconds.
        """
        counts = self._counts.setdefault(self._windows.find(time), {})
        counts[account] = counts.get(account, 0) + 1

    def list_all(self) -> tuple[loads.WindowCounts, ...]:
        """Returns the counts of all windows."""
        return tuple(
            loads.WindowCounts(window, dict(counts))
            for window, counts in sorted(self._counts.items())
        )

    def list_unacknowledged(
        self, holder: str
    ) -> tuple[loads.WindowCounts, ...]:
        """Returns the windows whose counts a holder doesn't have in full."""
        if holder != self._acknowledged_by[0]:
            self._acknowledged_by = holder, 0
            self._acknowledged.clear()
        return tuple(
            each
            for each in self.list_all()
            if self._acknowledged.get(each.window) != sum(each.counts.values())
        )

    def record_acknowledged(
        self, windows: Iterable[loads.WindowCounts], holder: str, start: int
    ) -> None:
        """Records that a holder has received counts.

        Args:
            windows: The counts.
            holder: The holder's host.
            start: Identifies the start of the holder: after a restart, it has
                no counts.
        """
        if holder != self._acknowledged_by[0]:
            return
        if start != self._acknowledged_by[1]:
            self._acknowledged_by = holder, start
            self._acknowledged.clear()
        for each in windows:
            self._acknowledged[each.window] = sum(each.counts.values())

    def expire(self, time: float) -> None:
        """Forgets windows that are too old to be reported."""
        oldest = self._windows.find(time) - self._windows.kept
        for window in [each for each in self._counts if each < oldest]:
            del self._counts[window]
            self._acknowledged.pop(window, None)


class _Source(msgspec.Struct):
    """The counts received from one start of an instance.

    Attributes:
        counts: The counts by window.
        through: Unix seconds up to which they are complete.
        received_at: When its last message arrived, in monotonic seconds.
    """

    counts: dict[int, Counts] = msgspec.field(default_factory=dict)
    through: float = 0.0
    received_at: float = 0.0


class UsageAggregator:
    """The counts of all instances, as received by a holder."""

    def __init__(self, windows: Windows) -> None:
        self._windows = windows
        self._sources: dict[tuple[str, int], _Source] = {}

    def receive(
        self,
        host: str,
        start: int,
        received: Iterable[loads.WindowCounts],
        through: float,
        now: float,
    ) -> None:
        """Adds the counts of an instance.

        Args:
            host: The host of the instance.
            start: Identifies the start of the instance.
            received: Its counts, by window.
            through: Unix seconds up to which they are complete.
            now: Monotonic seconds.
        """
        source = self._sources.setdefault((host, start), _Source())
        source.received_at = now
        source.through = max(source.through, through)
        for each in received:
            known = source.counts.setdefault(each.window, {})
            for account, count in each.counts.items():
                known[account] = max(count, known.get(account, 0))

    def total(self, window: int) -> Counts:
        """Returns the sum of all instances' counts for a window."""
        total: Counts = {}
        for source in self._sources.values():
            for account, count in source.counts.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total

    def list_missing_hosts(self, window: int, now: float) -> list[str]:
        """Returns active hosts whose counts for a window may be incomplete.

        Args:
            window: The number of the window.
            now: Monotonic seconds.
        """
        end = self._windows.end(window)
        recent_s = self._windows.length_s * self._windows.kept
        return sorted(
            host
            for (host, _), source in self._sources.items()
            if source.through < end and now - source.received_at < recent_s
        )

    def expire(self, time: float, now: float) -> None:
        """Forgets old windows, and instances that no longer send counts."""
        oldest = self._windows.find(time) - self._windows.kept
        silent_s = self._windows.length_s * self._windows.kept
        for key, source in list(self._sources.items()):
            for window in [each for each in source.counts if each < oldest]:
                del source.counts[window]
            if now - source.received_at > silent_s:
                del self._sources[key]
