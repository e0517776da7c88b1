"""Decides whether the store was away from everybody; makes no call itself.

A runner renews its entry about once a heartbeat, and the entry is removed
after a few heartbeats of silence. So entries of live runners vanish where
nobody could write to the store for a while, and only there. That one
instance's calls fail shows no such thing: the store may turn that one away.
"""

# An entry lasts three heartbeats from its last renewal, which was up to one
# before the store went away; in a shorter outage none of a live runner ends.
_LEAST_HEARTBEATS = 2.0
# Entries that ended in an outage are back this soon after it if their runner
# lives, in seconds; the store's operators promise it.
LAPSE_S = 2.0
# 3 s after its return what the store says of runners is final. It may have
# been back since right after the last call that it didn't answer, so nothing
# is kept longer than this after it, in seconds; 0.3 s are margin.
_FINAL_S = 2.7


class Outages:
    """The store's outages, by what it answered to anyone in reach."""

    def __init__(self, heartbeat_s: float) -> None:
        """Starts with nothing known.

        Args:
            heartbeat_s: Seconds between two renewals of a runner's entry.
        """
        self._least_s = _LEAST_HEARTBEATS * heartbeat_s
        self._answered_at: float | None = None
        self._failed_at: float | None = None

    def read_age(self, now: float) -> float | None:
        """Returns seconds since the store answered anyone; None: unknown."""
        return None if self._answered_at is None else now - self._answered_at

    def note_failure(self, sent_at: float) -> None:
        """Takes a call of this instance's own that the store didn't answer.

        Args:
            sent_at: When it was sent, in monotonic seconds.
        """
        self._failed_at = sent_at

    def note_answer(self, moment: float) -> float | None:
        """Takes a moment at which the store answered any instance.

        Args:
            moment: Monotonic seconds here.

        Returns:
            Where it ends an outage, until when entries may still come back
            that ended in it, in monotonic seconds; else None.
        """
        before, failed_at = self._answered_at, self._failed_at
        if before is not None and moment <= before:
            return None
        self._answered_at = moment
        if before is None or failed_at is None or failed_at < before:
            # Without a failure nobody asked, or this one heard nobody.
            return None
        if moment - before < self._least_s:
            return None
        return min(moment + LAPSE_S, failed_at + _FINAL_S)
