"""What planned returns need from the instance that they run in."""

from collections.abc import Callable
import enum
from typing import Protocol

from pollenfork.loads import messages

ReturnsCallback = Callable[[tuple[messages.PlannedReturn, ...], float], None]


class Peers(Protocol):
    """Propagates promised returns between instances."""

    def announce_return(self, planned: messages.PlannedReturn) -> None:
        """Sends a promise of this instance to all other instances."""

    def when_returns(self, callback: ReturnsCallback) -> None:
        """Registers a callback for promises of other instances.

        Each promise is passed once, never to the instance that made it.
        `due_in_ms` counts from the callback's `now`: a promise whose stated
        time is late by more than 50 ms gets its caller refused as too early,
        so the time for which it was held back must be subtracted.
        """


class ReturnEvent(enum.Enum):
    """What became of a refused caller's return."""

    PLANNED = "planned"
    UNPLANNED = "unplanned"
    KEPT = "kept"
    EARLY = "early"


class Counters(Protocol):
    """Counts returns."""

    def record_return(self, event: ReturnEvent) -> None:
        """Counts one event."""
