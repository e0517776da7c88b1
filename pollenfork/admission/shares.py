"""The minimum share that keeps every class moving."""

from collections.abc import Iterable
from typing import NamedTuple

from pollenfork import ids
from pollenfork.admission import messages

_MOST_REQUESTS = 2
_LEAST_HOLD_S = 0.05


class WaitingClass(NamedTuple):
    """Where a class waits."""

    pool: messages.PoolKey
    key: messages.ClassKey
    tier: ids.Tier


class MinimumShares:
    """Slot-seconds that waiting classes are owed.

    A waiting class earns its minimum share of the slots as time passes; a
    class that is owed a whole request's holding time is served next, ahead of
    higher tiers, and pays for it. So a class with share `s` of `c` slots,
    waiting at `n` instances, has a request served at each of them at least
    every `hold * n / (s * c)` seconds, once a slot is free.
    """

    def __init__(self) -> None:
        self._owed: dict[WaitingClass, float] = {}
        self._holds: dict[WaitingClass, float] = {}

    def accrue(
        self, place: WaitingClass, slot_seconds: float, hold_s: float
    ) -> None:
        """Adds what a waiting class earned, up to a few requests' worth.

        Args:
            place: The class.
            slot_seconds: Its share of the slots times the time passed.
            hold_s: How long its requests hold a slot.
        """
        hold_s = max(hold_s, _LEAST_HOLD_S)
        owed = self._owed.get(place, 0.0) + slot_seconds
        self._owed[place] = min(owed, _MOST_REQUESTS * hold_s)
        self._holds[place] = hold_s

    def list_due(self) -> list[WaitingClass]:
        """Returns the classes that are owed a request, the most owed first."""
        due = [
            place
            for place, owed in self._owed.items()
            if owed >= self._holds[place]
        ]
        due.sort(key=lambda p: self._owed[p] / self._holds[p], reverse=True)
        return due

    def charge(self, place: WaitingClass) -> None:
        """Charges a request that was served, by whichever rule."""
        owed = self._owed.get(place)
        if owed is not None:
            self._owed[place] = max(0.0, owed - self._holds[place])

    def retain(self, places: Iterable[WaitingClass]) -> None:
        """Forgets the classes that no longer wait."""
        kept = set(places)
        self._owed = {p: v for p, v in self._owed.items() if p in kept}
        self._holds = {p: v for p, v in self._holds.items() if p in kept}
