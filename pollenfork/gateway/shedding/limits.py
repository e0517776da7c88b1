"""How long requests may wait at a runner, and why they may begin.

If the best runner has so much prefill queued that a less urgent request would
be late, the request is refused on arrival, with a time to retry. If admitted,
it would be processed, generate slowly beside the prefill of others, often be
cut off at its time limit, and delay all requests behind it.

Requests that aren't shed are sent to their runner at once. Queueing long
prompts here until their runner had processed most of its backlog cost more than
it saved: the wait was added to the time at the runner, and under overload a
twentieth of the value due to callers was lost.
"""

from collections.abc import Mapping, Sequence
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


def find_prefill_limit(
    route: routes.Route,
    tier: ids.Tier,
    tiers: Sequence[ids.Tier],
    demand: candidates.RequestProfile,
) -> float | None:
    """Returns the time limit for processing a request's prompt.

    Args:
        route: The request's route.
        tier: The request's tier.
        tiers: The tiers of all requests to its service, the most urgent first.
        demand: What it needs from a runner.

    Returns:
        Seconds from its arrival; None: no limit.
    """
    if not demand.parts or len(tiers) < 2 or tier <= tiers[0]:
        return None
    if not route.target_s:
        return None
    is_least = tier >= tiers[-1]
    return route.target_s * (_LEAST_URGENT_LIMIT if is_least else _OTHERS_LIMIT)


def format_limits(targets: Mapping[ids.Tier, float]) -> str:
    """Returns the prefill limits of all routes' tiers, for a log line.

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
    `URGENT` ones aren't, but less urgent tiers must give way first. `SHARE`
    ones belong to the share that is kept for refused tiers. `PROMISED` ones
    were told to return. `RETRY` and `SUSPECT` ones aren't shed.
    """

    IN_TIME = "in_time"
    URGENT = "urgent"
    SHARE = "share"
    PROMISED = "promised"
    RETRY = "retry"
    SUSPECT = "suspect"
