"""Pauses that runners request of this instance when they refuse a request.

A pause concerns one instance only, because a runner asks each for its own. It
says that the runner is full, not that it is ill.
"""

import math
import random

import msgspec

from pollenfork import ids
from pollenfork.fleet import model

# Longer pauses are considered invalid, in seconds.
MAX_PAUSE_S = 3600.0
# After a pause, one request at a time is sent until the runner has accepted
# one. A runner that still refuses does so within milliseconds.
_TRIAL_S = 0.05
# Meanwhile requests that can't be sent to another runner after a refusal use
# others, for this long at most, in seconds.
_RETRIABLE_FIRST_S = 0.5
# Instances return from a pause spread over this time, so that hundreds of them
# don't reach one runner at once: per instance, and at most, in seconds.
_SPREAD_PER_INSTANCE_S = 0.0025
_MAX_SPREAD_S = 0.8
# If all runners pause, each more urgent tier whose callers were told to return
# then gets the first runners for this long, in seconds.
_LEAD_S = 0.1
# The number of planned returns that are kept for each service, the latest
# ones.
_MAX_RETURNS = 1000
# Ended pauses of runners that were not used since are kept this long, in
# seconds.
_KEPT_S = 10.0


class ParsedPause(msgspec.Struct, frozen=True):
    """What one answer states about a pause.

    Attributes:
        seconds: The length of the pause; None: none is requested.
        well_formed: Whether it has the agreed form.
    """

    seconds: float | None = None
    well_formed: bool = True


NO_PAUSE = ParsedPause()


def parse(stated: tuple[float | None, ...]) -> ParsedPause:
    """Returns the pause that one answer requests.

    The longest of several applies. Values that aren't numbers, are negative or
    exceed `MAX_PAUSE_S` are ignored.

    Args:
        stated: The values in seconds; None for one that isn't a number.
    """
    if not stated:
        return NO_PAUSE
    valid = [each for each in stated if each is not None and _is_valid(each)]
    well_formed = len(stated) == 1 == len(valid)
    return ParsedPause(max(valid, default=None), well_formed)


class _Pause(msgspec.Struct):
    """One runner's pause.

    Attributes:
        requested_until: Monotonic seconds until which it wants no request.
        until: The same, with this instance's share of the spread.
        tried_at: When the last request since then was sent.
    """

    requested_until: float
    until: float
    tried_at: float = -math.inf


class Pauses:
    """The runners that have asked this instance to send them nothing."""

    def __init__(self, rng: random.Random) -> None:
        """Creates an instance without pauses.

        Args:
            rng: Spreads the returns of many instances over time.
        """
        self._rng = rng
        self._instances = 1
        self._pauses: dict[model.Incarnation, _Pause] = {}
        # When callers were told to return, by service and tier.
        self._returns: dict[ids.ServiceName, list[tuple[float, ids.Tier]]] = {}

    def set_instances(self, instances: int) -> None:
        """Sets how many instances use the runners."""
        self._instances = instances

    def record(
        self, runner: model.Incarnation, seconds: float, now: float
    ) -> None:
        """Records a requested pause; it doesn't shorten an earlier one."""
        self._drop_expired(now)
        until = now + seconds
        known = self._pauses.get(runner)
        if known is not None and known.requested_until >= until:
            return
        spread_s = min(_MAX_SPREAD_S, self._instances * _SPREAD_PER_INSTANCE_S)
        self._pauses[runner] = _Pause(
            until, until + self._rng.uniform(0.0, spread_s)
        )

    def record_accepted(self, runner: model.Incarnation, now: float) -> None:
        """Records an answer without a pause, which doesn't end one early."""
        known = self._pauses.get(runner)
        if known is not None and known.until <= now:
            del self._pauses[runner]

    def record_sent(self, runner: model.Incarnation, now: float) -> None:
        """Records that a request is being sent to a runner."""
        known = self._pauses.get(runner)
        if known is not None:
            known.tried_at = now

    def forget(self, runner: model.Incarnation) -> None:
        """Drops the pause of a runner that has restarted."""
        self._pauses.pop(runner, None)

    def is_paused(self, runner: model.Incarnation, now: float) -> bool:
        """Returns whether a chosen runner mustn't be sent a request now."""
        known = self._pauses.get(runner)
        return known is not None and now < known.until

    def is_unconfirmed(self, runner: model.Incarnation, now: float) -> bool:
        """Returns whether a runner may refuse the first request after a pause.

        If it isn't tried for a while, it is given the benefit of the doubt.
        """
        known = self._pauses.get(runner)
        return known is not None and now < known.until + _RETRIABLE_FIRST_S

    def find_until(
        self, runner: model.Runner, tier: ids.Tier, now: float
    ) -> float:
        """Returns the earliest time to send a runner a request of a tier."""
        # Called for every runner at every choice; pauses are rare.
        if not self._pauses:
            return now
        known = self._pauses.get(runner.incarnation)
        if known is None:
            return now
        lead_s = self._count_ahead(runner.service, tier, known.until) * _LEAD_S
        return max(known.until + lead_s, known.tried_at + _TRIAL_S)

    def plan_return(
        self, paused: list[model.Runner], tier: ids.Tier, now: float
    ) -> float:
        """Returns the seconds after which a refused caller should return.

        Args:
            paused: All runners that could serve it, at least one.
            tier: The request's tier.
            now: Monotonic seconds.
        """
        service = paused[0].service
        planned = self._returns.setdefault(service, [])
        planned[:] = [each for each in planned if each[0] > now - _LEAD_S]
        ahead = sum(urgency <= tier for _, urgency in planned)
        ahead *= self._instances
        ends = sorted(
            (self.find_until(each, tier, now), each.slots) for each in paused
        )
        at = ends[-1][0]
        for until, slots in ends:
            if ahead < slots:
                at = until
                break
            ahead -= slots
        planned.append((at, tier))
        del planned[:-_MAX_RETURNS]
        return max(0.0, at - now)

    def _count_ahead(
        self, service: ids.ServiceName, tier: ids.Tier, until: float
    ) -> int:
        """Returns how many more urgent tiers have callers that return then."""
        tiers = {
            urgency
            for at, urgency in self._returns.get(service, ())
            if urgency < tier and until - _LEAD_S < at < until + _LEAD_S
        }
        return len(tiers)

    def _drop_expired(self, now: float) -> None:
        for runner, pause in list(self._pauses.items()):
            if pause.until < now - _KEPT_S:
                del self._pauses[runner]


def _is_valid(seconds: float) -> bool:
    return math.isfinite(seconds) and 0.0 <= seconds <= MAX_PAUSE_S
