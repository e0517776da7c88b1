"""Tracks which runners have which shared prompt parts cached."""

import collections
from collections.abc import Collection, Iterable

from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.loads import messages as loads

# Memory bounds: parts per runner, and parts known to be shared. Runners were
# seen to cache 120 to 470 parts, and the requests to 45 of them to share
# 3,500. 115 bytes each.
_MAX_PARTS = 2048
_MAX_SHARED_PARTS = 16_384


class PrefixIndex:
    """The prompt parts that runners are believed to have cached.

    A part counts as cached once a runner was sent a prompt with it. Runners
    evict the least recently used parts and report that; without their reports,
    the prompts sent to them are all that is known. After half a minute of
    overload two in five parts believed cached had been evicted, and after a
    restart of all instances two in three of the cached parts weren't known.
    """

    def __init__(self) -> None:
        self._parts: dict[int, collections.OrderedDict[int, None]] = {}
        self._shared: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._unknown: set[int] = set()

    def add(self, runner: int, part: int) -> None:
        """Records that a runner was sent a part, again or for the first time.

        Args:
            runner: The hash of the runner's incarnation.
            part: The part's hash.
        """
        cached = self._parts.setdefault(runner, collections.OrderedDict())
        _touch(cached, part, _MAX_PARTS)
        _touch(self._shared, part, _MAX_SHARED_PARTS)

    def apply(self, placed: Iterable[loads.Placement]) -> None:
        """Applies changes to what runners have cached."""
        for each in placed:
            if each.kept:
                self.add(each.runner, each.part)
            elif each.runner in self._parts:
                self._parts[each.runner].pop(each.part, None)

    def apply_report(
        self, runner: int, report: messages.CacheReport
    ) -> list[loads.Placement]:
        """Applies a runner's report of its own cache.

        Returns:
            The changes that differ from what was believed, so that other
            instances can be told.
        """
        last: dict[int, loads.Placement] = {}
        for change in report.changes:
            part = loads.hash_name(change.part)
            last.pop(part, None)  # The later change is the more recent use.
            last[part] = loads.Placement(part, runner, change.kept)
        if report.complete:
            for part in self._parts.get(runner, ()):
                if part not in last:
                    last[part] = loads.Placement(part, runner, kept=False)
        changes = [
            each
            for each in last.values()
            if self._is_new(each, report.complete)
        ]
        self.apply(changes)
        return changes

    def list_cached(
        self, runners: Collection[int] | None = None
    ) -> list[loads.Placement]:
        """Returns the parts believed cached, the least recently used first.

        Args:
            runners: Limits the result to these runners; None: all.
        """
        return [
            loads.Placement(part, runner)
            for runner, cached in self._parts.items()
            if runners is None or runner in runners
            for part in cached
        ]

    def count_uncached(
        self, runner: int, shared: tuple[model.Part, ...]
    ) -> int:
        """Returns the tokens of shared parts that the runner must process.

        A cached part is useful only if all preceding parts are cached too.
        """
        cached = self._parts.get(runner)
        if cached is None:
            return sum(part.tokens for part in shared)
        for position, part in enumerate(shared):
            if hash_part(part) not in cached:
                return sum(each.tokens for each in shared[position:])
        return 0

    def forget(self, runner: int) -> None:
        """Forgets a runner that is gone."""
        self._parts.pop(runner, None)

    def retain(self, runners: Collection[int]) -> None:
        """Forgets runners that are unknown now and were at the last call.

        Other instances' placements may arrive before this instance learns of
        a runner, and after it learns that the runner is gone.
        """
        unknown = set(self._parts).difference(runners)
        for runner in unknown & self._unknown:
            del self._parts[runner]
        self._unknown = unknown

    def _is_new(self, change: loads.Placement, complete: bool) -> bool:
        """Returns whether a reported change is worth recording."""
        believed = change.part in self._parts.get(change.runner, ())
        if not change.kept:
            return believed
        # Parts of a single request are useless to others, but an instance that
        # has just started can't tell them from shared ones.
        relevant = complete or change.part in self._shared
        return relevant and not believed


def hash_part(part: model.Part) -> int:
    """Returns the hash that identifies a part in datagrams."""
    return loads.hash_name(part.name)


def _touch(
    parts: collections.OrderedDict[int, None], part: int, limit: int
) -> None:
    """Makes a part the most recently used, evicting the oldest at the limit."""
    parts[part] = None
    parts.move_to_end(part)
    if len(parts) > limit:
        parts.popitem(last=False)
