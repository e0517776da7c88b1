"""The interface through which runner selection reads rate limits."""

from typing import Protocol

from pollenfork import ids


class Limits(Protocol):
    """The rate limits of runners, keyed by the hash of their incarnation."""

    def find_rate(self, runner: int) -> float | None:
        """Returns a runner's limit in requests per second; None: no limit."""

    def find_blocked_until(
        self, runner: int, tier: ids.Tier, now: float
    ) -> float:
        """Returns the earliest time at which a runner may take a request."""


class NoLimits:
    """The rate limits of runners that have none."""

    def find_rate(self, runner: int) -> float | None:
        """Returns None: no runner has a limit."""
        return None

    def find_blocked_until(
        self, runner: int, tier: ids.Tier, now: float
    ) -> float:
        """Returns `now`: no runner is ever blocked."""
        return now
