"""What began to run, by account and window, here and at all instances.

Counts of one start of an instance only grow, so each telling replaces the one
before, whatever is lost or comes late. A window is of true time.
"""

from collections.abc import Iterable

import msgspec

from pollenfork import ids
from pollenfork.loads import messages as loads

Counts = dict[ids.AccountId, int]


class Windows(msgspec.Struct, frozen=True):
    """The windows of time by which is counted.

    Attributes:
        length_s: How long one is, in seconds.
        kept: For how many of them counts are kept.
    """

    length_s: float
    kept: int

    def find(self, time: float) -> int:
        """Returns the number of the window of a moment in Unix seconds."""
        return int(time // self.length_s)

    def end(self, window: int) -> float:
        """Returns when a window ends, in Unix seconds."""
        return (window + 1) * self.length_s


class Tallies:
    """This instance's own counts, and what of them was told."""

    def __init__(self, windows: Windows) -> None:
        self._windows = windows
        self._counts: dict[int, Counts] = {}
        self._told: dict[int, int] = {}
        self._told_to = ("", 0)

    def note(self, account: ids.AccountId, time: float) -> None:
        """Counts a request that began to run.

        Args:
            account: Whose.
            time: Unix seconds.
        """
        counts = self._counts.setdefault(self._windows.find(time), {})
        counts[account] = counts.get(account, 0) + 1

    def list_all(self) -> tuple[loads.WindowCounts, ...]:
        """Returns all counts."""
        return tuple(
            loads.WindowCounts(window, dict(counts))
            for window, counts in sorted(self._counts.items())
        )

    def list_untold(self, holder: str) -> tuple[loads.WindowCounts, ...]:
        """Returns the windows of which a holder doesn't have all counts."""
        if holder != self._told_to[0]:
            self._told_to = holder, 0
            self._told.clear()
        return tuple(
            each
            for each in self.list_all()
            if self._told.get(each.window) != sum(each.counts.values())
        )

    def note_told(
        self, windows: Iterable[loads.WindowCounts], holder: str, start: int
    ) -> None:
        """Takes that a holder has these counts.

        Args:
            windows: The counts.
            holder: Its host.
            start: Tells its starts apart: a new one knows nothing.
        """
        if holder != self._told_to[0]:
            return
        if start != self._told_to[1]:
            self._told_to = holder, start
            self._told.clear()
        for each in windows:
            self._told[each.window] = sum(each.counts.values())

    def forget(self, time: float) -> None:
        """Forgets windows that are too old to be reported."""
        oldest = self._windows.find(time) - self._windows.kept
        for window in [each for each in self._counts if each < oldest]:
            del self._counts[window]
            self._told.pop(window, None)


class _Teller(msgspec.Struct):
    """One start of an instance.

    Attributes:
        counts: By window.
        through: Unix seconds up to which it has told all.
        heard_at: Monotonic seconds of its last telling.
    """

    counts: dict[int, Counts] = msgspec.field(default_factory=dict)
    through: float = 0.0
    heard_at: float = 0.0


class Ledger:
    """The counts of all instances, at any that may have to report them."""

    def __init__(self, windows: Windows) -> None:
        self._windows = windows
        self._tellers: dict[tuple[str, int], _Teller] = {}

    def take(
        self,
        host: str,
        start: int,
        told: Iterable[loads.WindowCounts],
        through: float,
        now: float,
    ) -> None:
        """Takes what an instance has counted.

        Args:
            host: The instance's.
            start: Tells its starts apart.
            told: Its counts, by window.
            through: Unix seconds up to which it tells them.
            now: Monotonic seconds.
        """
        teller = self._tellers.setdefault((host, start), _Teller())
        teller.heard_at = now
        teller.through = max(teller.through, through)
        for each in told:
            known = teller.counts.setdefault(each.window, {})
            for account, count in each.counts.items():
                known[account] = max(count, known.get(account, 0))

    def add_up(self, window: int) -> Counts:
        """Returns a window's counts of all instances."""
        total: Counts = {}
        for teller in self._tellers.values():
            for account, count in teller.counts.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total

    def list_missing(self, window: int, now: float) -> list[str]:
        """Returns hosts that counted of late and may have more to tell.

        Args:
            window: The window.
            now: Monotonic seconds.
        """
        end = self._windows.end(window)
        recent_s = self._windows.length_s * self._windows.kept
        return sorted(
            host
            for (host, _), teller in self._tellers.items()
            if teller.through < end and now - teller.heard_at < recent_s
        )

    def forget(self, time: float, now: float) -> None:
        """Forgets old windows, and starts that have none and are silent."""
        oldest = self._windows.find(time) - self._windows.kept
        silent_s = self._windows.length_s * self._windows.kept
        for key, teller in list(self._tellers.items()):
            for window in [each for each in teller.counts if each < oldest]:
                del teller.counts[window]
            if now - teller.heard_at > silent_s:
                del self._tellers[key]
