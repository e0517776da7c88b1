"""Decides how many runners of which kind each data centre shall have.

Runners that may be taken away cost a fraction of the others, so they do the
work; the others fill in where none of them are to be had. A runner is let go
only once another one is ready in its place, as it takes seconds to start and
what it has read is lost with it. For the same reason nothing is moved merely to
be spread evenly.
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
# there were none in a data centre, in seconds.
_DRY_S = 2.0
# Dear runners are ordered where no others are to be had and less than this part
# of all is ready: those of one data centre of three may be taken away at any
# time.
_ESSENTIAL = 0.7
# The part of dear runners that stays while the others start, as long as nobody
# has asked for anything.
_UNASKED = 1.0 / 3.0

Zones = Mapping[ids.DataCentre, model.Zone]
Ordered = Mapping[model.Kind, int]


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
        self, zones: Zones, use: model.Use, ordered: Ordered, now: float
    ) -> list[model.Target]:
        """Returns what to order now, by data centre and kind.

        Args:
            zones: The runners that take work.
            use: How busy they are.
            ordered: What was ordered last; what never was isn't there.
            now: Monotonic seconds.
        """
        self.unasked = self.unasked and not use.taken
        total = self._demand.find_total(use, now)
        cheap = self._plan_cheap(total, zones, ordered, now)
        dear = self._plan_dear(total, sum(cheap.values()), zones, ordered)
        wanted = {**cheap, **dear}
        due = [
            model.Target(kind, count)
            for kind, count in wanted.items()
            if self._is_due(kind, count, zones, ordered, now)
        ]
        for target in due:
            if target.count > _count(zones, target.kind):
                late_s = self.terms.boot_s + _LATE_S
                self._coming_until[target.kind] = now + late_s
        return due

    # Runners that may be taken away.

    def _plan_cheap(
        self, total: int, zones: Zones, ordered: Ordered, now: float
    ) -> dict[model.Kind, int]:
        """Returns how many there shall be, as far as they are to be had."""
        if self.terms.reclaimable_price is None:
            return {}
        kinds = [model.Kind(each, True) for each in self.terms.prices]
        have = {
            kind: self._find_coming(kind, zones, ordered, now) for kind in kinds
        }
        missing = total - sum(have.values())
        for _ in range(missing):
            kind = self._find_least(have, zones, ordered, now)
            if kind is None:
                break
            have[kind] += 1
        spare = sum(zone.ready for zone in zones.values()) - total
        for _ in range(min(-missing, spare)):
            have[max(have, key=lambda kind: have[kind])] -= 1
        return have

    def _find_least(
        self,
        have: dict[model.Kind, int],
        zones: Zones,
        ordered: Ordered,
        now: float,
    ) -> model.Kind | None:
        """Returns where one more goes: all of a place go together."""
        prices = self.terms.prices
        open_kinds = [
            kind
            for kind, count in have.items()
            if now >= self._dry_until.get(kind.data_centre, 0.0)
            and count + self._count_dear(kind.data_centre, zones, ordered)
            < self.terms.most
        ]
        return min(
            open_kinds,
            key=lambda kind: (have[kind], prices[kind.data_centre]),
            default=None,
        )

    def _count_dear(
        self, data_centre: ids.DataCentre, zones: Zones, ordered: Ordered
    ) -> int:
        kind = model.Kind(data_centre, False)
        ready = _count(zones, kind)
        return max(ready, ordered.get(kind, ready))

    # The others.

    def _plan_dear(
        self, total: int, cheap: int, zones: Zones, ordered: Ordered
    ) -> dict[model.Kind, int]:
        """Returns how many there shall be of the others.

        Args:
            total: How many there shall be of both.
            cheap: How many of the cheap ones are ready or coming.
            zones: The runners that take work.
            ordered: What was ordered last.
        """
        kinds = [
            model.Kind(each, False)
            for each in sorted(
                self.terms.prices, key=lambda each: self.terms.prices[each]
            )
        ]
        wanted = {
            kind: ordered.get(kind, _count(zones, kind)) for kind in kinds
        }
        ready = sum(zone.reclaimable for zone in zones.values())
        self._let_go(wanted, self._find_kept(total, ready, zones))
        missing = math.ceil(total * _ESSENTIAL) - cheap - sum(wanted.values())
        for kind in kinds:
            zone = zones.get(kind.data_centre, model.Zone())
            room = self.terms.most - zone.reclaimable - wanted[kind]
            added = max(0, min(missing, room))
            wanted[kind] += added
            missing -= added
        return wanted

    def _find_kept(self, total: int, cheap: int, zones: Zones) -> int:
        """Returns how many of the dear ones may stay."""
        if self.terms.reclaimable_price is None:
            return total
        kept = max(0, total - cheap)
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

    # Orders.

    def _find_coming(
        self, kind: model.Kind, zones: Zones, ordered: Ordered, now: float
    ) -> int:
        """Returns how many are ready or, as ordered, on their way."""
        ready = _count(zones, kind)
        if now < self._coming_until.get(kind, 0.0):
            return max(ready, ordered.get(kind, 0))
        return ready

    def _is_due(
        self,
        kind: model.Kind,
        count: int,
        zones: Zones,
        ordered: Ordered,
        now: float,
    ) -> bool:
        """Returns whether an order differs, or what was ordered hasn't come."""
        ready = _count(zones, kind)
        if count != ordered.get(kind, ready):
            return True
        return ready < count and now >= self._coming_until.get(kind, 0.0)


def _count(zones: Zones, kind: model.Kind) -> int:
    return zones.get(kind.data_centre, model.Zone()).count(kind)


def find_usual(zones: Zones) -> int:
    """Returns how many runners an operator has started a service with."""
    return sum(zone.ready for zone in zones.values())
