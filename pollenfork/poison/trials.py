"""Schedules trials: single attempts to run a quarantined request again.

A request that was answered before may have been quarantined by coincidence, and
while it is sent to no runner, no answer can clear it. So one instance sends it
to one runner; each trial is claimed by a row in the store, which only one
instance can write. A request that was never answered gets no trials; an
operator may release it.

Where runners also crash without the request, both its own crashes and a trial
that ends in a crash prove less: trials then follow at shorter intervals, and
there is one more of them.

A part of a prompt gets trials even if it was never answered: it may be new, and
innocent requests share it.
"""

from collections.abc import Callable

import msgspec

from pollenfork import ids
from pollenfork.poison import crashes

# Seconds from the last known crash until each trial. At most three sends are
# allowed later than 3 s after the third crash; these are two, and the first
# comes after the sends that were in flight.
DELAYS_S = (3.2, 30.0)
# The most trials per request, the number of late sends allowed.
MAX_TRIALS = 3
# Where this many runners crashed without the request, a trial follows the last
# crash under it, or the previous trial, after this many seconds.
UNRELATED_CRASHES = 2
SHORT_DELAY_S = 0.6
# How often the unrelated crashes are counted for a request, in seconds.
_COUNT_INTERVAL_S = 0.1
# A refused claim is tried again after this many seconds.
_CLAIM_RETRY_S = 1.0


class _Claims(msgspec.Struct):
    """This instance's claims of trials for one request.

    Attributes:
        count: How many were made.
        not_before: The earliest time of the next one, in monotonic seconds.
        counted_at: When unrelated crashes were last counted, in monotonic
            seconds.
    """

    count: int = 0
    not_before: float = 0.0
    counted_at: float = float("-inf")


class Trials:
    """Decides when this instance may claim a trial."""

    def __init__(self) -> None:
        self._claims: dict[ids.RequestDigest, _Claims] = {}

    def take_due(
        self,
        history: crashes.CrashHistory,
        now: float,
        count_unrelated: Callable[[], int] = lambda: 0,
        *,
        is_part: bool = False,
    ) -> int | None:
        """Returns the number of the trial to claim now; None if none is due.

        Each number is returned once, unless its claim is refused.

        Args:
            history: The request's crash history.
            now: Monotonic seconds.
            count_unrelated: Returns how many runners have crashed without the
                request since its first crash.
            is_part: Whether the history is of a prompt part.
        """
        may_be_harmless = history.answered or is_part
        if (
            history.quarantined_at is None
            or not may_be_harmless
            or not history.crashes
        ):
            return None
        claims = self._claims.setdefault(history.digest, _Claims())
        if now < claims.not_before:
            return None
        quiet_s = now - history.crashes[-1].crashed_at
        if not _is_due(claims.count, quiet_s) and not _is_due_early(
            claims, quiet_s, now, count_unrelated
        ):
            return None
        claims.count += 1
        # Another instance's trial under the same number may still run.
        claims.not_before = now + SHORT_DELAY_S
        return claims.count

    def record_refused_claim(
        self, digest: ids.RequestDigest, now: float
    ) -> None:
        """Allows a claim that the store refused to be made again."""
        claims = self._claims.get(digest)
        if claims is not None and claims.count:
            claims.count -= 1
            claims.not_before = now + _CLAIM_RETRY_S

    def retain(self, quarantined: set[ids.RequestDigest]) -> None:
        """Forgets the claims of all other requests."""
        for digest in [
            each for each in self._claims if each not in quarantined
        ]:
            del self._claims[digest]


def _is_due(count: int, quiet_s: float) -> bool:
    """Returns whether a trial is due by the time since the last crash.

    Args:
        count: The number of trials so far.
        quiet_s: Seconds since the last crash.
    """
    return count < len(DELAYS_S) and quiet_s >= DELAYS_S[count]


def _is_due_early(
    claims: _Claims,
    quiet_s: float,
    now: float,
    count_unrelated: Callable[[], int],
) -> bool:
    """Returns whether a trial is due as runners crash without the request."""
    if claims.count >= MAX_TRIALS or quiet_s < SHORT_DELAY_S:
        return False
    if now - claims.counted_at < _COUNT_INTERVAL_S:
        return False
    claims.counted_at = now
    return count_unrelated() >= UNRELATED_CRASHES
