"""Which runners there are, by the registry's rows."""

import collections
from collections.abc import Callable
import enum

import msgspec

from pollenfork import ids
from pollenfork.fleet import model

# Runners whose latest start is remembered, those that have left among them, so
# that late news of an earlier one is known as such. Some 200 bytes each.
_STARTS_REMEMBERED = 4096


class Removal(enum.Enum):
    """What came of the news that an entry is gone."""

    UNKNOWN = "unknown"  # Nobody knew of the runner.
    DROPPED = "dropped"  # It takes no more work.
    KEPT = "kept"  # Its entry may only have lapsed; it takes work meanwhile.


class Arrival(enum.Enum):
    """What came of an entry."""

    TAKEN = "taken"  # It is in force.
    RESTARTED = "restarted"  # It is, and its runner has started anew.
    OUTDATED = "outdated"  # It is of a start before the known one.


class Registry:
    """The runners of every service.

    An entry may vanish because its runner left, or because nobody could renew
    it while the store was away. In the latter case it is kept for a moment.

    Attributes:
        kept: How often an entry that vanished was kept.
    """

    def __init__(self) -> None:
        self._runners: dict[ids.EndpointId, model.Runner] = {}
        self._services: dict[ids.ServiceName, dict[ids.EndpointId, None]] = {}
        self._lapsed: dict[ids.EndpointId, float] = {}
        self._trusted_until = 0.0
        self.kept = 0
        self._on_gone: list[Callable[[ids.EndpointId], None]] = []
        self._on_restart: list[Callable[[model.Runner], None]] = []
        # The latest start of each runner, also of those that have left.
        self._starts: collections.OrderedDict[
            ids.EndpointId, ids.RunnerStart
        ] = collections.OrderedDict()

    def when_restarted(self, call: Callable[[model.Runner], None]) -> None:
        """Calls `call` with each runner that has started anew under its id.

        Whatever was believed of it is forgotten by then.
        """
        self._on_restart.append(call)

    def when_gone(self, call: Callable[[ids.EndpointId], None]) -> None:
        """Calls `call` with each runner that takes no more work."""
        self._on_gone.append(call)

    def put(self, runner: model.Runner) -> Arrival:
        """Takes a runner's entry, newer by the registry than the one known."""
        if self._is_outdated(runner):
            return Arrival.OUTDATED
        started_anew = self._note_start(runner)
        old = self._runners.get(runner.id)
        self._lapsed.pop(runner.id, None)
        # What ran there before may still be waited for, though its entry has
        # been gone meanwhile.
        restarted = started_anew or (
            old is not None and runner.is_restart_of(old)
        )
        if old is not None and (restarted or old.service != runner.service):
            self._drop(runner.id)
        self._runners[runner.id] = runner
        self._services.setdefault(runner.service, {})[runner.id] = None
        if runner.leaving and not (old is not None and old.leaving):
            self._tell_gone(runner.id)
        if not restarted:
            return Arrival.TAKEN
        for call in self._on_restart:
            call(runner)
        return Arrival.RESTARTED

    def note_start(
        self, runner: ids.EndpointId, start: ids.RunnerStart | None
    ) -> Arrival:
        """Takes what a runner's own answer says of its start."""
        known = self._runners.get(runner)
        if known is None or known.start is None or start is None:
            return Arrival.TAKEN
        if start == known.start:
            return Arrival.TAKEN
        # It leaves no more than it has left: that was the one before.
        told = msgspec.structs.replace(known, start=start, leaving=False)
        return self.put(told)

    def remove(self, runner: ids.EndpointId, now: float) -> Removal:
        """Takes the news that a runner's entry is gone."""
        known = self._runners.get(runner)
        if known is None:
            return Removal.UNKNOWN
        if now < self._trusted_until and not known.leaving:
            self._lapsed[runner] = self._trusted_until
            self.kept += 1
            return Removal.KEPT
        self._drop(runner)
        return Removal.DROPPED

    def drop(self, runner: ids.EndpointId) -> None:
        """Takes the news that a runner's entry names no runner any more."""
        self._lapsed.pop(runner, None)
        if runner in self._runners:
            self._drop(runner)

    def keep_until(self, until: float) -> None:
        """Takes until when entries that vanish may only have lapsed.

        Args:
            until: Monotonic seconds.
        """
        self._trusted_until = until

    def expire(self, now: float) -> list[ids.EndpointId]:
        """Drops the entries that lapsed and didn't come back; returns them."""
        due = [each for each, until in self._lapsed.items() if now >= until]
        for runner in due:
            del self._lapsed[runner]
            self._drop(runner)
        return due

    def read_kept_until(self, runner: ids.EndpointId) -> float | None:
        """Returns until when a removed entry is kept; None where it isn't."""
        return self._lapsed.get(runner)

    def find(self, runner: ids.EndpointId) -> model.Runner | None:
        """Returns the runner's entry."""
        return self._runners.get(runner)

    def list_takers(self, service: ids.ServiceName) -> list[model.Runner]:
        """Returns the service's runners that take new work."""
        return [
            self._runners[each]
            for each in self._services.get(service, ())
            if not self._runners[each].leaving
        ]

    def list_all(self) -> list[model.Runner]:
        """Returns the runners of all services."""
        return list(self._runners.values())

    @property
    def size(self) -> int:
        """The number of runners known."""
        return len(self._runners)

    def _is_outdated(self, runner: model.Runner) -> bool:
        latest = self._starts.get(runner.id)
        return (
            latest is not None
            and runner.start is not None
            and runner.start < latest
        )

    def _note_start(self, runner: model.Runner) -> bool:
        """Takes a runner's start; returns whether an earlier one was known."""
        if runner.start is None:
            return False
        before = self._starts.get(runner.id)
        self._starts[runner.id] = runner.start
        self._starts.move_to_end(runner.id)
        if len(self._starts) > _STARTS_REMEMBERED:
            self._starts.popitem(last=False)
        return before is not None and before < runner.start

    def _drop(self, runner: ids.EndpointId) -> None:
        known = self._runners.pop(runner)
        self._services[known.service].pop(runner, None)
        self._tell_gone(runner)

    def _tell_gone(self, runner: ids.EndpointId) -> None:
        for call in self._on_gone:
            call(runner)
