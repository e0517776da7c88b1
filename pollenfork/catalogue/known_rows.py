"""Decides which rows of a table are newer than those already known.

The store orders rows by their versions. Content with an order of its own, such
as the operators' configuration or a runner's start, is ordered by that: after a
restoration, or where older content is written again, the two orders differ.
"""

import collections
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from pollenfork import versions
from pollenfork.catalogue import messages

# Returns the place of a row's content in the content's own order; None if only
# the row's version orders it.
ReadRank = Callable[[messages.Row], int | None]

# The number of rows, removed ones included, whose ranks are kept. About 200
# bytes each.
_MAX_RANKS = 4096


class Selection(NamedTuple):
    """Rows divided by whether they are newer than what is known.

    Attributes:
        newer: Those that are.
        superseded: Rows whose content is older than the known one.
    """

    newer: tuple[messages.Row, ...]
    superseded: tuple[messages.Row, ...]


def read_no_rank(row: messages.Row) -> int | None:
    """Returns that only the row's version orders it."""
    return None


class KnownRows:
    """The versions, and ranks if any, of the rows of one table."""

    def __init__(
        self, read_rank: ReadRank = read_no_rank, removable: bool = True
    ) -> None:
        """Starts without any row.

        Args:
            read_rank: Reads the rank of a row.
            removable: Whether rows with a rank can be removed. What others
                configure stays in force without them.
        """
        self._read_rank = read_rank
        self._removable = removable
        self._versions: dict[str, int] = {}
        # The highest ranks, those of removed rows included.
        self._ranks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no row is known."""
        return not self._versions

    def take(self, rows: Iterable[messages.Row]) -> Selection:
        """Adds rows to those that are known."""
        newer, superseded = [], []
        for row in rows:
            known_rank = self._ranks.get(row.key)
            if self._is_known(row) or (
                row.removed and known_rank is not None and not self._removable
            ):
                continue
            rank = None if row.removed else self._read_rank(row)
            if rank is not None and known_rank is not None:
                if rank < known_rank:
                    superseded.append(row)
                    continue
                is_newer = rank > known_rank or self._is_newer(row)
            else:
                is_newer = self._is_newer(row)
            if is_newer:
                newer.append(row)
                self._add(row, rank)
        return Selection(tuple(newer), tuple(superseded))

    def select_higher_ranked(
        self, rows: Iterable[messages.Row]
    ) -> tuple[messages.Row, ...]:
        """Returns the rows that are newer by their rank alone.

        A removable one may have been removed since.
        """
        if self._removable:
            return ()
        ranked = ((self._read_rank(row), row) for row in rows)
        return tuple(
            row
            for rank, row in ranked
            if rank is not None and rank > self._ranks.get(row.key, -1)
        )

    def list_missing(
        self, present: Collection[str]
    ) -> tuple[messages.Row, ...]:
        """Returns the removals of rows that a full read lacks.

        When they were removed after their last known version is unknown.
        """
        return tuple(
            messages.Row(key, b"", version + 1, removed=True, missing=True)
            for key, version in self._versions.items()
            if key not in present
        )

    def _is_known(self, row: messages.Row) -> bool:
        """Returns whether a row needn't be decoded to know that it isn't new.

        Whole tables of removable rows are received for each change.
        """
        if not self._removable or row.removed:
            return False
        # Rows that outlived their epoch have no number of their own.
        return (
            row.version == self._versions.get(row.key)
            and versions.get_number(row.version) != 0
        )

    def _is_newer(self, row: messages.Row) -> bool:
        return row.version > self._versions.get(row.key, -1)

    def _add(self, row: messages.Row, rank: int | None) -> None:
        if row.removed:
            self._versions.pop(row.key, None)
            return
        self._versions[row.key] = row.version
        if rank is None:
            return
        self._ranks[row.key] = rank
        self._ranks.move_to_end(row.key)
        if len(self._ranks) > _MAX_RANKS:
            self._ranks.popitem(last=False)
