"""When a request that is kept back is tried once more.

What runners have answered before may be kept back by coincidence, and nothing
that runs nowhere can be cleared by an answer. So it is tried at one runner, by
one instance of all: each trial is claimed in the store, where it can be claimed
once. What no runner ever answered isn't tried; an operator may lift it.

Where runners end without the request, its own ends prove less and so does a
trial that ends with its runner: trials follow each other sooner, and there is
one more of them.
"""

from collections.abc import Callable

import msgspec

from pollenfork import ids
from pollenfork.poison import cases

# Seconds from the last known end until each trial. The promise allows three
# sends later than 3 s after the third end; these are two, and the first comes
# after the sends that were under way.
WAITS_S = (3.2, 30.0)
# Trials at most, as many as that promise allows sends.
TRIALS_LIMIT = 3
# Where this many runners have ended without the request, a trial follows the
# last end under it, or the trial before, after this long, in seconds.
OTHER_ENDS = 2
SOON_S = 0.6
# How often the other ends are counted for a request, in seconds.
_COUNT_S = 0.1
# A refused claim is tried again after this long, in seconds.
_AGAIN_S = 1.0


class _Asked(msgspec.Struct):
    """Claims made here for one request, and when the next may be.

    Attributes:
        count: Claims made.
        not_before: Monotonic seconds before which there is no other.
        counted_at: The same of the last count of other ends.
    """

    count: int = 0
    not_before: float = 0.0
    counted_at: float = float("-inf")


class Trials:
    """Decides whether this instance may claim a trial now."""

    def __init__(self) -> None:
        self._asked: dict[ids.RequestDigest, _Asked] = {}

    def take_due(
        self,
        case: cases.Case,
        now: float,
        count_others: Callable[[], int] = lambda: 0,
    ) -> int | None:
        """Returns the number of the trial to claim, once; None: none is due.

        Args:
            case: A request.
            now: Monotonic seconds.
            count_others: Returns how many runners have ended without it since
                its first end.
        """
        if case.kept_since is None or not case.answered or not case.ends:
            return None
        asked = self._asked.setdefault(case.digest, _Asked())
        if now < asked.not_before:
            return None
        quiet_s = now - case.ends[-1].ended_at
        if not _is_due(asked.count, quiet_s) and not _is_due_soon(
            asked, quiet_s, now, count_others
        ):
            return None
        asked.count += 1
        # Another instance's trial under the same number may still run.
        asked.not_before = now + SOON_S
        return asked.count

    def note_refused(self, digest: ids.RequestDigest, now: float) -> None:
        """Takes that the store took no claim: it may be made again."""
        asked = self._asked.get(digest)
        if asked is not None and asked.count:
            asked.count -= 1
            asked.not_before = now + _AGAIN_S

    def forget(self, kept: set[ids.RequestDigest]) -> None:
        """Forgets all but the requests that are kept back."""
        for digest in [each for each in self._asked if each not in kept]:
            del self._asked[digest]


def _is_due(count: int, quiet_s: float) -> bool:
    """Returns whether a trial is due by time alone.

    Args:
        count: Trials that there have been.
        quiet_s: Seconds since the last end.
    """
    return count < len(WAITS_S) and quiet_s >= WAITS_S[count]


def _is_due_soon(
    asked: _Asked, quiet_s: float, now: float, count_others: Callable[[], int]
) -> bool:
    """Returns whether a trial is due as runners end without the request."""
    if asked.count >= TRIALS_LIMIT or quiet_s < SOON_S:
        return False
    if now - asked.counted_at < _COUNT_S:
        return False
    asked.counted_at = now
    return count_others() >= OTHER_ENDS
