"""Detects outages of the store that affected all instances; performs no I/O.

A runner renews its entry about once per heartbeat, and the store removes the
entry after a few heartbeats without renewal. Entries of live runners therefore
disappear only if nobody could write to the store for a while. Failing calls of
one instance don't show that, as the store may reject just that instance.
"""

# An entry lasts three heartbeats from its last renewal, which was up to one
# heartbeat before the outage; in a shorter outage no live runner's entry ends.
_MIN_HEARTBEATS = 2.0
# Entries removed in an outage are back this soon after it if their runner is
# alive, in seconds; the store's operators guarantee it.
LAPSE_S = 2.0
# What the store lists is final 3 s after its return. It may have returned right
# after the last call that failed, so no entry is kept longer than this after
# that call, in seconds, with a margin of 0.3 s.
_FINAL_S = 2.7


class Outages:
    """Tracks when the store answered any instance, to detect outages."""

    def __init__(self, heartbeat_s: float) -> None:
        """Starts without any call known.

        Args:
            heartbeat_s: Seconds between two renewals of a runner's entry.
        """
        self._min_outage_s = _MIN_HEARTBEATS * heartbeat_s
        self._answered_at: float | None = None
        self._failed_at: float | None = None

    def read_age(self, now: float) -> float | None:
        """Returns seconds since the store answered anyone; None: unknown."""
        return None if self._answered_at is None else now - self._answered_at

    def record_failure(self, sent_at: float) -> None:
        """Notes a call of this instance that the store didn't answer.

        Args:
            sent_at: When it was sent, in monotonic seconds.
        """
        self._failed_at = sent_at

    def record_answer(self, moment: float) -> float | None:
        """Notes when the store answered any instance.

        Args:
            moment: Monotonic seconds here.

        Returns:
            If this ends an outage, the monotonic seconds until which entries
            that were removed in it may return; else None.
        """
        before, failed_at = self._answered_at, self._failed_at
        if before is not None and moment <= before:
            return None
        self._answered_at = moment
        if before is None or failed_at is None or failed_at < before:
            # Without a failed call since, there may just have been no calls, or
            # no messages of other instances.
            return None
        if moment - before < self._min_outage_s:
            return None
        return min(moment + LAPSE_S, failed_at + _FINAL_S)
