"""The expected time that a request spends on connecting to a runner."""

from pollenfork.fleet import candidates
from pollenfork.fleet import model as fleet
from pollenfork.gateway.connections import subsets
from pollenfork.gateway.connections import view

# A new connection takes two round trips and a place in the runner's accept
# queue. 20 ms are 2% of the shortest target of a forecast service.
_CONNECT_S = 0.02
# Runners outside the subset cost this much more for short prompts.
_OUTSIDE_S = 0.02
# Any runner processes fewer shared tokens than this quickly, within 18 ms. For
# more it matters where they are cached.
_SHORT_TOKENS = 1000


class ConnectCosts:
    """Finds the costs of missing connections."""

    def __init__(
        self, connections: view.ConnectionView, subset: subsets.RunnerSubset
    ) -> None:
        """Creates the costs of one instance.

        Args:
            connections: Its idle connections.
            subset: The runners that it prefers for short prompts.
        """
        self._connections = connections
        self._subset = subset
        self._profile: candidates.RequestProfile | None = None
        self._freshness = view.Freshness.RECENT
        self._is_short = False

    def find_cost(
        self, profile: candidates.RequestProfile, runner: fleet.Runner
    ) -> float:
        """Returns the cost of connecting to a runner, in seconds."""
        if profile is not self._profile:
            self._set_profile(profile)
        cost_s = 0.0
        if not self._connections.has_idle(runner, self._freshness):
            cost_s = _CONNECT_S
        if self._is_short and not self._subset.prefers(runner):
            cost_s += _OUTSIDE_S
        return cost_s

    def _set_profile(self, profile: candidates.RequestProfile) -> None:
        """Keeps what is the same for all runners that a request may use."""
        self._profile = profile
        self._freshness = view.Freshness.RECENT
        if profile.idempotent:
            self._freshness = view.Freshness.ANY
        shared = sum(part.tokens for part in profile.shared)
        self._is_short = shared < _SHORT_TOKENS
