"""Whether a runner's backlog would delay a prompt too much."""

from collections.abc import Sequence

from pollenfork.fleet import candidates

# A runner whose backlog is within this fraction of the allowed wait isn't
# overloaded, however long the request's own prompt is.
_MAX_IDLE_BACKLOG = 0.2


def find_wait(
    candidate: candidates.Candidate, profile: candidates.RequestProfile
) -> float:
    """Returns the seconds until a runner would have processed a prompt."""
    if candidate.forecast_s is not None:
        return candidate.forecast_s
    tokens = (
        candidate.pending_tokens
        + candidate.prefill_tokens
        + profile.unshared_tokens
    )
    return tokens / candidates.PREFILL_TOKENS_PER_S


def is_overloaded(
    candidate: candidates.Candidate,
    profile: candidates.RequestProfile,
    max_wait_s: float,
) -> bool:
    """Returns whether a runner's backlog would delay a prompt too much.

    A prompt that takes too long by its own length alone isn't refused.
    """
    if find_backlog(candidate) <= max_wait_s * _MAX_IDLE_BACKLOG:
        return False
    return find_wait(candidate, profile) > max_wait_s


def find_backlog(candidate: candidates.Candidate) -> float:
    """Returns the seconds until a runner can begin with another prompt."""
    if candidate.forecast_s is not None:
        return candidate.queue_s
    return candidate.pending_tokens / candidates.PREFILL_TOKENS_PER_S


def find_least_backlog(found: Sequence[candidates.Candidate]) -> float:
    """Returns the shortest backlog of some runners, in seconds."""
    if found[0].forecast_s is not None:
        return min(each.queue_s for each in found)
    tokens = min(each.pending_tokens for each in found)
    return tokens / candidates.PREFILL_TOKENS_PER_S


def find_alternative(
    found: Sequence[candidates.Candidate],
    profile: candidates.RequestProfile,
    max_wait_s: float,
    longest_s: float,
) -> candidates.Candidate | None:
    """Returns a runner to use instead of an overloaded one.

    Args:
        found: All runners, with their costs.
        profile: What the request needs.
        max_wait_s: Seconds within which its prompt should be processed.
        longest_s: The same if no runner can do that.

    Returns:
        The cheapest runner that isn't overloaded; if all are, the one at which
        the wait is shortest; None: that is too long as well.
    """
    free = [
        each for each in found if not is_overloaded(each, profile, max_wait_s)
    ]
    if free:
        return min(free, key=lambda each: each.cost)
    soonest = min(found, key=lambda each: find_wait(each, profile))
    return soonest if find_wait(soonest, profile) <= longest_s else None
