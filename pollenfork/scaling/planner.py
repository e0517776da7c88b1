"""Decides how many runners of which kind each data centre shall have.

Runners that may be taken away cost a fraction of the others, so they do the
work; the others fill in where such runners aren't to be had. A runner is let go
only once another one is ready in its place.
"""

from collections.abc import Mapping
import math

from pollenfork import ids
from pollenfork.routes import model as routes
from pollenfork.scaling import demand
from pollenfork.scaling import model

# After its boot time a runner has this much longer to appear, in seconds:
# until then it counts as coming.
_LATE_S = 1.5
# Runners that may be taken away aren't asked for again for this long after
# there were none, in seconds.
_DRY_S = 2.0
# Dear runners are ordered where less than this part of all is ready or coming:
# those of one data centre of three may be taken away at any time.
_ESSENTIAL = 0.6
# The same while the others are busy.
_ESSENTIAL_BUSY = 0.9

Zones = Mapping[ids.DataCentre, model.Zone]
Ordered = Mapping[model.Kind, int]


class Planner:
    """Plans one service's runners."""

    def __init__(self, terms: routes.Scaling, usual: int) -> None:
        """Starts with nothing ordered.

        Args:
            terms: What may be ordered, and for which price.
            usual: How many runners there are when nothing special goes on.
        """
        self.terms = terms
        self._demand = demand.Demand(usual)
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
        self, zones: Zones, use: model.Use, ordered: Ordered, now: float
    ) -> list[model.Target]:
        """Returns what to order now, by data centre and kind.

        Args:
            zones: The runners that take work.
            use: How busy they are.
            ordered: What was ordered last; what never was isn't there.
            now: Monotonic seconds.
        """
        total = self._demand.find_total(use, now)
        wanted: dict[model.Kind, int] = {}
        for data_centre, count in self._share_out(total).items():
            zone = zones.get(data_centre, model.Zone())
            firm = ordered.get(model.Kind(data_centre, False), zone.firm)
            cheap = self._find_reclaimable(count, firm)
            kept = max(0, count - zone.reclaimable)
            wanted[model.Kind(data_centre, False)] = min(firm, kept)
            if cheap is not None and now >= self._dry_until.get(
                data_centre, 0.0
            ):
                wanted[model.Kind(data_centre, True)] = cheap
        self._fill_in(wanted, zones, total, now)
        return self._list_due(wanted, zones, ordered, now)

    def _share_out(self, total: int) -> dict[ids.DataCentre, int]:
        """Returns each data centre's part; the cheapest have one more.

        All of one that may be taken away go together, so none has more than
        its part.
        """
        ranked = self._rank()
        least, more = divmod(total, len(ranked))
        return {
            data_centre: min(
                self.terms.most,
                max(self.terms.least, least + (1 if rank < more else 0)),
            )
            for rank, data_centre in enumerate(ranked)
        }

    def _rank(self) -> list[ids.DataCentre]:
        prices = self.terms.prices
        return sorted(prices, key=lambda each: (prices[each], each))

    def _find_reclaimable(self, count: int, firm: int) -> int | None:
        """Returns how many that may be taken away there shall be; None: any.

        Args:
            count: How many of both kinds there shall be.
            firm: How many of the others there are meanwhile.
        """
        if self.terms.reclaimable_price is None:
            return None
        return max(0, min(count, self.terms.most - firm))

    def _fill_in(
        self,
        wanted: dict[model.Kind, int],
        zones: Zones,
        total: int,
        now: float,
    ) -> None:
        """Adds dear runners where too few others are ready or coming."""
        busy = total > self._demand.usual
        part = _ESSENTIAL_BUSY if busy else _ESSENTIAL
        ready = sum(zone.ready for zone in zones.values())
        coming = sum(
            max(0, count - _count(zones, kind))
            for kind, count in wanted.items()
            if now < self._coming_until.get(kind, 0.0)
        )
        missing = math.ceil(total * part) - ready - coming
        for data_centre in self._rank():
            firm = model.Kind(data_centre, False)
            zone = zones.get(data_centre, model.Zone())
            room = (
                self.terms.most
                - zone.ready
                - max(0, wanted.get(firm, 0) - zone.firm)
            )
            added = max(0, min(missing, room))
            if added:
                wanted[firm] = max(wanted.get(firm, 0), zone.firm) + added
                missing -= added

    def _list_due(
        self,
        wanted: dict[model.Kind, int],
        zones: Zones,
        ordered: Ordered,
        now: float,
    ) -> list[model.Target]:
        """Returns what differs from what was ordered, or hasn't come."""
        due = []
        for kind, count in wanted.items():
            ready = _count(zones, kind)
            known = ordered.get(kind, ready)
            overdue = now >= self._coming_until.get(kind, 0.0)
            if count == known and not (ready < count and overdue):
                continue
            if count > ready:
                late_s = self.terms.boot_s + _LATE_S
                self._coming_until[kind] = now + late_s
            due.append(model.Target(kind, count))
        return due


def _count(zones: Zones, kind: model.Kind) -> int:
    return zones.get(kind.data_centre, model.Zone()).count(kind)


def find_usual(zones: Zones) -> int:
    """Returns how many runners an operator has started a service with."""
    return sum(zone.ready for zone in zones.values())
