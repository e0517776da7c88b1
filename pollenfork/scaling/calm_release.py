"""Estimates how many runners a service needs, also below its baseline.

Adding runners takes seconds and a released runner loses its cache, so the
total rises at once and falls in small steps.
"""

import collections
import logging
import math

import msgspec

from pollenfork import ids
from pollenfork.scaling import demand
from pollenfork.scaling import model

_LOG = logging.getLogger(__name__)

# The fraction of what a runner can bear to which it is used at the need. A
# burst of 2.4 times the load then still fits until new runners are ready.
_NEED_UTILIZATION = 0.35
# The baseline is ordered at this mean backlog, in seconds, or at this fraction
# of the slots in use.
_BUSY_BACKLOG_S = 0.2
_BUSY_UTILIZATION = 0.45
# Runners are released only below this mean backlog, in seconds.
_CALM_BACKLOG_S = 0.1
# The fraction of the baseline that is never released.
_MIN_SHARE = 0.5
# At most this fraction of the baseline is released, at this interval in
# seconds, so that its effect on the load shows before the next release.
_RELEASE_SHARE = 1.0 / 12.0
_RELEASE_INTERVAL_S = 3.0
# More than the need of the recent past is kept by this factor, because the
# mean of 10 s varies by about 6% with 200 requests in progress.
_RELEASE_MARGIN = 1.1
# A release must leave so many runners that the recent peak would have stayed
# below this fraction of what orders the baseline.
_PEAK_SHARE = 0.9
# Seconds over which the need is averaged.
_MEAN_S = 10.0
# Seconds for which the total doesn't fall after it rose. It doubles each time
# that the total rises within this time of a release, up to the maximum.
_HOLD_S = 20.0
_MAX_HOLD_S = 160.0


class _Sample(msgspec.Struct, frozen=True):
    """The load at one time.

    Attributes:
        time: Monotonic seconds.
        slots_used: The number of runners whose slots would all be in use.
        prefilling: The number of runners that process prompts.
        backlog_s: The mean prompt backlog, in seconds.
        peak_total: The runners with which this load would still be calm.
    """

    time: float
    slots_used: float
    prefilling: float
    backlog_s: float
    peak_total: float


class CalmReleaseEstimator:
    """Follows the need while calm, and orders the baseline at once if busy.

    The need is the number of runners at which each is used to a fixed
    fraction, by the slots in use or by the time that it spends on prompts,
    whichever is greater. After the loss of the data centre with the most
    reclaimable runners, the need must still be met.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        baseline: int,
        present: int,
        now: float,
    ) -> None:
        """Starts from the present number of runners.

        A new duty holder doesn't know when they were last needed, so it holds
        them for the full hold time.

        Args:
            service: The service, for the log.
            baseline: The number of runners that the operator started.
            present: The number of runners now.
            now: Monotonic seconds.
        """
        self.baseline = baseline
        self._service = service
        self._least = math.ceil(baseline * _MIN_SHARE)
        self._step = max(1, math.floor(baseline * _RELEASE_SHARE))
        self._busy = demand.DemandEstimator(baseline, present, now)
        most = self._busy.estimate_total(model.Load(), now)
        self._total = min(max(self._least, present), most)
        self._hold_s = _HOLD_S
        self._hold_until = now + _HOLD_S
        self._started_at = now
        self._released_at: float | None = None
        self._next_release_at = now
        self._samples: collections.deque[_Sample] = collections.deque()
        self._needs: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def estimate_total(self, load: model.Load, now: float) -> int:
        """Returns the number of runners to have.

        Args:
            load: The runners' load.
            now: Monotonic seconds.
        """
        before = self._total
        added = self._busy.estimate_total(self._scale_to_baseline(load), now)
        busy = _is_busy(load)
        need = self._estimate_need(load, now)
        wanted = added if busy or added > self.baseline else need
        if wanted > self._total:
            self._raise(wanted, now)
        elif busy or not load.runners:
            # Without runners there is no load to measure, which isn't calm.
            self._hold_until = max(self._hold_until, now + self._hold_s)
        elif self._may_release(load, now):
            self._release(max(wanted, self._find_least()), now)
        if self._total != before:
            _LOG.info(
                "event=need_estimated service=%s need=%d total=%d baseline=%d "
                "utilization=%.2f backlog_ms=%d",
                self._service,
                need,
                self._total,
                self.baseline,
                max(load.slot_utilization, load.prefill_utilization),
                load.backlog_s * 1000,
            )
        return self._total

    def _scale_to_baseline(self, load: model.Load) -> model.Load:
        """Returns what the load would be if the baseline were present.

        Otherwise, the load on a fraction of the baseline would order more than
        the baseline before the runners ordered first are ready.
        """
        if load.runners >= self.baseline:
            return load
        share = load.runners / self.baseline
        return msgspec.structs.replace(
            load,
            backlog_s=load.backlog_s * share,
            slot_utilization=load.slot_utilization * share,
        )

    def _estimate_need(self, load: model.Load, now: float) -> int:
        """Returns the need, so that a data centre may be lost; 0 if unknown.

        It is at most the baseline: only a busy service gets more.
        """
        if load.runners:
            self._samples.append(_make_sample(load, now))
        while self._samples and self._samples[0].time <= now - _HOLD_S:
            self._samples.popleft()
        while self._needs and self._needs[0][0] <= now - _HOLD_S:
            self._needs.popleft()
        # A mean of few samples varies too much; nothing is released meanwhile.
        if now - self._started_at < _MEAN_S or not load.runners:
            return 0
        recent = [each for each in self._samples if each.time > now - _MEAN_S]
        used = max(
            sum(each.slots_used for each in recent),
            sum(each.prefilling for each in recent),
        ) / len(recent)
        left_share = 1.0 - load.exposed / load.runners
        need = float(self.baseline)
        if left_share > 0.0:
            need = min(need, used / _NEED_UTILIZATION / left_share)
        self._needs.append((now, need))
        return math.ceil(need)

    def _raise(self, total: int, now: float) -> None:
        if self._released_at is not None:
            returned = now - self._released_at < _HOLD_S
            self._hold_s = (
                min(2.0 * self._hold_s, _MAX_HOLD_S) if returned else _HOLD_S
            )
            self._released_at = None
        self._total = total
        self._hold_until = max(self._hold_until, now + self._hold_s)

    def _may_release(self, load: model.Load, now: float) -> bool:
        if now < self._hold_until or now < self._next_release_at:
            return False
        recent = [
            each.backlog_s
            for each in self._samples
            if each.time > now - _MEAN_S
        ]
        mean_s = sum(recent) / len(recent)
        return max(load.backlog_s, mean_s) < _CALM_BACKLOG_S

    def _find_least(self) -> int:
        """Returns how many runners the recent past asks to keep."""
        need = max((need for _, need in self._needs), default=self.baseline)
        peak = max(each.peak_total for each in self._samples)
        least = math.ceil(max(need * _RELEASE_MARGIN, peak))
        return max(self._least, min(least, self.baseline))

    def _release(self, least: int, now: float) -> None:
        total = max(least, self._total - self._step)
        if total < self._total:
            self._total = total
            self._released_at = now
            self._next_release_at = now + _RELEASE_INTERVAL_S


def _is_busy(load: model.Load) -> bool:
    return (
        load.backlog_s > _BUSY_BACKLOG_S
        or load.slot_utilization > _BUSY_UTILIZATION
    )


def _make_sample(load: model.Load, now: float) -> _Sample:
    pressure = max(
        load.backlog_s / _BUSY_BACKLOG_S,
        load.slot_utilization / _BUSY_UTILIZATION,
    )
    return _Sample(
        now,
        load.slot_utilization * load.runners,
        load.prefill_utilization * load.runners,
        load.backlog_s,
        pressure * load.runners / _PEAK_SHARE,
    )
