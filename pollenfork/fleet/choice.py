"""Selects the runner with the lowest expected time to first token."""

from collections.abc import Callable
import heapq
import random

import xxhash

from pollenfork import ids
from pollenfork.fleet import availability
from pollenfork.fleet import candidates
from pollenfork.fleet import copies
from pollenfork.fleet import costs
from pollenfork.fleet import limits as rate_limits
from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.fleet import outcomes
from pollenfork.fleet import overload
from pollenfork.fleet import pauses as runner_pauses
from pollenfork.fleet import prefix_index
from pollenfork.fleet import profiles
from pollenfork.fleet import registry
from pollenfork.fleet import runner_state
from pollenfork.loads import messages as loads
from pollenfork.room import ledger

# Candidates whose costs differ by less than this, in seconds, are equivalent.
_TIE_S = 0.004


class Chooser:
    """Selects runners and tracks the load that each selection adds.

    A prompt goes to a runner that has its shared parts cached. For parts that
    aren't cached anywhere, all instances choose the same runner by rendezvous
    hashing, because placements take a moment to propagate.
    """

    def __init__(
        self,
        runners: registry.Registry,
        rng: random.Random,
        read_others: Callable[[int], loads.Load] | None = None,
        limits: rate_limits.Limits | None = None,
        pauses: runner_pauses.Pauses | None = None,
        forecasts: costs.Costs | None = None,
        has_place: Callable[[model.Runner, float], bool] | None = None,
        is_certain: Callable[[model.Runner], bool] | None = None,
    ) -> None:
        """Creates a chooser without load or cached parts.

        Args:
            runners: The runners of all services.
            rng: Breaks ties between equivalent candidates.
            read_others: Returns the load of other instances on a runner, by
                the hash of its incarnation.
            limits: The runners' rate limits; None: no runner has one.
            pauses: The pauses that runners have requested.
            forecasts: Costs of forecast services; None: the fixed ones.
            has_place: Returns whether a runner that may be brittle has a place
                for a request of this instance; None: all have.
            is_certain: Returns whether a runner is certain to have the software
                version of its entry; None: all are.
        """
        self._costs = costs.FixedCosts()
        self._forecasts = forecasts or self._costs
        self.pauses = pauses or runner_pauses.Pauses(rng)
        self._limits = limits or rate_limits.NoLimits()
        self._read_others = read_others or (lambda runner: loads.Load())
        self._registry = runners
        self._rng = rng
        self._states: dict[ids.EndpointId, runner_state.RunnerState] = {}
        self._placed: list[loads.Placement] = []
        self._on_long: list[Callable[[], None]] = []
        self._leaving: dict[
            ids.EndpointId, tuple[model.Runner, runner_state.RunnerState]
        ] = {}
        self.caches = prefix_index.PrefixIndex()
        self._room = ledger.RoomLedger()
        self.availability = availability.Availability(
            runners,
            self.get_state,
            self._limits,
            self.pauses,
            has_place,
            is_certain,
        )
        runners.when_gone(self._forget)

    def choose(
        self,
        profile: candidates.RequestProfile,
        avoid: set[ids.EndpointId],
        now: float,
        max_wait_s: float | None = None,
        suspect: ids.RequestDigest | None = None,
        longest_s: float | None = None,
    ) -> outcomes.Outcome:
        """Selects the runner with the lowest cost.

        Args:
            profile: What the request needs.
            avoid: Runners that this request has already been sent to.
            now: Monotonic seconds.
            max_wait_s: Seconds within which the request's prompt must have
                been processed; None: unlimited.
            suspect: The request's digest if runners have crashed while running
                it; it is then routed so that it crashes as few as possible.
            longest_s: Seconds that its prompt may wait at another runner if
                the one with the lowest cost is overloaded; None: it may not go
                to another one.

        Returns:
            The grant; `Overloaded` if that runner's backlog exceeds
            `max_wait_s` and no other one may be used; `Unreachable` if there
            are runners but none can be reached; `Paused` if all reachable ones
            have asked for a pause; `Limited` if the others accept no more
            requests now; None if there are no runners.
        """
        accepting = self.availability.find(profile, avoid, now)
        if not isinstance(accepting, list):
            return accepting
        if suspect is not None:
            accepting = self._choose_for_suspect(accepting, suspect, now)
        found = [self._make_candidate(profile, runner) for runner in accepting]
        if profile.shared:
            leaving = self._list_leaving_holders(profile)
            copies.find_sources(profile, found, now, leaving)
        backlog_s = costs.measure_backlog_s(found)
        priced = self._forecasts if profile.forecast else self._costs
        found = priced.apply(profile, found, now)
        lowest = min(candidate.cost for candidate in found)
        tied = [each for each in found if each.cost <= lowest + _TIE_S]
        chosen = self._rng.choice(tied)
        candidate: candidates.Candidate | None = chosen
        least_s = overload.find_least_backlog(found)
        if max_wait_s is not None and overload.is_overloaded(
            chosen, profile, max_wait_s
        ):
            candidate = None
            if longest_s is not None:
                candidate = overload.find_alternative(
                    found, profile, max_wait_s, longest_s
                )
        if candidate is None:
            return outcomes.Overloaded(
                overload.find_wait(chosen, profile),
                backlog_s,
                min(overload.find_wait(each, profile) for each in found),
                least_s,
                chosen.runner.id,
            )
        wait_s = overload.find_wait(candidate, profile)
        grant = self._grant(profile, candidate)
        self.pauses.record_sent(candidate.runner.incarnation, now)
        holder_costs = [each.cost for each in found if not each.uncached_tokens]
        grant.mean_backlog_s = backlog_s
        grant.least_backlog_s = least_s
        grant.wait_s = wait_s
        grant.holders = len(holder_costs)
        grant.holder_cost = min(holder_costs, default=0.0)
        return grant

    def confirm(
        self, grant: outcomes.Grant, profile: candidates.RequestProfile
    ) -> None:
        """Confirms a grant of a rate-limited runner."""
        self._record_placement(profile, grant)

    def record_first_output(
        self, grant: outcomes.Grant, observed_s: float
    ) -> None:
        """Records the seconds from sending a request to its first output."""
        if grant.forecast_s is not None:
            service = grant.runner.service
            self._forecasts.record(service, grant.forecast_s, observed_s)

    def is_limited(self, runner: ids.EndpointId) -> bool:
        """Returns whether a runner has a rate limit."""
        incarnation = self.get_state(runner).incarnation_hash
        return self._limits.find_rate(incarnation) is not None

    def list_hashes(self) -> set[int]:
        """Returns the incarnation hashes of all known runners."""
        return {self._get_hash(runner) for runner in self._registry.list_all()}

    def measure(self, service: ids.ServiceName) -> messages.Utilization:
        """Returns the total load of a service's runners that accept work."""
        use = messages.Utilization()
        for runner in self._registry.list_accepting(service):
            state = self.get_state(runner.id)
            others = self._read_others(state.incarnation_hash)
            use.runners += 1
            active = state.active + others.active
            limited = self._limits.find_rate(state.incarnation_hash) is not None
            # Its rate limit leaves its remaining slots unused.
            usable = min(runner.slots, max(1, active))
            use.slots += usable if limited else runner.slots
            use.active += active
            pending = state.pending_tokens + others.pending_tokens
            use.pending_tokens += pending
            # Less than a token is a rounding error of sums.
            use.prefilling += pending >= 1.0
        return use

    def settle(self, grant: outcomes.Grant) -> None:
        """Removes the load of an attempt that has ended."""
        grant.record_prefill_done()
        grant.state.active -= 1
        grant.state.top_tier -= grant.top_tier
        if grant.hold is not None:
            self._room.release(grant.hold)

    def list_loads(self) -> loads.LoadTable:
        """Returns this instance's load on each runner."""
        return {
            state.incarnation_hash: loads.Load(
                state.active,
                int(state.pending_tokens),
                state.top_tier,
                self._room.get_held(state.incarnation_hash),
            )
            for state in self._states.values()
            if state.active
        }

    def read_load(self, state: runner_state.RunnerState) -> loads.Load:
        """Returns a runner's load over all instances, without held tokens."""
        others = self._read_others(state.incarnation_hash)
        return loads.Load(
            state.active + others.active,
            int(state.pending_tokens) + others.pending_tokens,
            state.top_tier + others.top_tier,
        )

    def count_held(self, runner: int) -> int:
        """Returns the KV cache tokens held by requests of all instances."""
        others = self._read_others(runner)
        return self._room.get_held(runner) + others.held_tokens

    def when_long(self, call: Callable[[], None]) -> None:
        """Registers a callback for long prompts that are sent to a runner."""
        self._on_long.append(call)

    def apply_cache_report(
        self, reporter: model.Incarnation, report: messages.CacheReport
    ) -> int:
        """Applies a runner's report of its own cache.

        Args:
            reporter: The incarnation that was asked.
            report: Its answer.

        Returns:
            The number of corrections to what was believed cached.
        """
        known = self._registry.find(reporter.id)
        if known is None or known.incarnation != reporter:
            # The runner was removed or restarted while the report was fetched.
            return 0
        incarnation = self._get_hash(known)
        changes = self.caches.apply_report(incarnation, report)
        self._placed.extend(changes)
        return len(changes)

    def sweep(self) -> None:
        """Forgets other instances' placements on runners unknown here."""
        self.caches.retain(self.list_hashes())

    def take_placements(self) -> list[loads.Placement]:
        """Returns the placements since the last call."""
        placed, self._placed = self._placed, []
        return placed

    def list_cached_in(
        self, data_centre: ids.DataCentre
    ) -> list[loads.Placement]:
        """Returns what a data centre's runners are believed to have cached."""
        near = {
            self._get_hash(runner)
            for runner in self._registry.list_all()
            if runner.data_centre == data_centre
        }
        return self.caches.list_cached(near)

    def record_heard(self, runner: ids.EndpointId, now: float) -> bool:
        """Records that a runner has sent something, on any connection.

        Returns:
            Whether that ended a silence.
        """
        state = self._states.get(runner)
        return state is not None and state.record_heard(now)

    def get_state(self, runner: ids.EndpointId) -> runner_state.RunnerState:
        """Returns this instance's state of a runner, creating it if needed."""
        state = self._states.get(runner)
        if state is None:
            known = self._registry.find(runner)
            incarnation = (
                model.Incarnation(runner)
                if known is None
                else known.incarnation
            )
            state = runner_state.RunnerState(loads.hash_name(incarnation.name))
            self._states[runner] = state
        return state

    def _get_hash(self, runner: model.Runner) -> int:
        return self.get_state(runner.id).incarnation_hash

    def _choose_for_suspect(
        self,
        accepting: list[model.Runner],
        suspect: ids.RequestDigest,
        now: float,
    ) -> list[model.Runner]:
        """Returns the less busy of two runners chosen by rendezvous hashing.

        All instances choose the same two for a request, so that it crashes two
        runners at most even if many instances receive it at once.
        """
        healthy = [
            runner
            for runner in accepting
            if self.get_state(runner.id).avoid_until <= now
        ]
        two = heapq.nlargest(
            2,
            healthy or accepting,
            key=lambda runner: xxhash.xxh64_intdigest(
                runner.incarnation.name, suspect
            ),
        )
        return [min(two, key=self._count_active)]

    def _count_active(self, runner: model.Runner) -> int:
        state = self.get_state(runner.id)
        return state.active + self._read_others(state.incarnation_hash).active

    def _make_candidate(
        self, profile: candidates.RequestProfile, runner: model.Runner
    ) -> candidates.Candidate:
        state = self.get_state(runner.id)
        others = self._read_others(state.incarnation_hash)
        active = state.active + others.active
        if not profile.parts:
            return candidates.Candidate(runner, state, active=active)
        uncached = self.caches.count_uncached(
            state.incarnation_hash, profile.shared
        )
        own_held = self._room.get_held(state.incarnation_hash)
        return candidates.Candidate(
            runner=runner,
            state=state,
            uncached_tokens=uncached,
            prefill_tokens=uncached,
            pending_tokens=state.pending_tokens + others.pending_tokens,
            top_tier=state.top_tier + others.top_tier,
            active=active,
            held_tokens=own_held + others.held_tokens,
            own_held_tokens=own_held,
        )

    def _grant(
        self,
        profile: candidates.RequestProfile,
        candidate: candidates.Candidate,
    ) -> outcomes.Grant:
        state = candidate.state
        pending = candidate.prefill_tokens + profile.unshared_tokens
        state.active += 1
        top_tier = 1 if profile.top_tier else 0
        state.top_tier += top_tier
        state.pending_tokens += pending
        grant = outcomes.Grant(
            runner=candidate.runner,
            state=state,
            pending_tokens=pending,
            cost=candidate.cost,
            uncached_tokens=candidate.uncached_tokens,
            top_tier=top_tier,
            source=candidate.source,
            forecast_s=candidate.forecast_s,
            limited=self._limits.find_rate(state.incarnation_hash) is not None,
            hold=self._room.hold(state.incarnation_hash, profile),
        )
        if not grant.limited:
            self._record_placement(profile, grant)
        return grant

    def _record_placement(
        self, profile: candidates.RequestProfile, grant: outcomes.Grant
    ) -> None:
        """Records the prompt parts that the runner will have cached."""
        runner = grant.state.incarnation_hash
        for part in profile.shared:
            part_hash = prefix_index.hash_part(part)
            self.caches.add(runner, part_hash)
            if grant.uncached_tokens:
                self._placed.append(loads.Placement(part_hash, runner))
        if grant.pending_tokens > profiles.DEFAULT.long_prompt_tokens:
            for call in self._on_long:
                call()

    def _list_leaving_holders(
        self, profile: candidates.RequestProfile
    ) -> list[candidates.Candidate]:
        """Returns leaving runners that have the shared parts cached.

        Other runners can copy the parts from them until they end.
        """
        return [
            candidates.Candidate(runner, state)
            for runner, state in self._leaving.values()
            if runner.service == profile.service
            and not self.caches.count_uncached(
                state.incarnation_hash, profile.shared
            )
        ]

    def _forget(self, runner: ids.EndpointId) -> None:
        known = self._registry.find(runner)
        state = self._states.pop(runner, None)
        if state is not None:
            self._room.forget(state.incarnation_hash)
        if known is not None and known.leaving and state is not None:
            self._leaving[runner] = known, state
            return
        departed = self._leaving.pop(runner, None)
        if departed is not None:
            self.caches.forget(departed[1].incarnation_hash)
        if state is not None:
            self.caches.forget(state.incarnation_hash)
