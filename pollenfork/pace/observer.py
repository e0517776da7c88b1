"""Times the events of a streamed answer."""

import collections

from pollenfork.loads import messages

# A runner processes so many prompt tokens in one step. Fewer lengthen one step
# of an answer, which the lower quartile leaves out.
_MAX_PENDING_TOKENS = 2048
# What each further running request adds to a decode step, as a fraction.
_STEP_GROWTH = 0.02
# A lower quartile of fewer intervals may consist of delayed ones only.
MIN_INTERVALS = 6
# Bounds the memory that a long answer takes; the latest intervals are kept.
_MAX_INTERVALS = 128


class EventTimer:
    """Measures the typical interval between the events of one answer.

    The lower quartile leaves out the decode steps during which the runner also
    ran the prefill of another prompt.
    """

    def __init__(self) -> None:
        self._last: float | None = None
        self._intervals: collections.deque[float] = collections.deque(
            maxlen=_MAX_INTERVALS
        )

    def record(self, now: float, events: int = 1) -> None:
        """Adds events that arrived together.

        Events that one read returns were generated one after the other, so
        each counts with its share of the time since the previous read.

        Args:
            now: Monotonic seconds.
            events: Their number.
        """
        if events < 1:
            return
        if self._last is not None:
            share = (now - self._last) / events
            self._intervals.extend([share] * min(events, _MAX_INTERVALS))
        self._last = now

    def get_interval_ms(self) -> float | None:
        """Returns the lower quartile; None: there are too few intervals."""
        if len(self._intervals) < MIN_INTERVALS:
            return None
        ordered = sorted(self._intervals)
        return ordered[len(ordered) // 4] * 1000


def find_unloaded_ms(
    interval_ms: float, begun: messages.Load, ended: messages.Load
) -> float | None:
    """Returns the interval that the runner would have had without load.

    Args:
        interval_ms: The typical interval between two events of an answer.
        begun: The runner's load, over all instances, at the first event.
        ended: The same after the end.

    Returns:
        None if the runner was processing long prompts: with a queue of prompts,
        an interval shows the queue and not the runner.
    """
    if max(begun.pending_tokens, ended.pending_tokens) > _MAX_PENDING_TOKENS:
        return None
    others = (begun.active - 1 + ended.active) / 2
    return interval_ms / (1.0 + _STEP_GROWTH * max(0.0, others))
