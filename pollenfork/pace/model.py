"""The pace of a runner and where it is read from."""

from typing import Protocol

import msgspec

# A runner with a lower pace counts as slow.
SLOW = 0.75


class Pace(msgspec.Struct, frozen=True):
    """A runner's speed relative to the fast runners of its service.

    Attributes:
        value: 1.0 for a runner faster than three quarters; 0.5 takes twice as
            long.
        spread: The relative error of the value.
        samples: The number of answers that it was learned from.
    """

    value: float = 1.0
    spread: float = 0.0
    samples: int = 0


class PaceSource(Protocol):
    """Provides the paces of runners."""

    def get_pace(self, runner: int) -> Pace:
        """Returns a runner's pace, by the hash of its incarnation."""


class UniformPace:
    """Gives every runner the same pace."""

    def get_pace(self, runner: int) -> Pace:
        """Returns the pace of a usual runner."""
        return Pace()
