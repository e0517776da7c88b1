"""Plans the number of runners of each kind in each data centre.

Reclaimable runners cost a fraction of on-demand ones and are preferred;
on-demand runners fill in where no reclaimable ones are available. A runner is
released only once its replacement is ready, because a runner takes seconds to
start and its cache is lost when it ends. For the same reason runners aren't
moved merely to balance data centres.
"""

import math

from pollenfork import ids
from pollenfork.routes import model as routes
from pollenfork.scaling import edges
from pollenfork.scaling import model

# How long after its boot time an ordered runner still counts as starting, in
# seconds.
_LATE_S = 1.5
# How long reclaimable runners aren't ordered again in a data centre that had
# none available, in seconds.
_UNAVAILABLE_S = 2.0
# On-demand runners are ordered if fewer than this fraction of the total are
# ready or starting: the reclaimable ones of one data centre of three may be
# reclaimed at any time.
_MIN_READY = 0.7
# The fraction of on-demand runners that stays while reclaimable ones start, as
# long as the service has had no request.
_UNUSED_SHARE = 1.0 / 3.0


class Planner:
    """Plans one service's runners.

    Attributes:
        terms: How many runners may be ordered, and at which price.
        unused: Whether the service has had no request yet.
        total: The number of runners to have; None before the first plan.
    """

    def __init__(
        self,
        terms: routes.Scaling,
        estimator: edges.Estimator,
        unused: bool = False,
    ) -> None:
        """Creates a planner without orders.

        Args:
            terms: How many runners may be ordered, and at which price.
            estimator: Estimates the total number of runners needed.
            unused: Whether the service has had no request yet.
        """
        self.terms = terms
        self.unused = unused
        self.total: int | None = None
        self._estimator = estimator
        self._unavailable_until: dict[ids.DataCentre, float] = {}
        self._starting_until: dict[model.RunnerKind, float] = {}

    @property
    def baseline(self) -> int:
        """The number of runners under normal load."""
        return self._estimator.baseline

    def record_unavailable(
        self, data_centre: ids.DataCentre, now: float
    ) -> None:
        """Records that a data centre has no reclaimable runners available."""
        self._unavailable_until[data_centre] = now + _UNAVAILABLE_S
        self._starting_until.pop(model.RunnerKind(data_centre, True), None)

    def plan(
        self, view: model.View, load: model.Load, now: float
    ) -> list[model.Target]:
        """Returns the orders to place now.

        Args:
            view: The present runners and the latest orders.
            load: The runners' load.
            now: Monotonic seconds.
        """
        self.unused = self.unused and not load.slot_utilization
        total = self._estimator.estimate_total(load, now)
        self.total = total
        reclaimable = self._plan_reclaimable(total, view, now)
        on_demand = self._plan_on_demand(total, reclaimable, view)
        due = [
            model.Target(kind, count)
            for kind, count in {**reclaimable, **on_demand}.items()
            if self._is_due(kind, count, view, now)
        ]
        for target in due:
            if target.count > view.count(target.kind):
                late_s = self.terms.boot_s + _LATE_S
                self._starting_until[target.kind] = now + late_s
        return due

    # Reclaimable runners.

    def _plan_reclaimable(
        self, total: int, view: model.View, now: float
    ) -> dict[model.RunnerKind, int]:
        """Returns the number per kind to have, as far as available."""
        if self.terms.reclaimable_price is None:
            return {}
        kinds = [model.RunnerKind(each, True) for each in self.terms.prices]
        have = {kind: self._count_coming(kind, view, now) for kind in kinds}
        missing = total - sum(have.values())
        for _ in range(missing):
            kind = self._find_smallest(have, view, now)
            if kind is None:
                break
            have[kind] += 1
        spare = view.ready - total
        for _ in range(min(-missing, spare)):
            released = self._find_released(have, total)
            if released is None:
                break
            have[released] -= 1
        return have

    def _count_coming(
        self, kind: model.RunnerKind, view: model.View, now: float
    ) -> int:
        """Returns the number of runners that are ready or starting."""
        if now < self._starting_until.get(kind, 0.0):
            return max(view.count(kind), view.get_ordered(kind))
        return view.count(kind)

    def _find_smallest(
        self, have: dict[model.RunnerKind, int], view: model.View, now: float
    ) -> model.RunnerKind | None:
        """Returns the kind to add a runner to; None if there is none.

        The smallest is chosen, because a data centre's reclaimable runners are
        reclaimed together.
        """
        prices = self.terms.prices
        available = [
            kind
            for kind, count in have.items()
            if now >= self._unavailable_until.get(kind.data_centre, 0.0)
            and count + view.count_on_demand(kind.data_centre)
            < self.terms.max_runners
        ]
        return min(
            available,
            key=lambda kind: (have[kind], prices[kind.data_centre]),
            default=None,
        )

    def _find_released(
        self, have: dict[model.RunnerKind, int], total: int
    ) -> model.RunnerKind | None:
        """Returns the kind to release a runner of; None if there is none.

        Below the baseline, the most expensive of the largest is chosen. Each
        data centre keeps its minimum there: on-demand runners would be ordered
        in place of the reclaimable ones.
        """
        if total >= self.baseline:
            return max(have, key=lambda kind: have[kind])
        prices = self.terms.prices
        return max(
            (kind for kind in have if have[kind] > self.terms.min_runners),
            key=lambda kind: (have[kind], prices[kind.data_centre]),
            default=None,
        )

    # On-demand runners.

    def _plan_on_demand(
        self,
        total: int,
        reclaimable: dict[model.RunnerKind, int],
        view: model.View,
    ) -> dict[model.RunnerKind, int]:
        """Returns the number of on-demand runners to have, per kind.

        Args:
            total: The total number of runners to have.
            reclaimable: The reclaimable runners that are ready or starting.
            view: The present runners and the latest orders.
        """
        prices = self.terms.prices
        ranked = sorted(prices, key=lambda each: prices[each])
        kinds = [model.RunnerKind(each, False) for each in ranked]
        wanted = {kind: view.get_ordered(kind) for kind in kinds}
        self._release(wanted, self._count_kept(total, view.reclaimable))
        coming = sum(reclaimable.values())
        missing = math.ceil(total * _MIN_READY) - coming - sum(wanted.values())
        for kind in kinds:
            others = reclaimable.get(
                model.RunnerKind(kind.data_centre, True), 0
            )
            room = max(0, self.terms.max_runners - others - wanted[kind])
            added = max(0, min(missing, room))
            missing -= added
            least = self.terms.min_runners - others
            wanted[kind] = max(wanted[kind] + added, least)
        return wanted

    def _count_kept(self, total: int, ready: int) -> int:
        """Returns how many may stay beside the ready reclaimable runners."""
        if self.terms.reclaimable_price is None:
            return total
        kept = max(0, total - ready)
        if self.unused and any(self._starting_until.values()):
            kept = min(kept, math.ceil(total * _UNUSED_SHARE))
        return kept

    def _release(self, wanted: dict[model.RunnerKind, int], kept: int) -> None:
        """Lowers the counts to the number kept, the most expensive first."""
        spare = sum(wanted.values()) - kept
        for kind in reversed(list(wanted)):
            released = max(0, min(spare, wanted[kind]))
            wanted[kind] -= released
            spare -= released

    def _is_due(
        self, kind: model.RunnerKind, count: int, view: model.View, now: float
    ) -> bool:
        """Returns whether an order changes or ordered runners are overdue."""
        if count != view.get_ordered(kind):
            return True
        overdue = now >= self._starting_until.get(kind, 0.0)
        return view.count(kind) < count and overdue
