"""Which runner has read which shared parts of prompts."""

import collections

from pollenfork.fleet import model
from pollenfork.loads import messages as loads

# Shared parts remembered for a runner. At the sheets' sizes a runner's memory
# holds about 50 of the long ones and a few hundred of the short ones.
_REMEMBERED = 2048


class Caches:
    """What runners are believed to keep, by what they were given to read."""

    def __init__(self) -> None:
        self._parts: dict[int, collections.OrderedDict[int, None]] = {}

    def note(self, runner: int, part: int) -> None:
        """Notes that a runner was given a part to read, or used it again."""
        kept = self._parts.setdefault(runner, collections.OrderedDict())
        kept[part] = None
        kept.move_to_end(part)
        if len(kept) > _REMEMBERED:
            kept.popitem(last=False)

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
