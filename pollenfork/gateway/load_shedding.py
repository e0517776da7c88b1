"""Which requests are refused as they come, since they would be late.

Where the best runner has so much to read that a less urgent request would be
late anyway, it is refused when it comes, with when to come back. Taken on, it
would be read, generate slowly beside the others' reading, and often be cut at
its time limit, and make all behind it late too.

What isn't refused goes to its runner at once. Keeping long prompts here until
their runner had read most of what was before them cost more than it saved: the
wait was added to the time at the runner, and in overload a twentieth of what
callers were owed was lost by it.
"""

from pollenfork import ids
from pollenfork.fleet import offers
from pollenfork.routes import model as routes

# A request of the least urgent tier, or another one below the most urgent, is
# refused if its prompt would be read only after so many of its targets. In
# overload by long prompts 0.5 and 1.0 for the least urgent earned a twentieth
# less; 0.35 a tenth less.
_LONGEST_LEAST_URGENT = 0.7
_LONGEST_OTHERS = 2.0
# After so many refusals in a row the next request of the tier is taken on all
# the same: others that fill the runners up to their own limit must not keep a
# tier out for good. With a third refused, it happens once in 200 requests.
_REFUSED_IN_A_ROW = 5


def find_prefill_limit(
    route: routes.Route,
    tiers: tuple[ids.Tier, ...],
    demand: offers.Demand,
    favoured: bool = False,
) -> float | None:
    """Returns the seconds in which a request's prompt must be read.

    Args:
        route: Its route.
        tiers: The tiers of all routes to its service, the most urgent first.
        demand: What it asks of a runner.
        favoured: Whether its account is more urgent than others.

    Returns:
        Seconds from its arrival; None: any.
    """
    if not demand.parts or len(tiers) < 2 or route.tier <= tiers[0]:
        return None
    if not route.target_s:
        return None
    last = route.tier >= tiers[-1] and not favoured
    longest = _LONGEST_LEAST_URGENT if last else _LONGEST_OTHERS
    return route.target_s * longest


class ShedStreaks:
    """Remembers refusals in a row, by service and tier."""

    def __init__(self) -> None:
        self._refused: dict[tuple[ids.ServiceName, ids.Tier], int] = {}

    def admit_after_refusals(
        self, service: ids.ServiceName, tier: ids.Tier
    ) -> bool:
        """Returns whether a request to be refused is taken on all the same."""
        refused = self._refused.get((service, tier), 0)
        due = refused >= _REFUSED_IN_A_ROW
        self._refused[service, tier] = 0 if due else refused + 1
        return due

    def reset(self, service: ids.ServiceName, tier: ids.Tier) -> None:
        """Notes that a request of the tier was taken on in the usual way."""
        self._refused.pop((service, tier), None)
