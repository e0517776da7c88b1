"""Decides how many runners of which kind each data centre shall have.

Runners that may be taken away cost a fraction of the firm ones, so they do the
work; firm ones fill in where none of them are to be had. A runner is let go
only once another one is ready in its place, as it takes seconds to start and
what it has read is lost with it. For the same reason nothing is moved merely to
be spread evenly.
"""

import math

from pollenfork import ids
from pollenfork.routes import model as routes
from pollenfork.scaling import demand
from pollenfork.scaling import model

# After its boot time a runner has this much longer to appear, in seconds:
# until then it counts as coming.
_LATE_S = 1.5
# Runners that may be taken away aren't asked for again for this long after
# there were none in a data centre, in seconds.
_DRY_S = 2.0
# Firm runners are ordered where no others are to be had and less than this part
# of all is ready: those of one data centre of three may be taken away at any
# time.
_ESSENTIAL = 0.7
# The part of firm runners that stays while the others start, as long as nobody
# has asked for anything.
_UNASKED = 1.0 / 3.0


class Planner:
    """Plans one service's runners.

    Attributes:
        terms: What may be ordered, and for which price.
        unasked: Whether nothing has been asked of the service yet.
    """

    def __init__(
        self,
        terms: routes.Scaling,
        need: demand.Demand,
        unasked: bool = False,
    ) -> None:
        """Starts with nothing ordered.

        Args:
            terms: What may be ordered, and for which price.
            need: Tells how many runners there shall be in all.
            unasked: Whether nothing has been asked of the service yet.
        """
        self.terms = terms
        self.unasked = unasked
        self._demand = need
        self._dry_until: dict[ids.DataCentre, float] = {}
        self._coming_until: dict[model.Kind, float] = {}

    @property
    def usual(self) -> int:
        """How many runners there are when nothing special goes on."""
        return self._demand.usual

    def note_unavailable(self, data_centre: ids.DataCentre, now: float) -> None:
        """Takes that none that may be taken away are to be had."""
        self._dry_until[data_centre] = now + _DRY_S
        self._coming_until.pop(model.Kind(data_centre, True), None)

    def plan(
        self, view: model.View, use: model.Use, now: float
    ) -> list[model.Target]:
        """Returns what to order now, by data centre and kind.

        Args:
            view: The runners that there are, and what was ordered last.
            use: How busy they are.
            now: Monotonic seconds.
        """
        self.unasked = self.unasked and not use.taken
        total = self._demand.find_total(use, now)
        reclaimable = self._plan_reclaimable(total, view, now)
        firm = self._plan_firm(total, reclaimable, view)
        due = [
            model.Target(kind, count)
            for kind, count in {**reclaimable, **firm}.items()
            if self._is_due(kind, count, view, now)
        ]
        for target in due:
            if target.count > view.count(target.kind):
                late_s = self.terms.boot_s + _LATE_S
                self._coming_until[target.kind] = now + late_s
        return due

    # Runners that may be taken away.

    def _plan_reclaimable(
        self, total: int, view: model.View, now: float
    ) -> dict[model.Kind, int]:
        """Returns how many there shall be, as far as they are to be had."""
        if self.terms.reclaimable_price is None:
            return {}
        kinds = [model.Kind(each, True) for each in self.terms.prices]
        have = {kind: self._find_coming(kind, view, now) for kind in kinds}
        missing = total - sum(have.values())
        for _ in range(missing):
            kind = self._find_least(have, view, now)
            if kind is None:
                break
            have[kind] += 1
        spare = view.ready - total
        for _ in range(min(-missing, spare)):
            have[max(have, key=lambda kind: have[kind])] -= 1
        return have

    def _find_coming(
        self, kind: model.Kind, view: model.View, now: float
    ) -> int:
        """Returns how many are ready or, as ordered, on their way."""
        if now < self._coming_until.get(kind, 0.0):
            return max(view.count(kind), view.find_ordered(kind))
        return view.count(kind)

    def _find_least(
        self, have: dict[model.Kind, int], view: model.View, now: float
    ) -> model.Kind | None:
        """Returns where one more goes: all of a place go together."""
        prices = self.terms.prices
        open_kinds = [
            kind
            for kind, count in have.items()
            if now >= self._dry_until.get(kind.data_centre, 0.0)
            and count + view.count_firm(kind.data_centre) < self.terms.most
        ]
        return min(
            open_kinds,
            key=lambda kind: (have[kind], prices[kind.data_centre]),
            default=None,
        )

    # Those that stay.

    def _plan_firm(
        self, total: int, reclaimable: dict[model.Kind, int], view: model.View
    ) -> dict[model.Kind, int]:
        """Returns how many there shall be of those that stay.

        Args:
            total: How many there shall be of both.
            reclaimable: How many of the others are ready or coming.
            view: The runners that there are, and what was ordered last.
        """
        prices = self.terms.prices
        ranked = sorted(prices, key=lambda each: prices[each])
        kinds = [model.Kind(each, False) for each in ranked]
        wanted = {kind: view.find_ordered(kind) for kind in kinds}
        self._let_go(wanted, self._find_kept(total, view.reclaimable))
        coming = sum(reclaimable.values())
        missing = math.ceil(total * _ESSENTIAL) - coming - sum(wanted.values())
        for kind in kinds:
            others = reclaimable.get(model.Kind(kind.data_centre, True), 0)
            room = max(0, self.terms.most - others - wanted[kind])
            added = max(0, min(missing, room))
            missing -= added
            least = self.terms.least - others
            wanted[kind] = max(wanted[kind] + added, least)
        return wanted

    def _find_kept(self, total: int, ready: int) -> int:
        """Returns how many may stay beside others that are ready."""
        if self.terms.reclaimable_price is None:
            return total
        kept = max(0, total - ready)
        if self.unasked and any(self._coming_until.values()):
            kept = min(kept, math.ceil(total * _UNASKED))
        return kept

    def _let_go(self, wanted: dict[model.Kind, int], kept: int) -> None:
        """Lowers counts to what is kept, the dearest first."""
        spare = sum(wanted.values()) - kept
        for kind in reversed(list(wanted)):
            gone = max(0, min(spare, wanted[kind]))
            wanted[kind] -= gone
            spare -= gone

    def _is_due(
        self, kind: model.Kind, count: int, view: model.View, now: float
    ) -> bool:
        """Returns whether an order differs, or what was ordered hasn't come."""
        if count != view.find_ordered(kind):
            return True
        overdue = now >= self._coming_until.get(kind, 0.0)
        return view.count(kind) < count and overdue
