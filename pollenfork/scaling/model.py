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
