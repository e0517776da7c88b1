"""Forecasts the time to the first event and the pauses at one runner."""

from pollenfork.fleet import candidates

# How long a request holds a slot, in seconds, where the costs are created
# without a source of learned times. Gateways have one, which starts at 1 s.
DEFAULT_ANSWER_S = 1.5
# Prompt tokens that a runner processes between two tokens of a stream while it
# reads a long prompt.
_CHUNK_TOKENS = 2048


def find_queue_s(
    candidate: candidates.Candidate, pace: float, answer_s: float
) -> float:
    """Returns the seconds until a runner can begin with a request.

    Args:
        candidate: The runner and its load.
        pace: Its pace.
        answer_s: How long a request holds a slot on the median runner.
    """
    waiting = candidate.active + 1 - candidate.runner.slots
    slot_s = max(0, waiting) * answer_s / max(1, candidate.runner.slots)
    prefill_s = candidate.pending_tokens / candidates.PREFILL_TOKENS_PER_S
    return (slot_s + prefill_s) / pace


def find_own_prefill_s(
    profile: candidates.RequestProfile,
    candidate: candidates.Candidate,
    pace: float,
) -> float:
    """Returns the seconds that a runner takes for the request's own prompt."""
    tokens = candidate.prefill_tokens + profile.unshared_tokens
    return tokens / candidates.PREFILL_TOKENS_PER_S / pace


def find_pause_s(event_tokens: int, pace: float) -> float:
    """Returns the longest expected pause between events, in seconds.

    It occurs while the runner processes another request's long prompt.

    Args:
        event_tokens: The tokens that an event has.
        pace: The runner's pace.
    """
    prompt_tokens = event_tokens * _CHUNK_TOKENS
    return prompt_tokens / candidates.PREFILL_TOKENS_PER_S / pace
