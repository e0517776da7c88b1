"""Judges which incarnation of a runner a connection leads to.

A runner's entry tells what runs under its id, but a runner may crash and start
again, with other software, before its entry tells of it. A connection leads to
one process for as long as it lasts. One that breaks is a sign that the process
may have ended; connections made later may lead to its successor.
"""

import collections
from collections.abc import Callable
import math

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import signs as end_signs

# What a runner sent before it ended may arrive up to this much later.
IN_FLIGHT_S = 0.3
# Signs kept for each runner, and for how long at most, in seconds.
_MAX_SIGNS = 64
_MAX_AGE_S = 60.0

UNKNOWN = ids.SoftwareVersion("")


class Continuity:
    """The runners that may have ended and started again unnoticed.

    A runner is in doubt after a sign until one of these shows that its process
    has lived on, or which one runs now:

    - data on a connection that was made before the sign;
    - a new connection, made sooner than another process could listen;
    - the runner itself, which names its start;
    - an entry of a later start, or one that is listed again;
    - its entry, if it is still listed unchanged after the time in which entries
      of ended runners are removed.

    An instance that has just started has no signs. It holds all runners for
    uncertain until it has asked other instances for theirs.

    Attributes:
        counts: The number of signs by observation.
    """

    def __init__(
        self, runners: registry.Registry, entry_lifetime_s: float
    ) -> None:
        """Creates an instance without signs.

        Args:
            runners: The runners of all services.
            entry_lifetime_s: Seconds within which the entry of a runner that
                has ended is removed or replaced, as seen here.
        """
        self._runners = runners
        self._lifetime_s = entry_lifetime_s
        self._signs: dict[ids.EndpointId, list[end_signs.Sign]] = {}
        self._on_doubted: list[Callable[[ids.EndpointId], None]] = []
        self._on_confirmed: list[Callable[[ids.EndpointId], None]] = []
        # When a runner last named the start of its entry itself.
        self._proven_at: dict[ids.EndpointId, float] = {}
        self._is_held = False
        self.counts: collections.Counter[end_signs.Observation] = (
            collections.Counter()
        )
        runners.when_restarted(self._on_restarted)
        runners.when_listed(self._on_listed)

    def when_doubted(self, call: Callable[[ids.EndpointId], None]) -> None:
        """Registers a callback for each sign that puts a runner in doubt."""
        self._on_doubted.append(call)

    def when_confirmed(self, call: Callable[[ids.EndpointId], None]) -> None:
        """Registers a callback for runners that are in doubt no more."""
        self._on_confirmed.append(call)

    def hold(self) -> None:
        """Counts all runners as uncertain until `release` is called."""
        self._is_held = True

    def release(self) -> None:
        """Counts the runners without signs as certain from now on."""
        if not self._is_held:
            return
        self._is_held = False
        for runner in self._runners.list_all():
            if not self._list_open(runner.id):
                self._notify_confirmed(runner.id)

    def record_closed(
        self,
        runner: ids.EndpointId,
        made: end_signs.ConnectionTimes,
        now: float,
        *,
        is_late: bool = False,
    ) -> None:
        """Records that a runner closed a connection without being asked to.

        Args:
            runner: The runner.
            made: When the connection was made.
            now: Monotonic seconds.
            is_late: Whether that may have been long ago.
        """
        sign = end_signs.make_closed(made, now, is_late=is_late)
        self._record(runner, sign)

    def record_refused(
        self,
        runner: ids.EndpointId,
        now: float,
        now_unix: float,
        *,
        reported: bool,
    ) -> None:
        """Records that it couldn't be connected to, or another one answered.

        Args:
            runner: The runner.
            now: Monotonic seconds.
            now_unix: The Unix time, in seconds.
            reported: Whether another instance has observed it.
        """
        sign = end_signs.make_refused(now, now_unix, reported=reported)
        self._record(runner, sign)

    def record_told(
        self, runner: ids.EndpointId, doubt: end_signs.Doubt, now: float
    ) -> None:
        """Records the signs that another instance had before this one started.

        Args:
            runner: The runner.
            doubt: What the other instance tells of it.
            now: Monotonic seconds.
        """
        sign = end_signs.make_told(doubt, now)
        if sign.at >= self._proven_at.get(runner, -math.inf) - IN_FLIGHT_S:
            self._record(runner, sign)

    def record_data(
        self,
        runner: ids.EndpointId,
        made: end_signs.ConnectionTimes,
        now: float,
    ) -> None:
        """Records that a runner has sent something.

        Args:
            runner: The runner.
            made: When the connection that carried it was made.
            now: Monotonic seconds.
        """
        if runner not in self._signs:
            return
        signs = self._list_open(runner)
        if signs and made.monotonic < min(each.before for each in signs):
            known = self._runners.find(runner)
            if known is None:
                return
            if known.start is None or made.is_since_start(known):
                self._dismiss(runner, now - IN_FLIGHT_S)

    def record_reached(self, runner: ids.EndpointId, made_at: float) -> None:
        """Records that a new connection to a runner holds.

        A runner that has just closed another one hasn't ended, as no successor
        could listen so soon.

        Args:
            runner: The runner.
            made_at: Monotonic seconds at which the connection was made.
        """
        signs = self._signs.get(runner, [])
        recent = [
            each
            for each in signs
            if made_at - end_signs.RESTART_S <= each.at <= made_at
        ]
        closed = end_signs.Observation.CLOSED
        if all(each.observation is closed for each in recent):
            self._keep(runner, [each for each in signs if each not in recent])

    def record_start(
        self, runner: ids.EndpointId, start: ids.RunnerStart, now: float
    ) -> None:
        """Records the start that a runner has just named itself."""
        known = self._runners.find(runner)
        if known is not None and known.start == start:
            self._proven_at[runner] = now
            self._dismiss(runner, now - IN_FLIGHT_S)

    def forget_observed(self, service: ids.ServiceName) -> None:
        """Drops this instance's own signs of a service's runners.

        For a service none of whose runners can be reached: the network path
        broke, and not all runners at once.
        """
        for runner in list(self._signs):
            known = self._runners.find(runner)
            if known is None or known.service != service:
                continue
            self._keep(
                runner,
                [
                    each
                    for each in self._signs[runner]
                    if each.observation is end_signs.Observation.REPORTED
                ],
            )

    def sweep(self, now: float, *, is_current: bool) -> None:
        """Drops signs that are out of date; called regularly.

        Args:
            now: Monotonic seconds.
            is_current: Whether the registry is known to be current.
        """
        for runner in list(self._proven_at):
            if self._runners.find(runner) is None:
                del self._proven_at[runner]
        for runner, signs in list(self._signs.items()):
            listed = self._runners.find(runner) is not None
            kept_until = self._runners.get_kept_until(runner)
            for each in signs:
                if not is_current or not listed or kept_until is not None:
                    each.current_since = now
            self._keep(
                runner,
                [
                    each
                    for each in signs
                    if now - each.current_since < self._lifetime_s
                    and now - each.at < _MAX_AGE_S
                ],
            )

    def has_signs(self, runner: ids.EndpointId) -> bool:
        """Returns whether there are any signs of a runner."""
        return runner in self._signs

    def list_doubts(
        self, now: float
    ) -> list[tuple[ids.EndpointId, end_signs.Doubt]]:
        """Returns the runners that an instance without signs believes wrongly.

        Those that have started again since are among them, as their entries may
        be known here only.

        Args:
            now: Monotonic seconds.

        Returns:
            The runners and what to tell of them, the latest signs first.
        """
        doubts = {
            runner: end_signs.sum_up(signs, now)
            for runner, signs in self._signs.items()
        }
        for known in self._runners.list_undescribed():
            if known.start is not None:
                # Only an entry of this start or a later one explains it.
                doubts[known.id] = end_signs.Doubt((known.start - 1) / 1000.0)
        return sorted(doubts.items(), key=lambda each: each[1].age_s)

    def is_certain(self, runner: model.Runner) -> bool:
        """Returns whether a new connection leads to the process of its entry.

        Args:
            runner: The runner, as it is known now.
        """
        if self._is_held:
            return False
        is_described = self._runners.is_described(runner.id)
        return is_described and not self._list_open(runner.id)

    def find_version(
        self, runner: model.Runner, made: end_signs.ConnectionTimes
    ) -> ids.SoftwareVersion:
        """Returns the software version at the end of a connection.

        Args:
            runner: The runner, as it was known when the connection was used.
            made: When the connection was made.

        Returns:
            The version; `UNKNOWN`: that isn't known, or not yet.
        """
        if self._is_held:
            return UNKNOWN
        known = self._runners.find(runner.id) or runner
        if known.start != runner.start and not made.is_since_start(known):
            # An earlier process wrote it than the one that runs now.
            if known.start is None or runner.start is None:
                return UNKNOWN
            if made.unix + end_signs.CLOCK_SKEW_S >= known.start / 1000.0:
                return UNKNOWN
            known = runner
        elif known.start is None and known.version != runner.version:
            return UNKNOWN
        signs = self._list_open(runner.id, known.start)
        if any(made.monotonic >= each.before for each in signs):
            return UNKNOWN
        return known.version

    def is_replaced(
        self, runner: model.Runner, made: end_signs.ConnectionTimes
    ) -> bool:
        """Returns whether another start is known than the one that wrote.

        What is unknown of a connection's process then stays so.

        Args:
            runner: The runner, as it was known when the connection was used.
            made: When the connection was made.
        """
        known = self._runners.find(runner.id)
        if known is None:
            return False
        return known.start != runner.start and not made.is_since_start(known)

    def _record(self, runner: ids.EndpointId, sign: end_signs.Sign) -> None:
        self.counts[sign.observation] += 1
        signs = self._signs.setdefault(runner, [])
        signs.append(sign)
        if len(signs) > _MAX_SIGNS:
            signs[:2] = [end_signs.merge(*signs[:2])]
        if self._list_open(runner):
            for call in self._on_doubted:
                call(runner)

    def _list_open(
        self,
        runner: ids.EndpointId,
        start: ids.RunnerStart | None = None,
    ) -> list[end_signs.Sign]:
        """Returns the signs that a runner's start doesn't explain.

        Args:
            runner: The runner.
            start: The start; None: that of its entry.
        """
        signs = self._signs.get(runner)
        if not signs:
            return []
        if start is None:
            known = self._runners.find(runner)
            start = known.start if known is not None else None
        if start is None:
            return signs
        started_at = start / 1000.0
        return [each for each in signs if each.explained_from >= started_at]

    def _dismiss(self, runner: ids.EndpointId, alive_at: float) -> None:
        """Drops the signs of a runner that has lived on since."""
        signs = self._signs.get(runner)
        if signs is not None:
            kept = [each for each in signs if each.at >= alive_at]
            self._keep(runner, kept)

    def _keep(self, runner: ids.EndpointId, kept: list[end_signs.Sign]) -> None:
        signs = self._signs.get(runner, [])
        if len(kept) == len(signs):
            return
        was_doubted = bool(self._list_open(runner))
        if kept:
            self._signs[runner] = kept
        else:
            del self._signs[runner]
        if was_doubted and not self._list_open(runner):
            self._notify_confirmed(runner)

    def _on_restarted(self, runner: model.Runner) -> None:
        self._proven_at.pop(runner.id, None)
        if runner.start is None:
            # Nothing tells which signs came before this start.
            self._signs.pop(runner.id, None)
        if not self._list_open(runner.id):
            self._notify_confirmed(runner.id)

    def _on_listed(self, runner: model.Runner) -> None:
        # It has been written again since its removal, which came after the
        # signs.
        if runner.id in self._signs:
            self._keep(runner.id, [])

    def _notify_confirmed(self, runner: ids.EndpointId) -> None:
        for call in self._on_confirmed:
            call(runner)
