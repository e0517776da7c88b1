"""Minimum shares earned as time passes, from what both slices know."""

from collections.abc import Iterator

from pollenfork.admission import core as admission_core
from pollenfork.admission import forecast
from pollenfork.admission import shares
from pollenfork.dispatch import core as dispatch_core

_PERIOD_S = 0.1


class Accrual:
    """Credits waiting classes with their part of the slots."""

    def __init__(
        self,
        admission: admission_core.Admission,
        dispatch: dispatch_core.Dispatch,
        learned: forecast.Forecast,
        owed: shares.MinimumShares,
    ) -> None:
        self._admission = admission
        self._dispatch = dispatch
        self._forecast = learned
        self._shares = owed
        self._accrued_at: float | None = None

    def accrue(self, now: float) -> None:
        """Credits the time since the last call."""
        if self._accrued_at is None:
            self._accrued_at = now
        elapsed = now - self._accrued_at
        if elapsed < _PERIOD_S:
            return
        self._accrued_at = now
        present = list(self._list_places())
        for place in present:
            slots = self._count_slots(place, now)
            hold = self._forecast.predict_hold(
                place.key, place.pool, place.tier
            )
            self._shares.accrue(place, slots * elapsed, hold)
        self._shares.retain(present)

    def _list_places(self) -> Iterator[shares.WaitingClass]:
        for pool, tier in self._admission.list_queues():
            for key in self._admission.list_classes(pool, tier):
                yield shares.WaitingClass(pool, key, tier)

    def _count_slots(self, place: shares.WaitingClass, now: float) -> float:
        """Returns the class's slots at this instance, a fraction mostly."""
        claims = self._dispatch.get_slot_usage(place.pool)
        if claims is None:
            return 0.0
        pool, key, tier = place
        share = self._admission.get_minimum_share(pool, tier, key, now)
        return share * claims.capacity / claims.instances
