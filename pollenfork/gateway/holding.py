"""How long a request waits here so that more urgent ones find room.

A runner reads prompts in the order in which they came. So a long prompt that
can wait is kept back while its runner still has much to read; short requests
of the most urgent tier go at once and wait behind little. The time a request
may be kept follows from its own target: it should still be met.
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
    """The limits on one request, in order."""

    stages: tuple[Stage, ...] = ()

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
) -> Holding:
    """Returns how a request may be kept back.

    Args:
        route: Its route.
        tiers: The tiers of all routes to its service, the most urgent first.
        demand: What it asks of a runner.
        arrived: Monotonic seconds of its arrival.
        limit_s: Seconds until its answer is of no use.
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
    return Holding(tuple(stages))
