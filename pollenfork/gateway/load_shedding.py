"""Sheds requests on arrival that would miss their target anyway.

If the best runner has so much prefill queued that a less urgent request would
be late, the request is refused on arrival, with a time to retry. If admitted,
it would be processed, generate slowly beside the prefill of others, often be
cut off at its time limit, and delay all requests behind it.

Requests that aren't shed are sent to their runner at once. Queueing long
prompts here until their runner had processed most of its backlog cost more than
it saved: the wait was added to the time at the runner, and under overload a
twentieth of the value due to callers was lost.
"""

from collections.abc import Mapping
import enum

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.routes import model as routes

# Limits on the prefill delay of a request, in multiples of its latency target:
# for the least urgent tier, and for the others below the most urgent. Under
# overload by long prompts, 0.5 and 1.0 for the least urgent tier earned a
# twentieth less; 0.35 a tenth less.
_LEAST_URGENT_LIMIT = 0.7
_OTHERS_LIMIT = 2.0
# After this many consecutive refusals the next request of the tier is admitted
# anyway, so that tiers that fill the runners up to their own limits can't
# starve it. With a third of requests refused, this happens once in 200
# requests.
_MAX_CONSECUTIVE_REFUSALS = 5


def find_prefill_limit(
    route: routes.Route,
    tiers: tuple[ids.Tier, ...],
    demand: candidates.RequestProfile,
    favoured: bool = False,
) -> float | None:
    """Returns the time limit for processing a request's prompt.

    Args:
        route: The request's route.
        tiers: The tiers of all routes to its service, the most urgent first.
        demand: What it needs from a runner.
        favoured: Whether its account has a higher priority than others.

    Returns:
        Seconds from its arrival; None: no limit.
    """
    if not demand.parts or len(tiers) < 2 or route.tier <= tiers[0]:
        return None
    if not route.target_s:
        return None
    last = route.tier >= tiers[-1] and not favoured
    factor = _LEAST_URGENT_LIMIT if last else _OTHERS_LIMIT
    return route.target_s * factor


def format_limits(targets: Mapping[ids.Tier, float]) -> str:
    """Returns the prefill limits of all tiers of a service, for a log line.

    Args:
        targets: The longest target of each tier's routes, in seconds.
    """
    if len(targets) < 2:
        return "-"
    first, last = min(targets), max(targets)
    limits = []
    for tier in sorted(targets):
        factor = _LEAST_URGENT_LIMIT if tier == last else _OTHERS_LIMIT
        limit_s = targets[tier] * factor
        unlimited = tier == first or not limit_s
        limits.append(f"{tier}:{'-' if unlimited else round(limit_s * 1000)}")
    return ",".join(limits)


class Admission(enum.Enum):
    """Why a request may be sent to a runner.

    `IN_TIME` requests are expected to be processed in time, or have no limit.
    `AFTER_REFUSALS` requests follow refusals of their tier. `PROMISED` ones
    were told to return. `RETRY` and `SUSPECT` ones aren't shed.
    """

    IN_TIME = "in_time"
    AFTER_REFUSALS = "after_refusals"
    PROMISED = "promised"
    RETRY = "retry"
    SUSPECT = "suspect"


class ShedStreaks:
    """Counts consecutive refusals by service and tier."""

    def __init__(self) -> None:
        self._refused: dict[tuple[ids.ServiceName, ids.Tier], int] = {}

    def admit_after_refusals(
        self, service: ids.ServiceName, tier: ids.Tier
    ) -> bool:
        """Counts a refusal; returns whether to admit the request instead."""
        refused = self._refused.get((service, tier), 0)
        due = refused >= _MAX_CONSECUTIVE_REFUSALS
        self._refused[service, tier] = 0 if due else refused + 1
        return due

    def count(self, service: ids.ServiceName, tier: ids.Tier) -> int:
        """Returns the number of consecutive refusals."""
        return self._refused.get((service, tier), 0)

    def reset(self, service: ids.ServiceName, tier: ids.Tier) -> None:
        """Resets the count, as a request of the tier was admitted normally."""
        self._refused.pop((service, tier), None)
