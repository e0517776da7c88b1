"""Minimum shares, which keep classes from starving."""

from collections.abc import Iterable
from typing import NamedTuple

from pollenfork import ids
from pollenfork.admission import messages

_MAX_REQUESTS = 2
_MIN_HOLD_S = 0.05


class WaitingClass(NamedTuple):
    """A class with requests waiting in a pool and tier."""

    pool: messages.PoolKey
    key: messages.ClassKey
    tier: ids.Tier


class MinimumShares:
    """Credit in slot-seconds that waiting classes accrue.

    A waiting class accrues its minimum share of the slots over time. Once its
    credit covers a request's slot holding time, one request is served ahead of
    higher tiers and the credit is charged. A class with share `s` of `c` slots,
    waiting at `n` instances, thus has a request served at each of them at least
    every `hold * n / (s * c)` seconds, once a slot is free.
    """

    def __init__(self) -> None:
        self._credit: dict[WaitingClass, float] = {}
        self._holds: dict[WaitingClass, float] = {}

    def accrue(
        self, waiting: WaitingClass, slot_seconds: float, hold_s: float
    ) -> None:
        """Adds a waiting class's credit, up to that of a few requests.

        Args:
            waiting: The waiting class.
            slot_seconds: Its share of the slots times the elapsed time.
            hold_s: The slot holding time of its requests, in seconds.
        """
        hold_s = max(hold_s, _MIN_HOLD_S)
        credit = self._credit.get(waiting, 0.0) + slot_seconds
        self._credit[waiting] = min(credit, _MAX_REQUESTS * hold_s)
        self._holds[waiting] = hold_s

    def list_due(self) -> list[WaitingClass]:
        """Returns the classes with credit for a request, the most first."""
        due = [
            waiting
            for waiting, credit in self._credit.items()
            if credit >= self._holds[waiting]
        ]
        due.sort(key=lambda p: self._credit[p] / self._holds[p], reverse=True)
        return due

    def charge(self, waiting: WaitingClass) -> None:
        """Charges a served request, whichever rule it was served under."""
        credit = self._credit.get(waiting)
        if credit is not None:
            self._credit[waiting] = max(0.0, credit - self._holds[waiting])

    def retain(self, waiting_classes: Iterable[WaitingClass]) -> None:
        """Drops the credit of classes that no longer wait."""
        kept = set(waiting_classes)
        self._credit = {p: v for p, v in self._credit.items() if p in kept}
        self._holds = {p: v for p, v in self._holds.items() if p in kept}
