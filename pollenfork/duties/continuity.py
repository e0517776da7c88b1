"""Whether the holder's row shows all reports that were ever stored.

A restored store lacks what was written since its copy was made, so its row of
the holder doesn't show which windows were reported since. The row names the
epoch of the store in which it was last brought up to date.
"""

from collections.abc import Callable

import msgspec

from pollenfork import ids
from pollenfork.duties import rows

# How far the clocks of two instances may differ, in seconds.
CLOCK_SLACK_S = 1.0


class Hold(msgspec.Struct, frozen=True):
    """The lease as this instance held it when the store was restored.

    Attributes:
        fencing: Its fencing number.
        next_window: The first window whose report wasn't stored.
    """

    fencing: ids.FencingNumber
    next_window: int


class Continuity:
    """What is known of reports that a restored store has lost."""

    def __init__(self, find_window: Callable[[float], int]) -> None:
        """Creates a record that knows no row yet.

        Args:
            find_window: Returns the number of the window that contains the
                moment so many seconds from now.
        """
        self._find_window = find_window
        self._hold: Hold | None = None
        # Since when the row is known to be older than the last restoration.
        self._outdated_since: float | None = None

    def begin_epoch(self, hold: Hold | None) -> None:
        """Records that the store was restored.

        Args:
            hold: This instance's lease, if no other instance can have claimed
                before the restoration.
        """
        self._hold = hold
        self._outdated_since = None

    def record_current(self) -> None:
        """Records that the row was brought up to date in this epoch."""
        self._hold = None
        self._outdated_since = None

    def record_outdated(self, is_rewritten: bool, now: float) -> None:
        """Records that the row, as read, is of an earlier epoch.

        Args:
            is_rewritten: Whether another instance has written it since it was
                last read.
            now: Monotonic seconds.
        """
        if self._outdated_since is None:
            self._outdated_since = now
        elif is_rewritten:
            # Its writer may not know of the restoration.
            self._outdated_since = now
            self._hold = None

    def has_last_claim(self, row: rows.HolderRow | None) -> bool:
        """Returns whether the last claim was this one's, before a restoration.

        If so, no other instance may still act, whatever the copy says.

        Args:
            row: The holder's row as read.
        """
        if self._hold is None:
            return False
        return row is None or row.fencing <= self._hold.fencing

    def find_earliest_window(self, now: float) -> int:
        """Returns the first window that certainly wasn't reported.

        A window that was reported before a restoration had ended by then, and
        the holder of then knows which windows it hadn't reported. Returns 0 if
        the row shows all reports.
        """
        if self._hold is not None:
            return self._hold.next_window
        if self._outdated_since is None:
            return 0
        return self._find_window(self._outdated_since + CLOCK_SLACK_S - now)
