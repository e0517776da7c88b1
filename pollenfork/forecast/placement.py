"""Which runners a request may use, and which cache a new prompt."""

from collections.abc import Sequence
import heapq

import xxhash

from pollenfork.fleet import candidates
from pollenfork.pace import model as pace

# The number of runners among which a prompt that is cached nowhere is placed
# by load. With two the busiest has about twice the mean when all instances
# choose at once.
_HASH_OWNERS = 4


def reserve_runners(
    profile: candidates.RequestProfile,
    found: Sequence[candidates.Candidate],
    paces: dict[int, float],
) -> list[candidates.Candidate]:
    """Returns the candidates that the request may use.

    Runners of normal pace are reserved for the most urgent tier before slow
    ones, whose pauses are too long beside a long prompt. All instances must
    agree on the reserved runners, so they are ordered by the limit for slow
    ones and not by the pace.

    Args:
        profile: What the request needs.
        found: All runners that accept work.
        paces: Their paces by incarnation hash.
    """
    ranked = sorted(
        found,
        key=lambda each: (
            paces[each.state.incarnation_hash] < pace.SLOW,
            each.state.incarnation_hash,
        ),
    )
    return candidates.apply_reservation(profile, ranked)


def find_hash_owners(
    profile: candidates.RequestProfile, found: Sequence[candidates.Candidate]
) -> set[int]:
    """Returns the runners that may cache a new prompt at no extra cost.

    Returns:
        The incarnation hashes of the first runners by rendezvous hashing; none
        if a runner has all shared parts cached.
    """
    if not all(each.uncached_tokens for each in found):
        return set()
    key = b",".join(part.name for part in profile.shared)
    owners = heapq.nlargest(
        _HASH_OWNERS,
        (each.state.incarnation_hash for each in found),
        key=lambda runner: xxhash.xxh64_intdigest(key, runner),
    )
    return set(owners)
