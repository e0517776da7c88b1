"""Orders the changes that a runner reports of its cache.

The runner numbers its changes. Answers may repeat them, hold them late or in
another order, and a few never arrive. Of each prompt part, the change with the
highest number holds.
"""

import collections
from collections.abc import Iterable

import msgspec

from pollenfork.fleet import messages

# The number of parts whose latest change is kept. Runners were seen to cache
# 120 to 470 parts. About 200 bytes each.
_MAX_PARTS = 2048
_NONE_COVERED = -1


class CacheOrder:
    """The place of one runner's reports in the order of its changes.

    Attributes:
        after: The number after which to request changes; None: everything that
            the runner caches is requested.
    """

    def __init__(self) -> None:
        """Starts without a report."""
        self.after: int | None = None
        self._epoch = ""
        # Changes up to this number are covered, or too old to be ordered.
        self._covered = _NONE_COVERED
        # The number of the latest known change of each part.
        self._latest: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def start_over(self) -> None:
        """Forgets the position, so that everything is requested again."""
        self.after = None

    def take(self, report: messages.CacheReport) -> messages.CacheReport | None:
        """Returns what a report adds to the earlier ones.

        Args:
            report: The answer to a request for the changes after `after`, or
                the complete list.

        Returns:
            The report with only those changes that are later than the known
            ones of their part, oldest first; the complete list if everything
            was requested. None if the numbering has restarted: everything is
            to be requested then.
        """
        if self.after is None:
            report = self._begin(report)
        elif report.epoch != self._epoch or report.last_sequence < self.after:
            self.start_over()
            return None
        elif report.complete:
            report = self._begin(report)
        else:
            changes = self._select_later(report.changes)
            report = msgspec.structs.replace(report, changes=changes)
        self.after = report.last_sequence
        return report

    def _begin(self, report: messages.CacheReport) -> messages.CacheReport:
        """Returns the complete list that a report of everything yields."""
        self._epoch = report.epoch
        self._latest.clear()
        if report.complete:
            # Whether the position is that of the last change or of the next
            # one isn't specified. The last change adds nothing to the list.
            self._covered = report.last_sequence - 1
            return report
        self._covered = _NONE_COVERED
        kept: dict[bytes, messages.CacheChange] = {}
        for change in self._select_later(report.changes):
            kept.pop(change.part, None)
            if change.kept:
                kept[change.part] = change
        return msgspec.structs.replace(
            report, changes=tuple(kept.values()), complete=True
        )

    def _select_later(
        self, changes: Iterable[messages.CacheChange]
    ) -> tuple[messages.CacheChange, ...]:
        """Returns and records the changes that are later than the known ones.

        Args:
            changes: Changes in any order.
        """
        later = []
        for change in sorted(changes, key=lambda each: each.sequence):
            known = self._latest.get(change.part, self._covered)
            if change.sequence > known:
                later.append(change)
                self._record(change)
        return tuple(later)

    def _record(self, change: messages.CacheChange) -> None:
        self._latest[change.part] = change.sequence
        self._latest.move_to_end(change.part)
        if len(self._latest) > _MAX_PARTS:
            _, oldest = self._latest.popitem(last=False)
            self._covered = max(self._covered, oldest)
