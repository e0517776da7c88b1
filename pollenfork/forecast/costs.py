"""Compares candidate runners by forecasts of the request's answer."""

from collections.abc import Callable, Sequence

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import costs
from pollenfork.fleet import model as fleet
from pollenfork.forecast import calibration
from pollenfork.forecast import placement
from pollenfork.forecast import timing
from pollenfork.pace import model as pace
from pollenfork.room import costs as room

# The cost of pauses longer than the caller's target, as a fraction of the
# target for the first event: a runner with such pauses is used once the others
# are that much busier.
_PAUSE_COST_SHARE = 0.25

# A runner that processes few prompts beside its streams looks faster than it
# is at prompts, so a higher pace isn't used.
_MAX_PACE = 1.25

ConnectCost = Callable[[candidates.RequestProfile, fleet.Runner], float]


class ForecastCosts:
    """Forecasts at each runner's learned pace.

    Attributes:
        calibration: The error of the forecasts.
    """

    def __init__(
        self,
        paces: pace.PaceSource,
        find_connect_s: ConnectCost | None = None,
        find_answer_s: Callable[[ids.ServiceName], float] | None = None,
    ) -> None:
        """Creates forecasts without calibration.

        Args:
            paces: The paces of runners.
            find_connect_s: Returns the cost of connecting to a runner.
            find_answer_s: Returns how long a request of a service holds a
                slot, in seconds.
        """
        self._paces = paces
        self._find_connect_s = find_connect_s
        self._find_answer_s = find_answer_s
        self.calibration = calibration.Calibration()

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
        paces = {
            runner: min(_MAX_PACE, self._paces.get_pace(runner).value)
            for runner in (each.state.incarnation_hash for each in found)
        }
        backlog_s = costs.measure_backlog_s(found)
        self._forecast(profile, found, paces, now)
        if profile.top_tier is not None:
            found = placement.reserve_runners(profile, found, paces)
        if profile.shared:
            owners = placement.rank_hash_owners(profile, found)
            _add_cache_miss_costs(found, owners, backlog_s)
        return found

    def record(
        self, service: ids.ServiceName, expected_s: float, observed_s: float
    ) -> None:
        """Records the time to an answer's first event, in seconds."""
        self.calibration.record(service, expected_s, observed_s)

    def _forecast(
        self,
        profile: candidates.RequestProfile,
        found: Sequence[candidates.Candidate],
        paces: dict[int, float],
        now: float,
    ) -> None:
        answer_s = timing.DEFAULT_ANSWER_S
        if self._find_answer_s is not None:
            answer_s = self._find_answer_s(profile.service)
        bias_s = self.calibration.get_bias(profile.service)
        rooms_s = room.find_costs(profile, found, answer_s)
        for each, room_s in zip(found, rooms_s, strict=True):
            value = paces[each.state.incarnation_hash]
            each.queue_s = timing.find_queue_s(each, value, answer_s)
            own_s = timing.find_own_prefill_s(profile, each, value)
            each.forecast_s = max(0.0, each.queue_s + own_s + bias_s)
            each.cost = each.forecast_s + room_s
            each.cost += costs.find_failure_cost(each, now)
            if self._find_connect_s is not None:
                each.cost += self._find_connect_s(profile, each.runner)
            pause_s = timing.find_pause_s(profile.event_tokens, value)
            if profile.gap_s and pause_s > profile.gap_s:
                each.cost += profile.target_s * _PAUSE_COST_SHARE


def _add_cache_miss_costs(
    found: Sequence[candidates.Candidate],
    owners: dict[int, float],
    backlog_s: float,
) -> None:
    """Adds what others lose while a runner processes shared parts again."""
    weight = candidates.find_move_weight(backlog_s)
    for each in found:
        share = owners.get(each.state.incarnation_hash, weight)
        lost_s = each.uncached_tokens / candidates.PREFILL_TOKENS_PER_S
        each.cost += lost_s * share
