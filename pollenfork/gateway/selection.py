"""Selects the runner for each attempt of a request."""

import asyncio

import msgspec

from pollenfork import ids
from pollenfork.fleet import outcomes
from pollenfork.gateway import brittle_runners
from pollenfork.gateway import context
from pollenfork.gateway import load_shedding
from pollenfork.gateway import returning
from pollenfork.returns import promises

# Maximum number of rate-limited runners for which a request seeks a permit.
_MAX_PERMIT_REQUESTS = 16
# How long a request waits for a place at a brittle runner, in seconds.
_MAX_PLACE_WAIT_S = 0.25


class RunnerSelector:
    """Chooses a runner, and acquires a permit if the runner is rate-limited.

    Attributes:
        tried: Runners to which the request has been sent.
        version: The only software version that may serve it; None: any.
        admission: Why the runner that was found last may serve it.
    """

    def __init__(
        self, deps: context.Dependencies, admitted: context.AdmittedRequest
    ) -> None:
        """Creates a selector that has tried no runner.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
        """
        self._deps = deps
        self._admitted = admitted
        self.tried: set[ids.EndpointId] = set()
        self.version: ids.SoftwareVersion | None = None
        self._return = returning.CallerReturn(deps, admitted)
        self.admission = load_shedding.Admission.IN_TIME

    async def find(
        self, suspect: ids.RequestDigest | None, is_retry: bool
    ) -> outcomes.Outcome:
        """Returns a grant for a runner, or the reason why there is none.

        Args:
            suspect: The digest of what may crash runners, the request or a
                part of its prompt; None: nothing.
            is_retry: Whether the request has been sent to a runner before.
        """
        limited = outcomes.Limited(0.0, 0.0)
        for _ in range(_MAX_PERMIT_REQUESTS):
            if self._deps.loop.time() >= self._admitted.deadline:
                return limited
            found = self._choose(suspect, is_retry)
            if isinstance(found, outcomes.Full):
                found = await self._wait_for_place(suspect, is_retry)
            if await self._is_final(found):
                return found
        return limited

    async def _wait_for_place(
        self, suspect: ids.RequestDigest | None, is_retry: bool
    ) -> outcomes.Outcome:
        """Returns what is found once a brittle runner has a place."""
        loop, brittle = self._deps.loop, self._deps.brittle
        if brittle.list_owners(self._admitted.demand.service):
            return outcomes.Full()
        tier = self._admitted.tier
        left_s = self._admitted.deadline - loop.time()
        until = loop.time() + min(_MAX_PLACE_WAIT_S, left_s / 4)
        found: outcomes.Outcome = outcomes.Full()
        with brittle.wait(tier):
            while loop.time() < until and isinstance(found, outcomes.Full):
                await asyncio.sleep(brittle_runners.POLL_S)
                if brittle.has_turn(tier):
                    found = self._choose(suspect, is_retry)
        return found

    def record_admission(self) -> None:
        """Records that the request was admitted without load shedding.

        One that was promised its return says nothing about the load.
        """
        if self._return.is_kept:
            return
        service = self._admitted.demand.service
        self._deps.shed_streaks.reset(service, self._admitted.route.tier)

    def find_retry_after(self) -> float | None:
        """Returns the seconds after which a shed request should return.

        None: returns aren't planned for its service.
        """
        return self._return.find_retry_after()

    async def _is_final(self, found: outcomes.Outcome) -> bool:
        """Returns whether an outcome is final; otherwise choose again."""
        permits = self._deps.permits
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
        """Returns whether a permit for a rate-limited runner was granted."""
        chooser = self._deps.chooser
        granted = False
        try:
            granted = await self._deps.permits.acquire(
                grant, self._admitted.tier
            )
        finally:
            if not granted:
                chooser.settle(grant)
        if granted:
            chooser.confirm(grant, self._admitted.demand)
        return granted

    def _choose(
        self, suspect: ids.RequestDigest | None, is_retry: bool
    ) -> outcomes.Outcome:
        if not self._deps.brittle.has_turn(self._admitted.tier):
            return outcomes.Full()
        if suspect is not None:
            self.admission = load_shedding.Admission.SUSPECT
            return self._find_runner(None, suspect)
        # An admitted request isn't shed because of load that arrived later.
        if is_retry:
            self.admission = load_shedding.Admission.RETRY
            return self._find_runner(longest_s=None)
        claimed = self._return.claim()
        if isinstance(claimed, promises.Early):
            return outcomes.Overloaded(claimed.left_s)
        if claimed is not None:
            self.admission = load_shedding.Admission.PROMISED
            found = self._find_runner(longest_s=None)
            self._return.settle(found)
            return found
        self.admission = load_shedding.Admission.IN_TIME
        found = self._find_runner(self._return.limit_prefill())
        if not isinstance(found, outcomes.Overloaded):
            return found
        # A caller with a promise doesn't starve. Admitting every sixth one
        # nevertheless let callers that return at once, before other instances
        # know their promise, get ahead by 2 s of 3 s in a fake site.
        if self._return.promise(found) or not self._is_admitted_anyway():
            return found
        self.admission = load_shedding.Admission.AFTER_REFUSALS
        return self._find_runner(longest_s=None)

    def _find_runner(
        self,
        longest_s: float | None,
        suspect: ids.RequestDigest | None = None,
    ) -> outcomes.Outcome:
        now = self._deps.loop.time()
        demand = self._admitted.demand
        if self.version is not None:
            demand = msgspec.structs.replace(demand, version=self.version)
        return self._deps.chooser.choose(
            demand, self.tried, now, longest_s, suspect
        )

    def _is_admitted_anyway(self) -> bool:
        """Returns whether a request that would be shed is admitted anyway."""
        service = self._admitted.demand.service
        return self._deps.shed_streaks.admit_after_refusals(
            service, self._admitted.route.tier
        )
