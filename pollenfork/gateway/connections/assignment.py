"""Assigns each instance a subset of the runners, so that all are balanced.

All instances compute the same assignment from the same hosts and runners, so
they exchange no messages. An instance ranks the runners by rendezvous hashing
and takes the first ones, except those that as many instances before it have
taken as the limit allows.
"""

import array
import bisect
from collections.abc import Collection, Iterable, Iterator, Sequence
import math

import xxhash

from pollenfork.fleet import model as fleet
from pollenfork.loads import messages as loads

_MIN_SIZE = 4
# Most instances that prefer one runner, relative to the mean. Plain rendezvous
# hashing without this limit reaches 1.46 for 81 instances and 70 runners.
_MAX_RATIO = 1.15
_HASH_BITS = 32
_HASH_MASK = (1 << _HASH_BITS) - 1
_HASH_BYTES = 4
# Orders instances independently of their hosts' spelling.
_ORDER_SEED = 7


def find_size(instances: int, runners: int) -> int:
    """Returns the number of runners in each instance's subset.

    If the mean number of instances per runner is small, rounding it up could
    exceed the allowed ratio; the size is then reduced until it doesn't.
    """
    wanted = math.ceil(2 * runners / math.sqrt(instances))
    size = min(runners, max(_MIN_SIZE, wanted))
    mean = instances * size / runners
    if math.ceil(mean) > _MAX_RATIO * mean:
        size = runners * int(mean) // instances
    return size


def find_limit(instances: int, runners: int, size: int) -> int:
    """Returns how many instances may have the same runner in their subset."""
    mean = instances * size / runners
    return max(math.ceil(mean), int(_MAX_RATIO * mean))


def hash_runner(incarnation: fleet.Incarnation) -> int:
    """Returns the hash of a runner's incarnation."""
    return loads.hash_name(incarnation.name)


def rank_host(host: str) -> int:
    """Returns the position of an instance in the order of assignment."""
    return xxhash.xxh64_intdigest(host.encode(), _ORDER_SEED)


class Ranking:
    """The runners in one instance's order of preference.

    Runners are given by the hashes of their incarnations. Each entry is a
    score and a runner's hash in one number, because the rankings of 360
    instances for 600 runners would take 19 MB as tuples and take 1.7 MB so.
    """

    def __init__(self, host: str, runners: Iterable[int]) -> None:
        """Ranks all runners.

        Args:
            host: The instance's host.
            runners: The hashes of the runners' incarnations.
        """
        self._seed = xxhash.xxh32_intdigest(host.encode())
        self._entries = array.array("Q", sorted(map(self._score, runners)))

    def __iter__(self) -> Iterator[int]:
        """Yields the runners' hashes, the most preferred first."""
        return (entry & _HASH_MASK for entry in self._entries)

    def add(self, runner: int) -> None:
        """Adds a runner."""
        bisect.insort(self._entries, self._score(runner))

    def remove(self, runner: int) -> None:
        """Removes a runner that it contains."""
        del self._entries[
            bisect.bisect_left(self._entries, self._score(runner))
        ]

    def _score(self, runner: int) -> int:
        name = runner.to_bytes(_HASH_BYTES, "big")
        return xxhash.xxh32_intdigest(name, self._seed) << _HASH_BITS | runner


def assign(
    rankings: Sequence[Ranking], runners: Collection[int], index: int
) -> frozenset[int]:
    """Returns the subset of one instance.

    No runner is in more subsets than `find_limit` allows.

    Args:
        rankings: The rankings of all instances, in the order of assignment.
        runners: The hashes of the runners' incarnations, at least one.
        index: The instance's position in the order.
    """
    instances = len(rankings)
    size = find_size(instances, len(runners))
    limit = find_limit(instances, len(runners), size)
    free = dict.fromkeys(runners, limit)
    taken: list[int] = []
    for position in range(index + 1):
        left = instances - position
        quota = size
        if left <= limit:
            quota = _find_quota(free.values(), left, size)
        taken = _take(rankings[position], free, left, size, quota)
    return frozenset(taken)


def _find_quota(free: Collection[int], left: int, size: int) -> int:
    """Returns how many scarce runners the next instance may take.

    A runner is scarce if it has fewer places than there are instances left.
    The instances left can be served with different runners as long as the
    places that they can use, at most one each per runner, are enough for all.

    Args:
        free: The free places of each runner.
        left: How many instances are left, the next one included.
        size: The number of runners that each of them takes.
    """
    abundant = sum(places >= left for places in free)
    usable = sum(min(places, left) for places in free)
    return usable - abundant - (left - 1) * size


def _take(
    ranking: Ranking, free: dict[int, int], left: int, size: int, quota: int
) -> list[int]:
    """Takes one place each at an instance's most preferred runners."""
    taken: list[int] = []
    for runner in ranking:
        places = free[runner]
        if places < left:
            if not places or not quota:
                continue
            quota -= 1
        free[runner] = places - 1
        taken.append(runner)
        if len(taken) == size:
            break
    return taken
