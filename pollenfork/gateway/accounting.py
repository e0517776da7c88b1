"""Counts requests that started to run, and adds them up for usage reports."""

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

# A window is summed up once all instances have sent their counts, or after this
# fraction of the time until its report is due.
_WAIT_FRACTION = 0.5
# The minimum number of seconds after a window's end until it is summed up:
# requests that started just before the end are counted by then.
_SETTLE_S = 0.3
# After this many seconds a new holder has received the counts of all others.
_TAKEOVER_S = 1.0


class Accounting:
    """One instance's counts, and those that it receives from others.

    Attributes:
        start: A random number that identifies this process's start.
        windows: The time windows by which requests are counted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: settings.GatewaySettings,
        duties: settings.DutySettings,
        rng: random.Random,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Starts with nothing counted.

        Args:
            loop: Provides the clock.
            config: The settings.
            duties: The settings of the duties.
            rng: Draws the number that identifies this start.
            read_wall: Returns the wall-clock time in Unix seconds.
        """
        self._loop = loop
        self._host = config.front.host
        self._data_centre = config.data_centre
        self._due_s = duties.due_s
        self._read_wall = read_wall
        self.start = rng.getrandbits(32)
        kept = math.ceil(duties.due_s / duties.window_s) + 2
        self.windows = usage.Windows(duties.window_s, kept)
        self._usage = usage.UsageCounter(self.windows)
        self._aggregator = usage.UsageAggregator(self.windows)
        self._clock = cluster_clock.ClusterClock(read_wall, loop.time())
        self._unacknowledged: dict[float, tuple[loads.WindowCounts, ...]] = {}

    def read_time(self) -> float:
        """Returns the time that instances have agreed on, in Unix seconds."""
        return self._clock.read(self._loop.time())

    def measure_lateness(self, window: int) -> float:
        """Returns the seconds since the end of a window."""
        return self.read_time() - self.windows.end(window)

    def record_started(self, account: ids.AccountId) -> None:
        """Counts a request that started to run."""
        self._usage.record(account, self.read_time())

    def sweep(self, now: float) -> None:
        """Drops counts that are too old."""
        clock_now = self._clock.read(now)
        self._usage.expire(clock_now)
        self._aggregator.expire(clock_now, now)

    def record_own_counts(self, now: float) -> None:
        """Agrees on the time and records this instance's own counts.

        Called on the duty holder only.
        """
        self._clock.follow_median(now)
        self._aggregator.receive(
            self._host,
            self.start,
            self._usage.list_all(),
            self._clock.read(now),
            now,
        )

    # Messages between instances.

    def make_tally(self, holder: str, now: float) -> loads.Tally:
        """Returns the tally to send to the holder."""
        counted = self._usage.list_unacknowledged(holder)
        self._unacknowledged = {now: counted}
        return loads.Tally(
            self._data_centre,
            self.start,
            counted,
            self._clock.read(now),
            self._read_wall(),
            now,
        )

    def receive_tally(self, tally: loads.Tally, host: str, now: float) -> None:
        """Records another instance's counts and its clock."""
        self._aggregator.receive(
            host, tally.start, tally.counted, tally.through, now
        )
        self._clock.record_clock(host, tally.wall, now)

    def receive_acknowledgement(
        self, notice: loads.HolderNotice, host: str, now: float
    ) -> None:
        """Records that a tally has arrived, and the holder's time."""
        counted = self._unacknowledged.pop(notice.echo, None)
        if counted is None:
            return
        self._usage.record_acknowledged(counted, host, notice.start)
        if notice.time:
            self._clock.follow_holder(notice.time, notice.echo, now)

    # Sums.

    def sum_up(
        self, first: int, held_since: float, now: float
    ) -> Iterator[messages.UsageReport]:
        """Yields the reports of windows that can be summed up now.

        Args:
            first: The first window without a report.
            held_since: When this instance became the holder.
            now: Monotonic seconds.
        """
        window = first
        while self._is_complete(window, held_since, now):
            missing = self._aggregator.list_missing_hosts(window, now)
            counts = self._aggregator.total(window)
            _LOG.info(
                "event=window_summed window=%d accounts=%d requests=%d "
                "late_ms=%d missing=%s",
                window,
                len(counts),
                sum(counts.values()),
                self.measure_lateness(window) * 1000,
                ",".join(missing) or "-",
            )
            yield messages.UsageReport(window, counts)
            window += 1

    def _is_complete(self, window: int, held_since: float, now: float) -> bool:
        """Returns whether no more counts of a window are waited for."""
        late_s = self.measure_lateness(window)
        if late_s < _SETTLE_S:
            return False
        if (
            now - held_since < _TAKEOVER_S
            and late_s < self._due_s - _TAKEOVER_S
        ):
            return False
        if late_s >= self._due_s * _WAIT_FRACTION:
            return True
        return not self._aggregator.list_missing_hosts(window, now)
