"""Selects the runner for each attempt of a request."""

import asyncio

import msgspec

from pollenfork import ids
from pollenfork.fleet import outcomes
from pollenfork.gateway import brittle_runners
from pollenfork.gateway import context
from pollenfork.gateway import returning
from pollenfork.gateway.shedding import limits as shedding_limits
from pollenfork.gateway.shedding import shedder
from pollenfork.returns import promises

# Maximum number of rate-limited runners for which a request seeks a permit.
_MAX_PERMIT_REQUESTS = 16
# How long a request waits for a place at a brittle runner, in seconds.
_MAX_PLACE_WAIT_S = 0.25
# How long a stream waits for a runner of its version to be certain, in seconds,
# and how often that is looked up. The doubt of a runner that has lived on ends
# within 0.3 s.
_MAX_DOUBT_WAIT_S = 0.5
_DOUBT_POLL_S = 0.05


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
        self.admission = shedding_limits.Admission.IN_TIME
        self._is_new = True
        self._claim = shedder.Claim(deps.shedder, _make_demand(admitted))

    async def find(
        self,
        suspect: ids.RequestDigest | None,
        is_retry: bool,
        has_begun: bool = True,
        *,
        awaits_certainty: bool = False,
    ) -> outcomes.Outcome:
        """Returns a grant for a runner, or the reason why there is none.

        Args:
            suspect: The digest of what may crash runners, the request or a
                part of its prompt; None: nothing.
            is_retry: Whether the request has been sent to a runner before.
            has_begun: Whether it may have run there.
            awaits_certainty: Whether to wait if the only runners of its
                stream's version are in doubt.
        """
        self._is_new = not (is_retry and has_begun)
        limited = outcomes.Limited(0.0, 0.0)
        for _ in range(_MAX_PERMIT_REQUESTS):
            if self._deps.loop.time() >= self._admitted.deadline:
                return limited
            found = self._choose(suspect, is_retry)
            if isinstance(found, outcomes.Full):
                found = await self._wait_for_place(suspect, is_retry)
            elif awaits_certainty and _is_uncertain(found):
                found = await self._wait_for_certainty(suspect, is_retry)
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
        self._claim.record_wait()
        found: outcomes.Outcome = outcomes.Full()
        with brittle.wait(tier):
            while loop.time() < until and isinstance(found, outcomes.Full):
                await asyncio.sleep(brittle_runners.POLL_S)
                if brittle.has_turn(tier):
                    found = self._choose(suspect, is_retry)
        return found

    async def _wait_for_certainty(
        self, suspect: ids.RequestDigest | None, is_retry: bool
    ) -> outcomes.Outcome:
        """Returns what is found once a runner of the version is certain."""
        loop = self._deps.loop
        left_s = self._admitted.deadline - loop.time()
        until = loop.time() + min(_MAX_DOUBT_WAIT_S, left_s / 4)
        found: outcomes.Outcome = outcomes.OtherVersions(uncertain=True)
        while loop.time() < until and _is_uncertain(found):
            await asyncio.sleep(_DOUBT_POLL_S)
            found = self._choose(suspect, is_retry)
        return found

    def record_refusal(self) -> None:
        """Records that the request is refused for want of runners.

        One that came before it was due says nothing about the load.
        """
        if not self._return.is_early:
            self._claim.record_wait()

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
        if self._is_new and not self._claim.may_begin():
            return self._deps.shedder.refuse_closed()
        if suspect is not None:
            self.admission = shedding_limits.Admission.SUSPECT
            return self._find_runner(None, suspect)
        # An admitted request isn't shed because of load that arrived later.
        if is_retry:
            self.admission = shedding_limits.Admission.RETRY
            return self._find_runner(longest_s=None)
        claimed = self._return.claim()
        if isinstance(claimed, promises.Early):
            return outcomes.Overloaded(claimed.left_s)
        if claimed is not None:
            self.admission = shedding_limits.Admission.PROMISED
            found = self._find_runner(longest_s=None)
            self._return.settle(found)
            return found
        return self._find_new()

    def _find_new(self) -> outcomes.Outcome:
        """Chooses a runner for a request without a promise."""
        claim = self._claim
        if claim.has_share:
            self.admission = shedding_limits.Admission.SHARE
            return self._find_runner(longest_s=None)
        limit_s = self._return.limit_prefill()
        self.admission = shedding_limits.Admission.IN_TIME
        found = self._find_runner(limit_s, fallback_s=claim.find_longest_wait())
        claim.record_found(found)
        if isinstance(found, outcomes.Grant):
            if limit_s is not None and found.wait_s > limit_s:
                self.admission = shedding_limits.Admission.URGENT
            return found
        if not isinstance(found, outcomes.Overloaded):
            return found
        # A caller with a promise doesn't starve.
        if self._return.promise(found) or not claim.take_share():
            return found
        self.admission = shedding_limits.Admission.SHARE
        return self._find_runner(longest_s=None)

    def _find_runner(
        self,
        longest_s: float | None,
        suspect: ids.RequestDigest | None = None,
        fallback_s: float | None = None,
    ) -> outcomes.Outcome:
        now = self._deps.loop.time()
        demand = self._admitted.demand
        if self.version is not None:
            demand = msgspec.structs.replace(demand, version=self.version)
        return self._deps.chooser.choose(
            demand, self.tried, now, longest_s, suspect, fallback_s
        )


def _is_uncertain(found: outcomes.Outcome) -> bool:
    """Returns whether the only runners of the version are in doubt."""
    return isinstance(found, outcomes.OtherVersions) and found.uncertain


def _make_demand(admitted: context.AdmittedRequest) -> shedder.Demand:
    return shedder.Demand(
        profile=admitted.demand,
        tier=admitted.tier,
        tiers=admitted.tiers,
        target_s=admitted.route.target_s,
        limit_s=admitted.prefill_limit_s,
        deadline=admitted.deadline,
    )
