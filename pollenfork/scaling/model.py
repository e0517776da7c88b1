"""What decides how many runners there shall be."""

import msgspec

from pollenfork import ids


class Zone(msgspec.Struct, frozen=True):
    """The runners of a service in one data centre that take work.

    Attributes:
        firm: Those that stay.
        reclaimable: Those that may be taken away, all at once.
    """

    firm: int = 0
    reclaimable: int = 0

    @property
    def ready(self) -> int:
        """All that take work."""
        return self.firm + self.reclaimable

    def count(self, kind: "Kind") -> int:
        """Returns those of a kind."""
        return self.reclaimable if kind.reclaimable else self.firm


class Use(msgspec.Struct, frozen=True):
    """How busy a service's runners are.

    Attributes:
        backlog_s: What each has to read on average, in seconds.
        taken: The part of their places that is taken.
    """

    backlog_s: float = 0.0
    taken: float = 0.0


class Kind(msgspec.Struct, frozen=True):
    """A kind of runners in one data centre."""

    data_centre: ids.DataCentre
    reclaimable: bool


class Target(msgspec.Struct, frozen=True):
    """How many runners of a kind there shall be."""

    kind: Kind
    count: int


class View(msgspec.Struct, frozen=True):
    """What there is of a service's runners, and what was ordered.

    Attributes:
        zones: The runners that take work, by data centre.
        ordered: The latest order on each kind; what never was isn't there.
    """

    zones: dict[ids.DataCentre, Zone]
    ordered: dict[Kind, int] = msgspec.field(default_factory=dict)

    @property
    def ready(self) -> int:
        """All runners that take work."""
        return sum(zone.ready for zone in self.zones.values())

    @property
    def reclaimable(self) -> int:
        """Those of them that may be taken away."""
        return sum(zone.reclaimable for zone in self.zones.values())

    def count(self, kind: Kind) -> int:
        """Returns how many of a kind take work."""
        return self.zones.get(kind.data_centre, Zone()).count(kind)

    def find_ordered(self, kind: Kind) -> int:
        """Returns how many were ordered; as many as there are if never."""
        return self.ordered.get(kind, self.count(kind))

    def count_firm(self, data_centre: ids.DataCentre) -> int:
        """Returns how many that stay there are, or are ordered."""
        kind = Kind(data_centre, False)
        return max(self.count(kind), self.find_ordered(kind))
