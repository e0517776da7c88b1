"""Accrues minimum shares over time from admission and dispatch state."""

from collections.abc import Iterator

from pollenfork.admission import core as admission_core
from pollenfork.admission import forecast
from pollenfork.admission import shares
from pollenfork.dispatch import core as dispatch_core

_PERIOD_S = 0.1


class ShareAccrual:
    """Credits waiting classes with their minimum share of the slots."""

    def __init__(
        self,
        admission: admission_core.Admission,
        dispatch: dispatch_core.Dispatch,
        forecaster: forecast.Forecast,
        minimum_shares: shares.MinimumShares,
    ) -> None:
        self._admission = admission
        self._dispatch = dispatch
        self._forecast = forecaster
        self._shares = minimum_shares
        self._last_accrual_at: float | None = None

    def accrue(self, now: float) -> None:
        """Credits the slot time accrued since the last call."""
        if self._last_accrual_at is None:
            self._last_accrual_at = now
        elapsed = now - self._last_accrual_at
        if elapsed < _PERIOD_S:
            return
        self._last_accrual_at = now
        waiting_classes = list(self._list_waiting_classes())
        for waiting_class in waiting_classes:
            slots = self._count_slots(waiting_class, now)
            hold = self._forecast.predict_hold(
                waiting_class.key, waiting_class.pool, waiting_class.tier
            )
            self._shares.accrue(waiting_class, slots * elapsed, hold)
        self._shares.retain(waiting_classes)

    def _list_waiting_classes(self) -> Iterator[shares.WaitingClass]:
        for pool, tier in self._admission.list_queues():
            for key in self._admission.list_classes(pool, tier):
                yield shares.WaitingClass(pool, key, tier)

    def _count_slots(
        self, waiting_class: shares.WaitingClass, now: float
    ) -> float:
        """Returns the class's slots at this instance, usually a fraction."""
        usage = self._dispatch.get_slot_usage(waiting_class.pool)
        if usage is None:
            return 0.0
        pool, key, tier = waiting_class
        share = self._admission.get_minimum_share(pool, tier, key, now)
        return share * usage.capacity / usage.instances
