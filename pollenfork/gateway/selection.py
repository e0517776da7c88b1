"""Finds the runner for each attempt of one request."""

from pollenfork import ids
from pollenfork.fleet import outcomes
from pollenfork.gateway import context

# Limited runners that a request asks for a permit at most.
_LARGEST_SEARCH = 16


class RunnerSelector:
    """Chooses a runner, and gets leave to send there where it is limited.

    Attributes:
        avoid: Runners that the request has been at.
    """

    def __init__(
        self, tools: context.Dependencies, admitted: context.AdmittedRequest
    ) -> None:
        """Starts with all runners.

        Args:
            tools: What all exchanges share.
            admitted: The request.
        """
        self._tools = tools
        self._admitted = admitted
        self.tried: set[ids.EndpointId] = set()

    async def find(self, suspect: bool, searched: bool) -> outcomes.Outcome:
        """Returns a runner that takes the request now, or why none does.

        Args:
            suspect: Whether runners have ended under the request.
            searched: Whether it has been sent to a runner before.
        """
        limited = outcomes.Limited(0.0, 0.0)
        for _ in range(_LARGEST_SEARCH):
            if self._tools.loop.time() >= self._admitted.deadline:
                return limited
            found = self._choose(suspect, searched)
            if await self._is_final(found):
                return found
        return limited

    def record_admission(self) -> None:
        """Notes that the request was taken on in the usual way."""
        service = self._admitted.demand.service
        self._tools.shed_streaks.reset(service, self._admitted.route.tier)

    async def _is_final(self, found: outcomes.Outcome) -> bool:
        """Returns whether a choice stands, or is to be made once more."""
        permits = self._tools.permits
        match found:
            case outcomes.Grant(limited=True):
                return await self._acquire(found)
            case outcomes.Grant():
                permits.on_sent(found)
            case outcomes.Limited() if not permits.is_informed():
                await permits.wait_informed()
                return False
        return True

    async def _acquire(self, grant: outcomes.Grant) -> bool:
        """Returns whether the request may be sent to a limited runner."""
        chooser = self._tools.chooser
        granted = False
        try:
            granted = await self._tools.permits.acquire(
                grant, self._admitted.tier
            )
        finally:
            if not granted:
                chooser.settle(grant)
        if granted:
            chooser.confirm(grant, self._admitted.demand)
        return granted

    def _choose(self, suspect: bool, searched: bool) -> outcomes.Outcome:
        if suspect:
            return self._find_runner(None, self._admitted.digest)
        # Whoever was let in is not turned away for what came after it.
        if searched:
            return self._find_runner(longest_s=None)
        found = self._find_runner(self._admitted.prefill_limit_s)
        if isinstance(found, outcomes.Overloaded) and self._exceeds_refusals():
            return self._find_runner(longest_s=None)
        return found

    def _find_runner(
        self,
        longest_s: float | None,
        suspect: ids.RequestDigest | None = None,
    ) -> outcomes.Outcome:
        now = self._tools.loop.time()
        return self._tools.chooser.choose(
            self._admitted.demand, self.tried, now, longest_s, suspect
        )

    def _exceeds_refusals(self) -> bool:
        """Returns whether a request that would be late is taken on."""
        service = self._admitted.demand.service
        return self._tools.shed_streaks.admit_after_refusals(
            service, self._admitted.route.tier
        )
