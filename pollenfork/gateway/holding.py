"""How long a request waits here, or whether it is refused at once.

A runner reads prompts in the order in which they came. So a long prompt that
can wait is kept back while its runner still has much to read; short requests
of the most urgent tier go at once and wait behind little. The time a request
may be kept follows from its own target: it should still be met.

Where the best runner has so much to read that a less urgent request would be
late anyway, it is refused when it comes, with when to come back. Taken on, it
would be read, generate slowly beside the others' reading, and often be cut at
its time limit, and make all behind it late too.
"""

import msgspec

from pollenfork import ids
from pollenfork.fleet import offers
from pollenfork.routes import model as routes

# The part of its target that a request may be kept back, its own reading
# included. The rest is for the last prompt before it and the way back.
_TARGET_PART = 0.6
# What a runner may still have to read when a request goes there, as a part of
# the request's target.
_BACKLOG_PART = 0.1
# A request of the least urgent tier that is late already lets those go first
# that are not, for this part of its time limit.
_LATE_PART = 0.35
_LATE_BACKLOG_PART = 0.2
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
# How often it looks again, in seconds.
LOOK_S = 0.012


class Stage(msgspec.Struct, frozen=True):
    """A limit that holds for a while.

    Attributes:
        until: Monotonic seconds at which it ends.
        backlog_s: Seconds of reading that a runner may have before it.
    """

    until: float
    backlog_s: float


class Holding(msgspec.Struct, frozen=True):
    """The limits on one request.

    Attributes:
        stages: Those on keeping it back, in order.
        longest_s: Seconds in which its prompt must be read; None: any. It
            holds as the request comes: one that was kept back goes on.
    """

    stages: tuple[Stage, ...] = ()
    longest_s: float | None = None

    def find_backlog(self, now: float) -> float | None:
        """Returns the backlog allowed now in seconds; None: any."""
        for stage in self.stages:
            if now < stage.until:
                return stage.backlog_s
        return None


def plan(
    route: routes.Route,
    tiers: tuple[ids.Tier, ...],
    demand: offers.Demand,
    arrived: float,
    limit_s: float,
    favoured: bool = False,
) -> Holding:
    """Returns how a request may be kept back.

    Args:
        route: Its route.
        tiers: The tiers of all routes to its service, the most urgent first.
        demand: What it asks of a runner.
        arrived: Monotonic seconds of its arrival.
        limit_s: Seconds until its answer is of no use.
        favoured: Whether its account is more urgent than others.
    """
    if not demand.parts or len(tiers) < 2 or route.tier <= tiers[0]:
        return Holding()
    reading_s = demand.own_tokens / offers.READ_RATE
    kept_s = route.target_s * _TARGET_PART - reading_s
    stages = [Stage(arrived + kept_s, route.target_s * _BACKLOG_PART)]
    if route.tier >= tiers[-1]:
        late_s = limit_s * _LATE_PART
        backlog_s = route.target_s * _LATE_BACKLOG_PART
        stages.append(Stage(arrived + late_s, backlog_s))
    if not route.target_s:
        return Holding(tuple(stages))
    last = route.tier >= tiers[-1] and not favoured
    longest = _LONGEST_LEAST_URGENT if last else _LONGEST_OTHERS
    return Holding(tuple(stages), route.target_s * longest)


class Turns:
    """Remembers refusals in a row, by service and tier."""

    def __init__(self) -> None:
        self._refused: dict[tuple[ids.ServiceName, ids.Tier], int] = {}

    def take(self, service: ids.ServiceName, tier: ids.Tier) -> bool:
        """Returns whether a request to be refused is taken on all the same."""
        refused = self._refused.get((service, tier), 0)
        due = refused >= _REFUSED_IN_A_ROW
        self._refused[service, tier] = 0 if due else refused + 1
        return due

    def note_served(self, service: ids.ServiceName, tier: ids.Tier) -> None:
        """Notes that a request of the tier was taken on in the usual way."""
        self._refused.pop((service, tier), None)
