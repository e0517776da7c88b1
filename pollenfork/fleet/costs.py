"""Compares candidate runners by fixed costs."""

from collections.abc import Sequence
from typing import Protocol

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import profiles


class Costs(Protocol):
    """Sets the costs of candidate runners."""

    def apply(
        self,
        profile: candidates.RequestProfile,
        found: list[candidates.Candidate],
        now: float,
    ) -> list[candidates.Candidate]:
        """Returns the candidates that a request may use, with their costs.

        Args:
            profile: What the request needs.
            found: All runners that accept work.
            now: Monotonic seconds.
        """

    def record(
        self, service: ids.ServiceName, expected_s: float, observed_s: float
    ) -> None:
        """Records the time to an answer's first event, in seconds."""


class FixedCosts:
    """Costs that are the same for all runners of all services."""

    def __init__(
        self, profile: profiles.CostProfile = profiles.DEFAULT
    ) -> None:
        self._profile = profile

    def apply(
        self,
        profile: candidates.RequestProfile,
        found: list[candidates.Candidate],
        now: float,
    ) -> list[candidates.Candidate]:
        """Returns the candidates that a request may use, with their costs."""
        for candidate in found:
            candidate.cost = self._find_cost(profile, candidate, now)
        backlog_s = measure_backlog_s(found)
        if profile.parts and profile.top_tier is not None:
            found = candidates.reserve_runners(profile, found)
        if profile.shared:
            candidates.add_cache_miss_costs(profile, found, backlog_s)
        return found

    def record(
        self, service: ids.ServiceName, expected_s: float, observed_s: float
    ) -> None:
        """Ignores the time, as the costs are fixed."""

    def _find_cost(
        self,
        profile: candidates.RequestProfile,
        candidate: candidates.Candidate,
        now: float,
    ) -> float:
        fixed = self._profile
        cost = find_failure_cost(candidate, now)
        if not profile.parts:
            return cost + candidate.active * fixed.plain_active_s
        if candidate.active >= candidate.runner.slots:
            cost += fixed.full_s
        cost += (
            candidate.pending_tokens + profile.unshared_tokens
        ) / candidates.PREFILL_TOKENS_PER_S
        return cost + candidate.active * fixed.active_s


def find_failure_cost(candidate: candidates.Candidate, now: float) -> float:
    """Returns the cost of a runner's recent failures, in seconds."""
    return _find_rate_cost(candidate) + _find_back_off_cost(candidate, now)


def _find_rate_cost(candidate: candidates.Candidate) -> float:
    return candidate.state.failure_rate * profiles.DEFAULT.failure_s


def _find_back_off_cost(candidate: candidates.Candidate, now: float) -> float:
    is_avoided = now < candidate.state.avoid_until
    return profiles.DEFAULT.avoided_s if is_avoided else 0.0


def measure_backlog_s(found: Sequence[candidates.Candidate]) -> float:
    """Returns the candidates' mean prompt backlog in seconds."""
    pending = sum(candidate.pending_tokens for candidate in found)
    return pending / len(found) / candidates.PREFILL_TOKENS_PER_S
