"""Estimates how fast each runner is from the intervals between its events."""

import collections
from collections.abc import Callable, Iterable
import enum
import logging
import math
import statistics

import msgspec

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.pace import model
from pollenfork.pace import outbox

_LOG = logging.getLogger(__name__)

# The latest samples of a runner that count.
_MAX_SAMPLES = 9
# With fewer samples, one wrong one would decide the value.
_MIN_SAMPLES = 3
# Older samples don't count, in seconds.
_MAX_AGE_S = 30.0
_MAX_VALUE = 3.0
# Intervals outside these bounds are no measurements, in milliseconds.
_MIN_INTERVAL_MS = 0.05
_MAX_INTERVAL_MS = 60_000.0
# A sample may differ from the usual one of its service by this factor, ten
# times as much as the value may.
_MAX_FACTOR = 30.0
# The factor is only applied if the usual one is of at least so many runners;
# below, one wrong runner could make the right samples of others be rejected.
_MIN_RUNNERS = 3
# How often the usual intervals are computed, in seconds. With 600 runners
# one computation takes about 1 ms.
_REFRESH_S = 0.25
# A runner that became slow counts as slow until its pace is above this one. The
# value of a runner at the limit varies by about 0.06.
_NO_LONGER_SLOW = 0.85
# Samples after which the stated error holds; with fewer, a runner doesn't
# become slow.
_MIN_SLOW_SAMPLES = 5
# The standard error of a median relative to the median absolute deviation, for
# normally distributed samples: 1.2533 times 1.4826.
_ERROR_FACTOR = 1.858

_UNKNOWN = model.Pace()


class KnownRunner(msgspec.Struct, frozen=True):
    """What the table needs to know of a runner.

    Attributes:
        id: The runner's id.
        service: The service that it offers.
    """

    id: ids.EndpointId
    service: ids.ServiceName


class Rejection(enum.Enum):
    """Why a sample isn't used."""

    INVALID = "invalid"  # Not finite, not above 0, or beyond any measurement.
    IMPLAUSIBLE = "implausible"  # Too far from the other runners' samples.
    UNKNOWN = "unknown_runner"  # Of a runner that isn't known here.


class _Record:
    """The samples of one runner.

    Attributes:
        service: The service that it offers.
        samples: Times of arrival and intervals in milliseconds.
        interval_ms: The median interval.
        spread: The relative standard error of the median.
    """

    __slots__ = ("interval_ms", "samples", "service", "spread")

    def __init__(self, service: ids.ServiceName) -> None:
        self.service = service
        self.samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        self.interval_ms = 0.0
        self.spread = 0.0

    def add(self, interval_ms: float, now: float) -> None:
        """Adds a sample, in place of the oldest if there are enough."""
        self.samples.append((now, interval_ms))
        self._update()

    def expire(self, oldest: float) -> None:
        """Drops the samples that arrived before a time."""
        count = len(self.samples)
        while self.samples and self.samples[0][0] < oldest:
            self.samples.popleft()
        if self.samples and len(self.samples) < count:
            self._update()

    def _update(self) -> None:
        intervals = [interval_ms for _, interval_ms in self.samples]
        middle = self.interval_ms = statistics.median(intervals)
        deviation = statistics.median(abs(each - middle) for each in intervals)
        error = _ERROR_FACTOR * deviation / math.sqrt(len(intervals))
        self.spread = error / middle


class PaceTable:
    """The paces of all runners, from the samples of all instances.

    Attributes:
        rejected: The number of samples that weren't used, by reason.
    """

    def __init__(
        self, find_runner: Callable[[int], KnownRunner | None]
    ) -> None:
        """Starts without samples.

        Args:
            find_runner: Returns a registered runner by the hash of its
                incarnation.
        """
        self._find_runner = find_runner
        self._records: dict[int, _Record] = {}
        self._paces: dict[int, model.Pace] = {}
        # The usual interval of each service, and of how many runners it is.
        self._usual: dict[ids.ServiceName, tuple[float, int]] = {}
        self._refreshed_at = -math.inf
        self._slow: set[int] = set()
        self._outbox = outbox.Outbox(self._count_samples)
        self.rejected = dict.fromkeys(Rejection, 0)

    def get_pace(self, runner: int) -> model.Pace:
        """Returns a runner's pace, by the hash of its incarnation."""
        return self._paces.get(runner, _UNKNOWN)

    @property
    def slow_runners(self) -> int:
        """The number of runners that count as slow."""
        return len(self._slow)

    def record_local(
        self,
        runner: int,
        service: ids.ServiceName,
        interval_ms: float,
        now: float,
    ) -> None:
        """Adds a sample of an answer that passed through this instance.

        Args:
            runner: The hash of the runner's incarnation.
            service: Its service.
            interval_ms: The typical interval between two events.
            now: Monotonic seconds.
        """
        if self._add(runner, service, interval_ms, now):
            self._outbox.add(messages.PaceSample(runner, interval_ms), now)

    def record_shared(
        self, samples: Iterable[messages.PaceSample], now: float
    ) -> None:
        """Adds samples of other instances.

        A sample of a runner that isn't known here is dropped: the runner's
        entry arrives before its first answers end, unless it has been removed.
        """
        for sample in samples:
            record = self._records.get(sample.runner)
            known = record or self._find_runner(sample.runner)
            if known is None:
                self.rejected[Rejection.UNKNOWN] += 1
                continue
            self._add(sample.runner, known.service, sample.interval_ms, now)

    def set_instances(self, count: int) -> None:
        """Sets among how many instances the rate of samples is divided."""
        self._outbox.set_instances(count)

    def take_samples(self, now: float) -> tuple[messages.PaceSample, ...]:
        """Returns the samples to send to other instances now."""
        return self._outbox.take(now)

    def refresh(self, now: float) -> None:
        """Drops old samples and updates all values, if it is time to."""
        if now - self._refreshed_at < _REFRESH_S:
            return
        self._refreshed_at = now
        intervals: dict[ids.ServiceName, list[float]] = {}
        for runner, record in list(self._records.items()):
            record.expire(now - _MAX_AGE_S)
            if not record.samples:
                self._remove(runner)
                self._update_slow(runner, _UNKNOWN)
            elif len(record.samples) >= _MIN_SAMPLES:
                found = intervals.setdefault(record.service, [])
                found.append(record.interval_ms)
        self._usual = {
            service: (_find_lower_quartile(found), len(found))
            for service, found in intervals.items()
        }
        for runner, record in self._records.items():
            self._update(runner, record)

    def retain(self, runners: set[int]) -> None:
        """Forgets all other runners, as they are gone."""
        for runner in self._records.keys() - runners:
            self.forget(runner)
        self._outbox.retain(runners)

    def forget(self, runner: int) -> None:
        """Forgets a runner that is gone or has restarted."""
        self._remove(runner)
        self._slow.discard(runner)

    def _add(
        self,
        runner: int,
        service: ids.ServiceName,
        interval_ms: float,
        now: float,
    ) -> bool:
        """Adds a sample; returns whether it is used."""
        rejection = self._check(service, interval_ms)
        if rejection is not None:
            self.rejected[rejection] += 1
            return False
        record = self._records.get(runner)
        if record is None:
            record = self._records[runner] = _Record(service)
        record.add(interval_ms, now)
        self._update(runner, record)
        self.refresh(now)
        return True

    def _check(
        self, service: ids.ServiceName, interval_ms: float
    ) -> Rejection | None:
        # The comparison is also false for a value that isn't a number.
        if not _MIN_INTERVAL_MS <= interval_ms <= _MAX_INTERVAL_MS:
            return Rejection.INVALID
        usual_ms, runners = self._usual.get(service, (0.0, 0))
        if runners < _MIN_RUNNERS:
            return None
        factor = interval_ms / usual_ms
        if 1 / _MAX_FACTOR <= factor <= _MAX_FACTOR:
            return None
        return Rejection.IMPLAUSIBLE

    def _update(self, runner: int, record: _Record) -> None:
        usual_ms, _ = self._usual.get(record.service, (0.0, 0))
        count = len(record.samples)
        if count < _MIN_SAMPLES or not usual_ms:
            pace = model.Pace(samples=count)
        else:
            value = usual_ms / record.interval_ms
            value = min(_MAX_VALUE, max(1 / _MAX_VALUE, value))
            pace = model.Pace(value, record.spread, count)
        self._paces[runner] = pace
        self._update_slow(runner, pace)

    def _update_slow(self, runner: int, pace: model.Pace) -> None:
        if runner in self._slow:
            if pace.value <= _NO_LONGER_SLOW:
                return
            self._slow.remove(runner)
        else:
            if pace.value >= model.SLOW or pace.samples < _MIN_SLOW_SAMPLES:
                return
            self._slow.add(runner)
        known = self._find_runner(runner)
        _LOG.info(
            "event=pace_changed runner=%s pace=%.2f samples=%d",
            f"{runner:08x}" if known is None else known.id,
            pace.value,
            pace.samples,
        )

    def _count_samples(self, runner: int) -> int:
        record = self._records.get(runner)
        return 0 if record is None else len(record.samples)

    def _remove(self, runner: int) -> None:
        self._records.pop(runner, None)
        self._paces.pop(runner, None)


def _find_lower_quartile(intervals_ms: list[float]) -> float:
    """Returns the interval of the runner faster than three quarters.

    Runners with queued prompts give no samples, so half of those with samples
    may be slow for a moment. A median would then change between the fast and
    the slow ones.
    """
    return sorted(intervals_ms)[(len(intervals_ms) - 1) // 4]
