"""Counts what began to run, and gets the counts to whoever reports them."""

import asyncio
from collections.abc import Callable, Iterator
import logging
import math
import random
import time

from pollenfork import ids
from pollenfork.duties import cluster_clock
from pollenfork.duties import messages
from pollenfork.duties import usage
from pollenfork.gateway import settings
from pollenfork.loads import messages as loads

_LOG = logging.getLogger(__name__)

# A window is summed up once all have told it, or after this part of the time
# until its report is due.
_WAITED_PART = 0.5
# The least time after a window's end until it is summed up, in seconds: what
# began to run just before is counted by then.
_SETTLED_S = 0.3
# Who has taken over has been told by all others after this long, in seconds.
_TAKEN_S = 1.0


class Accounting:
    """One instance's counts, and those that others tell it.

    Attributes:
        start: Tells the starts of this instance apart.
        windows: The windows of time by which is counted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        told: settings.GatewaySettings,
        duties: settings.DutySettings,
        rng: random.Random,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Starts with nothing counted.

        Args:
            loop: Its clock is used.
            told: The settings.
            duties: Of them, those of the duties.
            rng: Draws what tells this start apart.
            read_wall: Returns the time of day in Unix seconds.
        """
        self._loop = loop
        self._host = told.front.host
        self._data_centre = told.data_centre
        self._due_s = duties.due_s
        self._read_wall = read_wall
        self.start = rng.getrandbits(32)
        kept = math.ceil(duties.due_s / duties.window_s) + 2
        self.windows = usage.Windows(duties.window_s, kept)
        self._tallies = usage.UsageCounter(self.windows)
        self._ledger = usage.UsageAggregator(self.windows)
        self._time = cluster_clock.ClusterClock(read_wall, loop.time())
        self._telling: dict[float, tuple[loads.WindowCounts, ...]] = {}

    def read_time(self) -> float:
        """Returns the true time in Unix seconds."""
        return self._time.read(self._loop.time())

    def read_late(self, window: int) -> float:
        """Returns how long ago a window ended, in seconds."""
        return self.read_time() - self.windows.end(window)

    def note_begun(self, account: ids.AccountId) -> None:
        """Counts a request that began to run."""
        self._tallies.record(account, self.read_time())

    def sweep(self, now: float) -> None:
        """Forgets what is old."""
        time_now = self._time.read(now)
        self._tallies.expire(time_now)
        self._ledger.expire(time_now, now)

    def lead(self, now: float) -> None:
        """Goes by all clocks and takes over the own counts.

        For the one that acts for all.
        """
        self._time.follow_median(now)
        self._ledger.receive(
            self._host,
            self.start,
            self._tallies.list_all(),
            self._time.read(now),
            now,
        )

    # What instances tell each other.

    def write_tally(self, holder: str, now: float) -> loads.Tally:
        """Returns what to tell the holder."""
        counted = self._tallies.list_unacknowledged(holder)
        self._telling = {now: counted}
        return loads.Tally(
            self._data_centre,
            self.start,
            counted,
            self._time.read(now),
            self._read_wall(),
            now,
        )

    def take_tally(self, tally: loads.Tally, host: str, now: float) -> None:
        """Takes what another instance has counted, and its clock."""
        self._ledger.receive(
            host, tally.start, tally.counted, tally.through, now
        )
        self._time.record_clock(host, tally.wall, now)

    def take_answer(
        self, word: loads.HolderNotice, host: str, now: float
    ) -> None:
        """Takes that a tally has arrived, and the holder's time."""
        counted = self._telling.pop(word.echo, None)
        if counted is None:
            return
        self._tallies.record_acknowledged(counted, host, word.start)
        if word.time:
            self._time.follow_holder(word.time, word.echo, now)

    # Sums.

    def sum_up(
        self, first: int, held_since: float, now: float
    ) -> Iterator[messages.UsageReport]:
        """Yields the reports of windows that can be summed up now.

        Args:
            first: The first window that has none yet.
            held_since: Since when this instance acts for all.
            now: Monotonic seconds.
        """
        window = first
        while self._is_whole(window, held_since, now):
            missing = self._ledger.list_missing_hosts(window, now)
            counts = self._ledger.total(window)
            _LOG.info(
                "event=window_summed window=%d accounts=%d requests=%d "
                "late_ms=%d missing=%s",
                window,
                len(counts),
                sum(counts.values()),
                self.read_late(window) * 1000,
                ",".join(missing) or "-",
            )
            yield messages.UsageReport(window, counts)
            window += 1

    def _is_whole(self, window: int, held_since: float, now: float) -> bool:
        """Returns whether nothing more of a window is to be waited for."""
        late_s = self.read_late(window)
        if late_s < _SETTLED_S:
            return False
        if now - held_since < _TAKEN_S and late_s < self._due_s - _TAKEN_S:
            return False
        if late_s >= self._due_s * _WAITED_PART:
            return True
        return not self._ledger.list_missing_hosts(window, now)
