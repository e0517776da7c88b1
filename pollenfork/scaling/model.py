"""The runners, load and orders that scaling decisions are based on."""

import msgspec

from pollenfork import ids


class RunnerCounts(msgspec.Struct, frozen=True):
    """The number of a service's runners in one data centre that accept work.

    Attributes:
        on_demand: Runners that are never reclaimed.
        reclaimable: Runners that the provider may reclaim, all at once.
    """

    on_demand: int = 0
    reclaimable: int = 0

    @property
    def ready(self) -> int:
        """The number of runners of both kinds."""
        return self.on_demand + self.reclaimable

    def count(self, kind: "RunnerKind") -> int:
        """Returns the number of runners of a kind."""
        return self.reclaimable if kind.reclaimable else self.on_demand


class Load(msgspec.Struct, frozen=True):
    """The mean load of a service's runners.

    Attributes:
        backlog_s: The mean prompt backlog, in seconds.
        slot_utilization: The fraction of slots in use.
        prefill_utilization: The fraction of runners that process prompts.
        runners: The number of runners.
        exposed: The most reclaimable runners in one data centre; they may be
            reclaimed together.
    """

    backlog_s: float = 0.0
    slot_utilization: float = 0.0
    prefill_utilization: float = 0.0
    runners: int = 0
    exposed: int = 0


class RunnerKind(msgspec.Struct, frozen=True):
    """Reclaimable or on-demand runners in one data centre."""

    data_centre: ids.DataCentre
    reclaimable: bool


class Target(msgspec.Struct, frozen=True):
    """The number of runners of a kind to have."""

    kind: RunnerKind
    count: int


class View(msgspec.Struct, frozen=True):
    """A service's runners and the orders in force.

    Attributes:
        zones: The runners that accept work, by data centre.
        ordered: The latest order for each kind; kinds never ordered are
            missing.
    """

    zones: dict[ids.DataCentre, RunnerCounts]
    ordered: dict[RunnerKind, int] = msgspec.field(default_factory=dict)

    @property
    def ready(self) -> int:
        """The number of runners that accept work."""
        return sum(zone.ready for zone in self.zones.values())

    @property
    def reclaimable(self) -> int:
        """The number of reclaimable runners among them."""
        return sum(zone.reclaimable for zone in self.zones.values())

    @property
    def exposed(self) -> int:
        """The most reclaimable runners in one data centre."""
        zones = self.zones.values()
        return max((zone.reclaimable for zone in zones), default=0)

    @property
    def ordered_total(self) -> int:
        """The number ordered last; of kinds never ordered, those present."""
        present = {
            RunnerKind(zone, reclaimable)
            for zone in self.zones
            for reclaimable in (False, True)
        }
        return sum(map(self.get_ordered, present | self.ordered.keys()))

    def count(self, kind: RunnerKind) -> int:
        """Returns the number of runners of a kind that accept work."""
        return self.zones.get(kind.data_centre, RunnerCounts()).count(kind)

    def get_ordered(self, kind: RunnerKind) -> int:
        """Returns the ordered number; if never ordered, the present number."""
        return self.ordered.get(kind, self.count(kind))

    def count_on_demand(self, data_centre: ids.DataCentre) -> int:
        """Returns the greater of the on-demand runners present and ordered."""
        kind = RunnerKind(data_centre, False)
        return max(self.count(kind), self.get_ordered(kind))
