"""The known runners, as the registry table lists them."""

import collections
from collections.abc import Callable
import enum

import msgspec

from pollenfork import ids
from pollenfork.fleet import departures
from pollenfork.fleet import model
from pollenfork.fleet import restoration

# The number of runners, departed ones included, whose latest start is kept, so
# that delayed updates about an earlier incarnation are recognised. About 200
# bytes each.
_MAX_STARTS = 4096


class RemoveResult(enum.Enum):
    """The result of removing an entry."""

    UNKNOWN = "unknown"  # The runner wasn't known.
    DROPPED = "dropped"  # The runner accepts no more work.
    # The entry may only have expired; the runner accepts work meanwhile.
    KEPT = "kept"


class PutResult(enum.Enum):
    """The result of adding or updating an entry."""

    TAKEN = "taken"  # The entry is in use.
    RESTARTED = "restarted"  # It is in use, and the runner has restarted.
    OUTDATED = "outdated"  # It belongs to an earlier incarnation.
    # It was removed before the store was restored; it may be used later.
    WITHHELD = "withheld"

    @property
    def in_use(self) -> bool:
        """Whether the entry was taken."""
        return self in (PutResult.TAKEN, PutResult.RESTARTED)


class Registry:
    """The runners of every service.

    An entry may be removed because its runner left, or because it couldn't be
    renewed while the store was unavailable. In the latter case the entry is
    kept for a short time.

    A runner is leaving if its entry or any of its answers says so.

    If the store is restored from a copy, the copy may list runners that have
    left, lack runners that are alive, and show earlier states.

    Attributes:
        kept: How many removed entries were kept.
    """

    def __init__(self) -> None:
        self._runners: dict[ids.EndpointId, model.Runner] = {}
        self._services: dict[ids.ServiceName, dict[ids.EndpointId, None]] = {}
        self._expiring: dict[ids.EndpointId, float] = {}
        self._restoration = restoration.Restoration()
        self._kept_until = 0.0
        self._departures = departures.Departures()
        # Runners that are leaving although their entries say otherwise.
        self._announced: set[ids.EndpointId] = set()
        self.kept = 0
        self._on_gone: list[Callable[[ids.EndpointId], None]] = []
        self._on_restart: list[Callable[[model.Runner], None]] = []
        # Runners that have named a later start than any entry of theirs.
        self._undescribed: set[ids.EndpointId] = set()
        self._on_start_named: list[Callable[[model.Runner], None]] = []
        self._on_described: list[Callable[[model.Runner], None]] = []
        self._on_listed: list[Callable[[model.Runner], None]] = []
        # The latest start of each runner, departed ones included.
        self._starts: collections.OrderedDict[
            ids.EndpointId, ids.RunnerStart
        ] = collections.OrderedDict()

    def when_restarted(self, call: Callable[[model.Runner], None]) -> None:
        """Registers a callback for runners that restart under the same id.

        When it is called, all state of the earlier incarnation is discarded.
        """
        self._on_restart.append(call)

    def when_start_named(self, call: Callable[[model.Runner], None]) -> None:
        """Registers a callback for runners that name the start of their entry.

        They name it themselves, not by their entries.
        """
        self._on_start_named.append(call)

    def when_described(self, call: Callable[[model.Runner], None]) -> None:
        """Registers a callback for entries of starts that were known before.

        Such a start was first named by the runner itself.
        """
        self._on_described.append(call)

    def when_listed(self, call: Callable[[model.Runner], None]) -> None:
        """Registers a callback for entries of runners that weren't listed.

        Not for those of a later start than known, which are restarts.
        """
        self._on_listed.append(call)

    def when_gone(self, call: Callable[[ids.EndpointId], None]) -> None:
        """Registers a callback for runners that accept no more work."""
        self._on_gone.append(call)

    def put(self, runner: model.Runner) -> PutResult:
        """Adds or updates an entry.

        Args:
            runner: The entry, which the registry orders after the known one.
        """
        if self._is_outdated(runner):
            return PutResult.OUTDATED
        old = self._runners.get(runner.id)
        if old is not None:
            runner = self._restoration.keep_sequence(runner, old)
        elif self._restoration.withhold(runner):
            return PutResult.WITHHELD
        started_again = self._update_start(runner)
        self._undescribed.discard(runner.id)
        self._expiring.pop(runner.id, None)
        # Requests of the earlier incarnation may still be awaited, even though
        # its entry has been removed meanwhile.
        restarted = started_again or (
            old is not None and runner.is_restart_of(old)
        )
        if old is not None and (restarted or old.service != runner.service):
            self._drop(runner.id)
        if restarted and runner.start is None:
            self._departures.discard(runner.incarnation)
        self._announced.discard(runner.id)
        if not runner.leaving and self._departures.has(runner.incarnation):
            runner = msgspec.structs.replace(runner, leaving=True)
            self._announced.add(runner.id)
        self._runners[runner.id] = runner
        self._services.setdefault(runner.service, {})[runner.id] = None
        if runner.leaving and not (old is not None and old.leaving):
            self._notify_gone(runner.id)
        if restarted:
            _notify(self._on_restart, runner)
            return PutResult.RESTARTED
        self._notify_taken(runner, old)
        return PutResult.TAKEN

    def announce_leaving(self, runner: model.Runner) -> bool:
        """Marks a runner that announced in an answer that it leaves.

        Args:
            runner: Its entry when the request was sent.

        Returns:
            Whether this wasn't known yet.
        """
        known = self._runners.get(runner.id)
        if known is not None and known.is_restart_of(runner):
            return False  # The answer is of an earlier incarnation.
        announced = departures.hash_incarnation(runner.incarnation)
        if not self._departures.add(announced):
            return False
        if known is not None:
            self._mark_leaving(known)
        return True

    def record_departure(self, announced: int) -> ids.EndpointId | None:
        """Marks a runner that announced to a peer that it leaves.

        Args:
            announced: The hash of its incarnation.

        Returns:
            The runner, if it is known here and wasn't known to leave.
        """
        if not self._departures.add_reported(announced):
            return None
        for runner in self.list_all():
            hashed = departures.hash_incarnation(runner.incarnation)
            if hashed == announced and not runner.leaving:
                self._mark_leaving(runner)
                return runner.id
        return None

    def take_departures(self) -> list[int]:
        """Returns the hashes of newly announced departures."""
        return self._departures.take_recent()

    def list_departures(self) -> list[int]:
        """Returns the hashes of leaving runners whose entries don't say so."""
        hashes = [
            departures.hash_incarnation(self._runners[each].incarnation)
            for each in self._announced
        ]
        return [each for each in hashes if self._departures.is_shareable(each)]

    def record_start(
        self, runner: ids.EndpointId, start: ids.RunnerStart | None
    ) -> PutResult:
        """Updates a runner's start from what the runner itself reported."""
        known = self._runners.get(runner)
        if known is None or known.start is None or start is None:
            return PutResult.TAKEN
        if start == known.start:
            _notify(self._on_start_named, known)
            return PutResult.TAKEN
        # Only the earlier incarnation was leaving, not the new one, and the
        # entry tells the software version of the earlier one.
        updated = msgspec.structs.replace(
            known,
            start=start,
            leaving=False,
            version=ids.SoftwareVersion(""),
        )
        taken = self.put(updated)
        if taken.in_use:
            self._undescribed.add(runner)
        return taken

    def remove(self, runner: ids.EndpointId, now: float) -> RemoveResult:
        """Handles the removal of a runner's entry from the registry."""
        known = self._runners.get(runner)
        self._restoration.drop(runner)
        if known is None:
            return RemoveResult.UNKNOWN
        if now < self._kept_until and not known.leaving:
            self._expiring[runner] = self._kept_until
            self.kept += 1
            return RemoveResult.KEPT
        self._drop(runner)
        return RemoveResult.DROPPED

    def drop(self, runner: ids.EndpointId) -> None:
        """Drops a runner whose entry has become invalid."""
        self._expiring.pop(runner, None)
        if runner in self._runners:
            self._drop(runner)

    def begin_epoch(self, now: float, kept_until: float) -> None:
        """Prepares for the entries of a store that was restored from a copy.

        Args:
            now: Monotonic seconds.
            kept_until: Until when entries that the copy lacks are assumed to
                be written again.
        """
        removed = self._restoration.list_removed()
        for runner in (*self._runners.values(), *removed):
            if runner.leaving:
                self._departures.add(
                    departures.hash_incarnation(runner.incarnation)
                )
        self._restoration.begin(self._runners, now)
        self.keep_removed_until(kept_until)

    def keep_removed_until(self, until: float) -> None:
        """Sets until when removed entries are assumed to have expired only.

        Args:
            until: Monotonic seconds.
        """
        self._kept_until = until

    def expire(self, now: float) -> list[ids.EndpointId]:
        """Drops kept entries that weren't renewed in time; returns them."""
        for entry in self._restoration.release(now):
            self.put(entry)
        due = [each for each, until in self._expiring.items() if now >= until]
        for runner in due:
            del self._expiring[runner]
            self._drop(runner)
        return due

    def is_described(self, runner: ids.EndpointId) -> bool:
        """Returns whether a runner's entry is of its latest known start."""
        return runner not in self._undescribed

    def list_undescribed(self) -> list[model.Runner]:
        """Returns runners that have named a later start than their entries."""
        return [self._runners[each] for each in self._undescribed]

    def get_kept_until(self, runner: ids.EndpointId) -> float | None:
        """Returns until when a removed entry is kept; None if it isn't."""
        return self._expiring.get(runner)

    def find(self, runner: ids.EndpointId) -> model.Runner | None:
        """Returns the runner's entry; None if it isn't known."""
        return self._runners.get(runner)

    def is_accepting(self, incarnation: model.Incarnation) -> bool:
        """Returns whether a runner still runs and accepts new work."""
        known = self._runners.get(incarnation.id)
        return (
            known is not None
            and known.incarnation == incarnation
            and not known.leaving
        )

    def list_accepting(self, service: ids.ServiceName) -> list[model.Runner]:
        """Returns the service's runners that accept new work."""
        return [
            self._runners[each]
            for each in self._services.get(service, ())
            if not self._runners[each].leaving
        ]

    def list_services(self) -> list[ids.ServiceName]:
        """Returns the services that have had runners."""
        return list(self._services)

    def list_all(self) -> list[model.Runner]:
        """Returns the runners of all services."""
        return list(self._runners.values())

    @property
    def size(self) -> int:
        """The number of known runners."""
        return len(self._runners)

    def _is_outdated(self, runner: model.Runner) -> bool:
        latest = self._starts.get(runner.id)
        return (
            latest is not None
            and runner.start is not None
            and runner.start < latest
        )

    def _update_start(self, runner: model.Runner) -> bool:
        """Stores a runner's start; returns whether it replaces one."""
        if runner.start is None:
            return False
        before = self._starts.get(runner.id)
        self._starts[runner.id] = runner.start
        self._starts.move_to_end(runner.id)
        if len(self._starts) > _MAX_STARTS:
            self._starts.popitem(last=False)
        return before is not None and before < runner.start

    def _mark_leaving(self, runner: model.Runner) -> None:
        if runner.leaving:
            return
        self._announced.add(runner.id)
        self._runners[runner.id] = msgspec.structs.replace(runner, leaving=True)
        self._notify_gone(runner.id)

    def _drop(self, runner: ids.EndpointId) -> None:
        self._announced.discard(runner)
        self._undescribed.discard(runner)
        known = self._runners.pop(runner)
        self._restoration.record_removed(known)
        self._services[known.service].pop(runner, None)
        self._notify_gone(runner)

    def _notify_taken(
        self, runner: model.Runner, old: model.Runner | None
    ) -> None:
        if old is None:
            _notify(self._on_listed, runner)
        elif not old.version:
            _notify(self._on_described, runner)

    def _notify_gone(self, runner: ids.EndpointId) -> None:
        for call in self._on_gone:
            call(runner)


def _notify(
    calls: list[Callable[[model.Runner], None]], runner: model.Runner
) -> None:
    for call in calls:
        call(runner)
