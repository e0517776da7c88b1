"""Which runner keeps which shared parts of prompts."""

import collections
from collections.abc import Iterable

from pollenfork.fleet import model
from pollenfork.loads import messages as loads

# Shared parts remembered for a runner. At the sheets' sizes a runner's memory
# holds about 50 of the long ones and a few hundred of the short ones.
_REMEMBERED = 2048


class Caches:
    """What runners are believed to keep.

    A part counts as kept once a runner was given it to read. Runners push out
    what wasn't used for longest, and say so; where nobody hears them, what
    they were given is all that is known. After half a minute of overload two
    in five parts believed kept were gone, and after a restart of all
    instances two in three of those kept weren't known.
    """

    def __init__(self) -> None:
        self._parts: dict[int, collections.OrderedDict[int, None]] = {}
        self._shared: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def note(self, runner: int, part: int) -> None:
        """Notes that a runner was given a part to read, or used it again."""
        kept = self._parts.setdefault(runner, collections.OrderedDict())
        _renew(kept, part)
        _renew(self._shared, part)

    def drop(self, runner: int, part: int) -> bool:
        """Notes that a runner lost a part; returns whether that is news."""
        kept = self._parts.get(runner)
        if kept is None or part not in kept:
            return False
        del kept[part]
        return True

    def lacks(self, runner: int, part: int) -> bool:
        """Returns whether a part isn't believed kept."""
        return part not in self._parts.get(runner, ())

    def is_shared(self, part: int) -> bool:
        """Returns whether several requests are known to have a part."""
        return part in self._shared

    def find_lost(self, runner: int, kept: Iterable[int]) -> list[int]:
        """Returns the parts believed kept that a runner's whole list lacks."""
        present = set(kept)
        believed = self._parts.get(runner, ())
        return [part for part in believed if part not in present]

    def list_kept(self) -> list[loads.Placed]:
        """Returns all that is believed, the longest unused first."""
        return [
            loads.Placed(part, runner)
            for runner, kept in self._parts.items()
            for part in kept
        ]

    def count_unread(self, runner: int, shared: tuple[model.Part, ...]) -> int:
        """Returns the tokens that the runner would have to read.

        A part is of use only where all parts before it are kept too.
        """
        kept = self._parts.get(runner)
        if kept is None:
            return sum(part.tokens for part in shared)
        for position, part in enumerate(shared):
            if hash_part(part) not in kept:
                return sum(each.tokens for each in shared[position:])
        return 0

    def forget(self, runner: int) -> None:
        """Forgets a runner that is gone."""
        self._parts.pop(runner, None)


def hash_part(part: model.Part) -> int:
    """Returns what stands for a part in datagrams."""
    return loads.hash_name(part.name)


def _renew(kept: collections.OrderedDict[int, None], part: int) -> None:
    kept[part] = None
    kept.move_to_end(part)
    if len(kept) > _REMEMBERED:
        kept.popitem(last=False)
