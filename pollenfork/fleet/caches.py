"""Which runner keeps which shared parts of prompts."""

import collections
from collections.abc import Collection, Iterable

from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.loads import messages as loads

# Bounds on what is remembered, so that it can't grow without end: parts for a
# runner, and parts known to be shared. Runners were seen to keep 120 to 470
# parts, and the requests before 45 of them to share 3,500. 115 bytes each.
_REMEMBERED = 2048
_SHARED_REMEMBERED = 16_384


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
        self._unknown: set[int] = set()

    def note(self, runner: int, part: int) -> None:
        """Notes that a runner was given a part to read, or used it again."""
        kept = self._parts.setdefault(runner, collections.OrderedDict())
        _renew(kept, part, _REMEMBERED)
        _renew(self._shared, part, _SHARED_REMEMBERED)

    def take(self, placed: Iterable[loads.Placement]) -> None:
        """Takes what is said of what runners keep or have lost."""
        for each in placed:
            if each.kept:
                self.note(each.runner, each.part)
            elif each.runner in self._parts:
                self._parts[each.runner].pop(each.part, None)

    def take_news(
        self, runner: int, news: messages.CacheNews
    ) -> list[loads.Placement]:
        """Takes what a runner itself says that it keeps.

        Returns:
            What of it wasn't believed, for others that believe the same.
        """
        told = [
            loads.Placement(loads.hash_name(each.part), runner, each.kept)
            for each in news.changes
        ]
        if news.whole:
            present = {each.part for each in told}
            believed = self._parts.get(runner, ())
            told += [
                loads.Placement(part, runner, kept=False)
                for part in believed
                if part not in present
            ]
        changes = [each for each in told if self._is_news(each, news.whole)]
        self.take(changes)
        return changes

    def list_kept(
        self, runners: Collection[int] | None = None
    ) -> list[loads.Placement]:
        """Returns what is believed kept, the longest unused first.

        Args:
            runners: Those asked about; None: all.
        """
        return [
            loads.Placement(part, runner)
            for runner, kept in self._parts.items()
            if runners is None or runner in runners
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

    def retain(self, runners: Collection[int]) -> None:
        """Forgets runners that aren't known, and weren't at the last call.

        What others tell may come before the news that a runner exists, and
        after the news that it is gone.
        """
        unknown = set(self._parts).difference(runners)
        for runner in unknown & self._unknown:
            del self._parts[runner]
        self._unknown = unknown

    def _is_news(self, told: loads.Placement, whole: bool) -> bool:
        believed = told.part in self._parts.get(told.runner, ())
        if not told.kept:
            return believed
        # Parts of one request alone help nobody, but who has just started
        # can't tell them from shared ones.
        known = whole or told.part in self._shared
        return known and not believed


def hash_part(part: model.Part) -> int:
    """Returns what stands for a part in datagrams."""
    return loads.hash_name(part.name)


def _renew(
    kept: collections.OrderedDict[int, None], part: int, limit: int
) -> None:
    kept[part] = None
    kept.move_to_end(part)
    if len(kept) > limit:
        kept.popitem(last=False)
