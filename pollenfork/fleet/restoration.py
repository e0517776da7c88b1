"""Decides which entries of a restored store to believe.

A store that was restored from a copy lists runners that have left since, and
shows earlier states of others, until their writers have noticed.
"""

import collections
from collections.abc import Iterable

import msgspec

from pollenfork import ids
from pollenfork.fleet import model

# The number of removed runners whose last entries are kept. About 500 bytes
# each.
_MAX_REMOVED = 1024
# How long a restored store may list runners that have left, in seconds: their
# removals are written again at once, and those that are gone stop renewing
# their entries.
_WITHHELD_S = 5.0


class Restoration:
    """Compares the entries of a restored store with those known before."""

    def __init__(self) -> None:
        # The last entries of runners that were removed, by incarnation.
        self._removed: collections.OrderedDict[
            model.Incarnation, model.Runner
        ] = collections.OrderedDict()
        # Entries that the restored store lists although they were removed.
        self._withheld: dict[ids.EndpointId, model.Runner] = {}
        self._withheld_until: float | None = None
        # Runners whose entries are of an earlier epoch of the store.
        self._earlier: set[ids.EndpointId] = set()

    def begin(self, known: Iterable[ids.EndpointId], now: float) -> None:
        """Handles the start of a new epoch.

        Args:
            known: The runners known before.
            now: Monotonic seconds.
        """
        self._earlier = set(known)
        self._withheld_until = now + _WITHHELD_S

    def list_removed(self) -> list[model.Runner]:
        """Returns the last entries of runners that were removed."""
        return list(self._removed.values())

    def record_removed(self, runner: model.Runner) -> None:
        """Records a runner that is no longer used."""
        self._earlier.discard(runner.id)
        self._removed[runner.incarnation] = runner
        self._removed.move_to_end(runner.incarnation)
        if len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)

    def withhold(self, runner: model.Runner) -> bool:
        """Returns whether an unknown runner must wait, as it may have left."""
        removed = self._removed.get(runner.incarnation)
        if (
            self._withheld_until is None
            or removed is None
            or runner.sequence > removed.sequence
        ):
            return False
        self._withheld[runner.id] = runner
        return True

    def drop(self, runner: ids.EndpointId) -> None:
        """Drops a runner that waits, as its entry was removed again."""
        self._withheld.pop(runner, None)

    def release(self, now: float) -> list[model.Runner]:
        """Returns the entries that are still listed once the wait is over."""
        if self._withheld_until is None or now < self._withheld_until:
            return []
        self._withheld_until = None
        withheld, self._withheld = self._withheld, {}
        return list(withheld.values())

    def keep_sequence(
        self, runner: model.Runner, known: model.Runner
    ) -> model.Runner:
        """Returns an entry with its sequence comparable to the known one.

        In an earlier epoch, the same incarnation may have reached a higher one.
        """
        if runner.id not in self._earlier:
            return runner
        self._earlier.discard(runner.id)
        if runner.incarnation != known.incarnation:
            return runner
        sequence = max(runner.sequence, known.sequence)
        return msgspec.structs.replace(runner, sequence=sequence)
