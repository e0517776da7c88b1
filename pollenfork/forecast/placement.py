"""Which runners a request may use, and which cache a new prompt."""

from collections.abc import Sequence
import heapq

import xxhash

from pollenfork.fleet import candidates

# Runners below this pace are reserved last. Beside long prompts, estimates of
# equally fast runners went down to 0.57 for a moment; each change of the
# reserved runners sends urgent requests to runners that still process long
# prompts.
_LAST_RESERVED_PACE = 0.55
# The number of runners among which a prompt that is cached nowhere is placed
# by load. More of them spread prompts little better, but instances that choose
# at once then process the same prompt at several runners.
_HASH_OWNERS = 2
# What the second of them costs more than the first, as a fraction of the time
# to process the shared parts: it is chosen once the first is that much busier.
_NEXT_OWNER_SHARE = 0.5


def reserve_runners(
    profile: candidates.RequestProfile,
    found: Sequence[candidates.Candidate],
    paces: dict[int, float],
) -> list[candidates.Candidate]:
    """Returns the candidates that the request may use.

    Runners of normal pace are reserved for the most urgent tier before slow
    ones, whose pauses are too long beside a long prompt. All instances must
    agree on the reserved runners, so they are ordered by a limit and not by
    the pace.

    Args:
        profile: What the request needs.
        found: All runners that accept work.
        paces: Their paces by incarnation hash.
    """
    ranked = sorted(
        found,
        key=lambda each: (
            paces[each.state.incarnation_hash] < _LAST_RESERVED_PACE,
            each.state.incarnation_hash,
        ),
    )
    return candidates.apply_reservation(profile, ranked)


def rank_hash_owners(
    profile: candidates.RequestProfile, found: Sequence[candidates.Candidate]
) -> dict[int, float]:
    """Returns which runners may cache a new prompt, and at which cost.

    Returns:
        The cost by incarnation hash, as a fraction of the time to process the
        shared parts; empty if a runner has all shared parts cached.
    """
    if not all(each.uncached_tokens for each in found):
        return {}
    key = b",".join(part.name for part in profile.shared)
    owners = heapq.nlargest(
        _HASH_OWNERS,
        (each.state.incarnation_hash for each in found),
        key=lambda runner: xxhash.xxh64_intdigest(key, runner),
    )
    return {
        runner: rank * _NEXT_OWNER_SHARE for rank, runner in enumerate(owners)
    }
