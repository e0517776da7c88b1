"""Recognizes pauses of a stream that suggest a preempted request."""

# A runner that preempts a request computes its cache again later. The longest
# other pause known is 3.4 times the target for gaps: a chunk of prefill between
# decode steps takes 150 ms, and 670 ms on a runner of 0.55 of the nominal speed
# in a slow spell of 2.5 times, where the target is 200 ms.
_GAP_FACTOR = 4.0


class StreamWatch:
    """Watches the pauses between one answer's events."""

    def __init__(self, gap_target_s: float) -> None:
        """Creates a watch that has seen no event.

        Args:
            gap_target_s: The route's target for the longest pause; 0: none,
                then no pause is suspect.
        """
        self._limit_s = gap_target_s * _GAP_FACTOR
        self._event_at: float | None = None
        self._is_done = gap_target_s <= 0.0

    def restart(self) -> None:
        """Leaves out the pause before the next event.

        It isn't the runner's: the request was sent to another one, or reading
        was stopped for a slow caller.
        """
        self._event_at = None

    def observe(self, now: float) -> float | None:
        """Observes events; returns the first suspect pause, once per answer.

        Args:
            now: Monotonic seconds.
        """
        if self._is_done:
            return None
        before, self._event_at = self._event_at, now
        if before is None or now - before <= self._limit_s:
            return None
        self._is_done = True
        return now - before
