"""When a request that is kept back is tried once more.

What runners have answered before may be kept back by coincidence, and nothing
that runs nowhere can be cleared by an answer. So it is tried at one runner, by
one instance of all: each trial is claimed in the store, where it can be claimed
once. What no runner ever answered isn't tried; an operator may lift it.
"""

import msgspec

from pollenfork import ids
from pollenfork.poison import cases

# Seconds from the last known end until each trial. The promise allows three
# sends later than 3 s after the third end; these are two, and the first comes
# after the sends that were under way.
WAITS_S = (3.2, 30.0)
# A refused claim is tried again after this long, in seconds.
_AGAIN_S = 1.0


class _Asked(msgspec.Struct):
    """Claims made here for one request, and when the next may be."""

    count: int = 0
    not_before: float = 0.0


class Trials:
    """Decides whether this instance may claim a trial now."""

    def __init__(self) -> None:
        self._asked: dict[ids.RequestDigest, _Asked] = {}

    def take_due(self, case: cases.Case, now: float) -> int | None:
        """Returns the number of the trial to claim, once; None: none is due.

        Args:
            case: A request.
            now: Monotonic seconds.
        """
        if case.kept_since is None or not case.answered or not case.ends:
            return None
        asked = self._asked.setdefault(case.digest, _Asked())
        if asked.count >= len(WAITS_S) or now < asked.not_before:
            return None
        if now < case.ends[-1].ended_at + WAITS_S[asked.count]:
            return None
        asked.count += 1
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
