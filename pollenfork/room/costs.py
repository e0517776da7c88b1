"""The cost of the room that a request takes at its candidates."""

from collections.abc import Sequence

from pollenfork.fleet import candidates
from pollenfork.room import fit


def find_costs(
    profile: candidates.RequestProfile,
    found: Sequence[candidates.Candidate],
    typical_answer_s: float,
) -> list[float]:
    """Returns the cost of each candidate in seconds, in the same order.

    Args:
        profile: What the request needs.
        found: All runners that accept work: the mean of what they hold counts,
            so leaving some out changes the costs of the others.
        typical_answer_s: Seconds that an answer of the service typically takes.
    """
    rooms = [
        fit.Room(
            own=each.own_held_tokens,
            others=each.held_tokens - each.own_held_tokens,
            active=each.active,
        )
        for each in found
    ]
    return fit.find_costs(
        rooms, profile.needed_tokens, profile.cache_tokens, typical_answer_s
    )
