"""Which runners have an idle connection that a request may use."""

import enum
from typing import Protocol

from pollenfork.fleet import model as fleet


class Freshness(enum.Enum):
    """How recently an idle connection must have been in use."""

    ANY = "any"
    RECENT = "recent"


class ConnectionView(Protocol):
    """Shows the idle connections of an instance."""

    def has_idle(self, runner: fleet.Runner, freshness: Freshness) -> bool:
        """Returns whether a runner has an idle connection that may be used.

        Args:
            runner: The runner.
            freshness: What the request requires of the connection.
        """


class UnknownConnections:
    """Treats all runners alike while the connections aren't known."""

    def has_idle(self, runner: fleet.Runner, freshness: Freshness) -> bool:
        """Returns True, so that no runner costs more than another."""
        return True
