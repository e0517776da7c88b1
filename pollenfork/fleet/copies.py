"""Selects the runners from which cached prompt parts are copied.

Copying a cached part is much faster than processing it again, but it occupies
just as much of the destination's cache and evicts other prompts. Copies
therefore replace processing where a prompt is routed anyway; they don't
influence the routing.
"""

from collections.abc import Sequence

from pollenfork.fleet import candidates
from pollenfork.fleet import model

# Copying fewer tokens than this saves less time than the handshake costs.
_MIN_COPY_TOKENS = 1000
# Above this ratio of copy time to processing time, the link between runners is
# too slow to be worth the bandwidth.
_MAX_TIME_RATIO = 0.5


def find_sources(
    profile: candidates.RequestProfile,
    found: list[candidates.Candidate],
    now: float,
    leaving: Sequence[candidates.Candidate] = (),
) -> None:
    """Sets for each candidate the runner it would copy from.

    Args:
        profile: What the request needs.
        found: All runners that accept work.
        now: Monotonic seconds.
        leaving: Leaving runners that have the shared parts cached; used only
            if no other runner has them.
    """
    if profile.copy_s is None:
        return
    ratio = profile.copy_s * candidates.PREFILL_TOKENS_PER_S
    if ratio > _MAX_TIME_RATIO:
        return
    staying = [candidate for candidate in found if _is_source(candidate, now)]
    departing = [each for each in leaving if _is_source(each, now)]
    for candidate in found:
        if candidate.uncached_tokens < _MIN_COPY_TOKENS:
            continue
        holders = _list_alike(candidate, staying)
        holders = holders or _list_alike(candidate, departing)
        if holders:
            candidate.source = _choose_source(candidate, holders)
            candidate.prefill_tokens = candidate.uncached_tokens * ratio


def _is_source(candidate: candidates.Candidate, now: float) -> bool:
    """Returns whether a runner has the shared parts and is reliable."""
    state = candidate.state
    return (
        not candidate.uncached_tokens
        and not state.failures
        and now >= state.avoid_until
    )


def _list_alike(
    candidate: candidates.Candidate, holders: Sequence[candidates.Candidate]
) -> list[candidates.Candidate]:
    """Returns the holders whose software writes what a runner can read."""
    version = candidate.runner.version
    return [each for each in holders if each.runner.version == version]


def _choose_source(
    candidate: candidates.Candidate, holders: list[candidates.Candidate]
) -> model.Runner:
    """Returns the least loaded holder, preferring the same data centre."""
    data_centre = candidate.runner.data_centre
    near = [
        holder for holder in holders if holder.runner.data_centre == data_centre
    ]
    return min(near or holders, key=lambda holder: holder.pending_tokens).runner
