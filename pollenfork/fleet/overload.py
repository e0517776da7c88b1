"""Whether a runner's backlog would delay a prompt too much."""

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
    backlog_s = candidate.queue_s
    if candidate.forecast_s is None:
        backlog_s = candidate.pending_tokens / candidates.PREFILL_TOKENS_PER_S
    if backlog_s <= max_wait_s * _MAX_IDLE_BACKLOG:
        return False
    return find_wait(candidate, profile) > max_wait_s
