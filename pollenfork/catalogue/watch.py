"""Decides how to follow one table; performs no I/O.

The table is read in full once, then calls wait for changes. If the store no
longer has the changes since then, the table is read in full again, and rows
that it lacks are reported as removed. The same applies if the store was
restored from a copy.
"""

import itertools
import random

import msgspec

from pollenfork import versions
from pollenfork.catalogue import known_rows
from pollenfork.catalogue import messages

# The pause before a failed call is retried, in seconds; it doubles up to the
# maximum. Instances must be up to date within 3 s of a store's return.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.8
# How long an answer may take beyond the requested wait. The store usually takes
# 4 ms; a store 60 times slower is still in time.
_SLACK_S = 0.7


class WatchState(msgspec.Struct):
    """The state of a watch.

    Attributes:
        version: The store's version up to which changes are known.
        reading_version: The version at the first page of a read in progress.
        start: The next page's first key.
        failures: The number of consecutive failed calls.
        skip_wait: Whether the next call must not wait for a change.
    """

    version: int | None = None
    reading_version: int | None = None
    start: str = ""
    failures: int = 0
    skip_wait: bool = False


class Watch:
    """Follows one table.

    Attributes:
        wait_s: How long the store may hold a call, in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        wait_s: float,
        known: known_rows.KnownRows | None = None,
    ) -> None:
        """Starts without any row known.

        Args:
            rng: Adds jitter to the retries of many instances.
            wait_s: How long the store may hold a call, in seconds.
            known: Orders the rows; None: by the store's versions alone.
        """
        self._rng = rng
        self.wait_s = wait_s
        self._state = WatchState()
        self._known = known or known_rows.KnownRows()
        self._pages: list[messages.Row] = []
        # The newest version up to which all changes were ever known.
        self._newest = 0

    @property
    def loaded(self) -> bool:
        """Whether the table has been read in full."""
        return self._state.version is not None or not self._known.is_empty

    @property
    def version(self) -> int:
        """The newest version up to which all changes were ever known."""
        return self._newest

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._state.failures > 0

    def next_call(self) -> messages.ReadCall:
        """Returns the call to make now."""
        state = self._state
        if state.version is None:
            return messages.ReadCall(
                after=None, start=state.start, timeout_s=2 * _SLACK_S
            )
        # After a failure, ask at once whether the store is back.
        wait_s = 0.0 if state.failures or state.skip_wait else self.wait_s
        return messages.ReadCall(
            after=state.version, wait_s=wait_s, timeout_s=wait_s + _SLACK_S
        )

    def is_stale(self, rows: messages.Rows) -> bool:
        """Returns whether an answer is older than what is already known.

        A store that answers from an old copy would restore runners that have
        left, and appear to confirm that nothing has changed.
        """
        return rows.version < max(
            self._newest, self._state.reading_version or 0
        )

    def is_misplaced(
        self, call: messages.ReadCall, rows: messages.Rows
    ) -> bool:
        """Returns whether a page isn't what a read of the table asked for.

        Keys must ascend from the call's first key on, and a page that others
        follow must hold a row. Otherwise rows would be taken for removed, or
        the read wouldn't end.
        """
        if call.after is not None:
            return False
        keys = [row.key for row in rows.rows]
        if not keys:
            return rows.more
        ascending = all(a < b for a, b in itertools.pairwise(keys))
        return keys[0] < call.start or not ascending

    def skip_wait(self) -> None:
        """Lets the next call return the present state, without a wait."""
        self._state.skip_wait = True

    def begin_epoch(self, epoch: int) -> bool:
        """Reads the table in full if its position is of an earlier epoch.

        The store would hold a call from such a position until its versions
        pass it, whatever it has written in the meantime.

        Returns:
            Whether the position was of an earlier epoch.
        """
        known = self._state.version
        if known is None or versions.get_epoch(known) >= epoch:
            return False
        self._state.version = None
        self._restart_read()
        return True

    def take_rows(
        self, call: messages.ReadCall, rows: messages.Rows
    ) -> messages.Changes | None:
        """Applies an answer; returns the changes, or None between pages."""
        self._state.failures = 0
        self._state.skip_wait = False
        if self.is_misplaced(call, rows):
            self._restart_read()
            return None
        if call.after is None:
            return self._take_page(rows)
        if not versions.is_same_epoch(call.after, rows.version):
            # Changes since a version of another epoch lack what the store lost.
            self._state.version = None
            self._restart_read()
            return None
        through = self._advance(max(call.after, rows.version))
        selection = self._known.take(rows.rows)
        return messages.Changes(
            selection.newer, through, superseded=selection.superseded
        )

    def take_table(self, rows: messages.Rows) -> messages.Changes | None:
        """Applies the full table of another instance.

        Returns:
            The changes; None if it is no newer than what is known. This also
            rejects an instance that has read nothing yet, whose empty table
            must not be taken for the store's.
        """
        if rows.version <= self._newest:
            return self._take_higher_ranked(rows)
        self._restart_read()
        changes = self._take_page(rows)
        if changes is None:
            return None
        return msgspec.structs.replace(
            changes,
            source=messages.ChangeSource.PEER,
            known_last_change=rows.last_change,
        )

    def _take_higher_ranked(
        self, rows: messages.Rows
    ) -> messages.Changes | None:
        """Takes content that is newer though the table as a whole isn't."""
        higher = self._known.select_higher_ranked(rows.rows)
        if not higher:
            return None
        return messages.Changes(
            self._known.take(higher).newer,
            self._newest,
            source=messages.ChangeSource.PEER,
        )

    def record_failure(self, failure: messages.ReadFailure) -> float:
        """Notes a failed call; returns the seconds until the next one."""
        state = self._state
        if failure is messages.ReadFailure.HISTORY_GONE:
            state.version = None
            self._restart_read()
            return 0.0
        state.failures += 1
        # A rejected call is repeated for its page, without restarting the read:
        # where many instances start at once and share the store's rate limit,
        # restarts would hardly ever get through all pages of a large table.
        # Pages may differ in age, as changes since the first page follow.
        if failure is messages.ReadFailure.UNREADABLE:
            self._restart_read()
        pause_s = _FIRST_PAUSE_S * 2 ** min(state.failures - 1, 8)
        pause_s = min(pause_s, _MAX_PAUSE_S)
        return pause_s * self._rng.uniform(0.6, 1.0)

    def reset_failures(self) -> None:
        """Resets the failure count, as peers supply the table."""
        self._state.failures = 0

    def _advance(self, version: int) -> int:
        """Notes that all changes up to a version are known; returns it."""
        self._state.version = version
        self._newest = max(self._newest, version)
        return version

    def _restart_read(self) -> None:
        self._pages.clear()
        self._state.start = ""
        self._state.reading_version = None

    def _take_page(self, rows: messages.Rows) -> messages.Changes | None:
        state = self._state
        if state.reading_version is None:
            state.reading_version = rows.version
        if not versions.is_same_epoch(state.reading_version, rows.version):
            # The store was restored between two pages.
            self._restart_read()
            return None
        self._pages.extend(rows.rows)
        if rows.more:
            state.start = rows.rows[-1].key + "\0"
            return None
        # Later pages are newer than the first: changes since the first page are
        # received again and dropped by their versions.
        through = self._advance(state.reading_version)
        present = {row.key for row in self._pages}
        missing = self._known.list_missing(present)
        selection = self._known.take((*self._pages, *missing))
        self._restart_read()
        # Others may know of rows that were added and removed unseen here.
        return messages.Changes(
            selection.newer,
            through,
            known_last_change=through,
            superseded=selection.superseded,
        )
