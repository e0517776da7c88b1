"""Decides whether a request goes to a further runner after an attempt."""

from collections.abc import Callable
import enum

import msgspec

from pollenfork.fleet import messages
from pollenfork.gateway import attempt
from pollenfork.routes import model as routes

End = messages.End

# Runners that could not be reached don't count as attempts, but the search
# for one that can must end.
_LARGEST_SEARCH = 4
_SERVER_ERROR = 500


class RetryDecision(enum.Enum):
    """What follows an attempt: the answer, another attempt, or why neither."""

    ANSWERED = "answered"
    RETRIED = "repeated"
    NOT_IDEMPOTENT = "not_idempotent"
    ATTEMPTS_SPENT = "attempts_spent"
    RUNNERS_EXHAUSTED = "search_ended"
    NO_TIME = "no_time"
    BUDGET_SPENT = "budget_spent"


class AttemptHistory(msgspec.Struct):
    """The attempts of one request so far.

    Attributes:
        sent: Runners that it was sent to and that were there.
        runners_tried: Runners that were tried, reached or not.
        may_have_run: Whether one of them may have run it.
    """

    sent: int = 0
    runners_tried: int = 0
    may_have_run: bool = False

    def note(self, ended: attempt.AttemptResult) -> None:
        """Takes the end of an attempt."""
        self.runners_tried += 1
        if ended.end is End.DISPLACED:
            # The runner that was meant is gone and never got it; who answered
            # at its address doesn't count against the route's attempts.
            self.sent -= 1
        if is_error(ended) or ended.end in (End.BROKEN, End.SILENT):
            self.may_have_run = True


def is_error(ended: attempt.AttemptResult) -> bool:
    """Returns whether a whole answer is the runner's own failure."""
    return (
        ended.end is End.WHOLE
        and ended.head is not None
        and ended.head.status >= _SERVER_ERROR
    )


def may_retry(route: routes.Route, history: AttemptHistory) -> bool:
    """Returns whether the route lets a request that may have run go on."""
    return route.idempotent and history.sent < route.attempts


def decide(
    ended: attempt.AttemptResult,
    route: routes.Route,
    history: AttemptHistory,
    left_s: float,
    take_retry: Callable[[], bool],
) -> RetryDecision:
    """Returns what follows an attempt.

    Args:
        ended: How it ended.
        route: The request's route.
        history: Its attempts, this one included.
        left_s: Seconds until the answer is of no use.
        take_retry: Takes a repeat from the budget; asked last.
    """
    if ended.end is End.WHOLE and not is_error(ended):
        return RetryDecision.ANSWERED
    if not ended.end.proves_not_run and not route.idempotent:
        return RetryDecision.NOT_IDEMPOTENT
    if history.sent >= route.attempts:
        return RetryDecision.ATTEMPTS_SPENT
    if history.runners_tried >= _LARGEST_SEARCH:
        return RetryDecision.RUNNERS_EXHAUSTED
    if left_s <= 0:
        return RetryDecision.NO_TIME
    # What was never sent is not a repeat.
    if ended.end is not End.UNSENT and not take_retry():
        return RetryDecision.BUDGET_SPENT
    return RetryDecision.RETRIED
