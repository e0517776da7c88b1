"""Finds the runners that a request may be sent to now."""

from collections.abc import Callable

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import limits as rate_limits
from pollenfork.fleet import model
from pollenfork.fleet import outcomes
from pollenfork.fleet import pauses as runner_pauses
from pollenfork.fleet import registry
from pollenfork.fleet import runner_state

GetState = Callable[[ids.EndpointId], runner_state.RunnerState]


class Availability:
    """Excludes runners that are gone, unreachable, pausing or limited."""

    def __init__(
        self,
        runners: registry.Registry,
        get_state: GetState,
        limits: rate_limits.Limits,
        pauses: runner_pauses.Pauses,
        has_place: Callable[[model.Runner, float], bool] | None = None,
        is_certain: Callable[[model.Runner], bool] | None = None,
    ) -> None:
        """Creates an instance.

        Args:
            runners: The runners of all services.
            get_state: Returns this instance's state of a runner.
            limits: The runners' rate limits.
            pauses: The pauses that runners have requested.
            has_place: Returns whether a runner that may be brittle has a place
                for a request of this instance; None: all have.
            is_certain: Returns whether a runner is certain to have the software
                version of its entry; None: all are.
        """
        self._has_place = has_place or _has_always_place
        self._is_certain = is_certain or _is_always_certain
        self._registry = runners
        self._get_state = get_state
        self._limits = limits
        self._pauses = pauses

    def find(
        self,
        profile: candidates.RequestProfile,
        avoid: set[ids.EndpointId],
        now: float,
    ) -> list[model.Runner] | outcomes.Refusal | None:
        """Returns the runners for a request, or why there are none.

        Args:
            profile: What the request needs.
            avoid: Runners that this request has already been sent to.
            now: Monotonic seconds.
        """
        self._registry.expire(now)
        listed = self._registry.list_accepting(profile.service)
        fitting = [runner for runner in listed if profile.fits(runner)]
        if listed and not fitting:
            return outcomes.OtherVersions()
        accepting = [runner for runner in fitting if runner.id not in avoid]
        if not accepting:
            return None
        reachable = self._exclude_unreachable(accepting)
        if not reachable:
            return outcomes.Unreachable()
        reachable = self._exclude_uncertain(reachable, profile)
        if not reachable:
            return outcomes.OtherVersions(uncertain=True)
        resumed = self._exclude_paused(reachable, profile.tier, now)
        if not resumed:
            return self._describe_pauses(reachable, profile.tier, now)
        if not profile.retriable:
            resumed = self._exclude_unconfirmed(resumed, now)
        with_place = [
            runner for runner in resumed if self._has_place(runner, now)
        ]
        if not with_place:
            return outcomes.Full()
        resumed = with_place
        admitting = self._exclude_limited(resumed, profile.tier, now)
        return admitting or self._describe_limits(resumed, profile.tier, now)

    def count_accepting(self, service: ids.ServiceName) -> int:
        """Returns the number of a service's runners that accept new work."""
        return len(self._registry.list_accepting(service))

    def accepts(self, runner: model.Runner, now: float) -> bool:
        """Returns whether a chosen runner may still be sent a request."""
        return self._registry.is_accepting(
            runner.incarnation
        ) and not self._pauses.is_paused(runner.incarnation, now)

    def find_pause(
        self, profile: candidates.RequestProfile, now: float
    ) -> outcomes.Paused | None:
        """Returns when to retry if all runners of a service pause."""
        reachable = self._exclude_unreachable(
            self._registry.list_accepting(profile.service)
        )
        if not reachable or self._exclude_paused(reachable, profile.tier, now):
            return None
        return self._describe_pauses(reachable, profile.tier, now)

    def _exclude_uncertain(
        self, reachable: list[model.Runner], profile: candidates.RequestProfile
    ) -> list[model.Runner]:
        """Returns the runners that surely have the version of their entries.

        A new stream may begin at any of them if too few are left.
        """
        if profile.version is None and not profile.resumable:
            return reachable
        certain = [runner for runner in reachable if self._is_certain(runner)]
        if profile.version is None and 2 * len(certain) < len(reachable):
            return reachable
        return certain

    def _exclude_unreachable(
        self, accepting: list[model.Runner]
    ) -> list[model.Runner]:
        """Returns the runners believed to accept connections.

        Runners displaced from their address are excluded, unless all are.
        """
        present = [
            runner
            for runner in accepting
            if self._get_state(runner.id).displaced_from != runner.address
        ]
        return [
            runner
            for runner in present or accepting
            if self._get_state(runner.id).reachable
        ]

    def _exclude_paused(
        self, accepting: list[model.Runner], tier: ids.Tier, now: float
    ) -> list[model.Runner]:
        """Returns the runners that haven't asked for a pause."""
        return [
            runner
            for runner in accepting
            if self._pauses.find_until(runner, tier, now) <= now
        ]

    def _exclude_unconfirmed(
        self, accepting: list[model.Runner], now: float
    ) -> list[model.Runner]:
        """Excludes runners that may still refuse, unless all may."""
        confirmed = [
            runner
            for runner in accepting
            if not self._pauses.is_unconfirmed(runner.incarnation, now)
        ]
        return confirmed or accepting

    def _describe_pauses(
        self, paused: list[model.Runner], tier: ids.Tier, now: float
    ) -> outcomes.Paused:
        return outcomes.Paused(self._pauses.plan_return(paused, tier, now))

    def _exclude_limited(
        self, accepting: list[model.Runner], tier: ids.Tier, now: float
    ) -> list[model.Runner]:
        """Returns the runners whose rate limits admit a request now."""
        return [
            runner
            for runner in accepting
            if self._limits.find_blocked_until(
                self._get_hash(runner), tier, now
            )
            <= now
        ]

    def _describe_limits(
        self, accepting: list[model.Runner], tier: ids.Tier, now: float
    ) -> outcomes.Limited:
        hashes = [self._get_hash(runner) for runner in accepting]
        until = min(
            self._limits.find_blocked_until(each, tier, now) for each in hashes
        )
        rate = sum(self._limits.find_rate(each) or 0.0 for each in hashes)
        return outcomes.Limited(until - now, rate)

    def _get_hash(self, runner: model.Runner) -> int:
        return self._get_state(runner.id).incarnation_hash


def _has_always_place(runner: model.Runner, now: float) -> bool:
    """Returns that a runner that isn't brittle has a place."""
    return True


def _is_always_certain(runner: model.Runner) -> bool:
    """Returns that the entry of a runner is believed."""
    return True
