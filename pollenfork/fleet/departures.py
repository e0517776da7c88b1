"""Runners that have announced in an answer that they accept no new work.

The registry may learn of it much later, or not at all while the store is
unavailable, and entries written before the announcement may arrive after it.
"""

import collections

import xxhash

from pollenfork.fleet import model

# The number of announcements that are kept, those of departed runners included,
# so that delayed entries don't put them back to use. About 200 bytes each.
_MAX_KEPT = 4096


class Departures:
    """Incarnations that have announced that they leave, by their hashes.

    An announcement holds for the rest of the incarnation's life.
    """

    def __init__(self) -> None:
        self._announced: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._reused: set[int] = set()
        self._recent: list[int] = []

    def add(self, announced: int) -> bool:
        """Adds an incarnation; returns whether it is new."""
        if announced in self._announced:
            return False
        if announced not in self._reused:
            self._recent.append(announced)
        self._announced[announced] = None
        if len(self._announced) > _MAX_KEPT:
            self._announced.popitem(last=False)
        return True

    def has(self, incarnation: model.Incarnation) -> bool:
        """Returns whether an incarnation has announced that it leaves."""
        return (
            bool(self._announced)
            and hash_incarnation(incarnation) in self._announced
        )

    def add_reported(self, announced: int) -> bool:
        """Adds an incarnation known from a peer; returns whether it is new."""
        return announced not in self._reused and self.add(announced)

    def is_shareable(self, announced: int) -> bool:
        """Returns whether an incarnation has left and no other has its name."""
        return announced in self._announced and announced not in self._reused

    def take_recent(self) -> list[int]:
        """Returns the incarnations for peers, added since the last call."""
        recent, self._recent = self._recent, []
        return recent

    def discard(self, incarnation: model.Incarnation) -> None:
        """Drops an incarnation whose name a later one uses again.

        Peers may still mean the earlier one, so of this name they are neither
        told nor believed any more.
        """
        announced = hash_incarnation(incarnation)
        self._announced.pop(announced, None)
        self._reused.add(announced)


def hash_incarnation(incarnation: model.Incarnation) -> int:
    """Returns the hash that identifies an incarnation to other instances."""
    return xxhash.xxh64_intdigest(incarnation.name)
