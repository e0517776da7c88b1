"""Decides whether a request is retried at another runner."""

from collections.abc import Callable
import enum

import msgspec

from pollenfork.fleet import messages
from pollenfork.gateway import attempt
from pollenfork.routes import model as routes

End = messages.End

# Runners that were sent nothing don't count as attempts, but the number of
# runners that are tried must be bounded.
_MAX_RUNNERS_TRIED = 4


class RetryDecision(enum.Enum):
    """The step after an attempt: an answer, a retry, or why there is none."""

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
        sent: Attempts that were sent and that reached the intended runner.
        runners_tried: Runners that were tried, reachable or not.
        may_have_run: Whether one of them may have run the request.
    """

    sent: int = 0
    runners_tried: int = 0
    may_have_run: bool = False

    def record(self, ended: attempt.AttemptResult) -> None:
        """Records the result of an attempt."""
        self.runners_tried += 1
        if ended.end is End.DISPLACED:
            # The intended runner is gone and never received the request. The
            # one that answered at its address doesn't count as an attempt.
            self.sent -= 1
        if ended.is_error or ended.end in (End.BROKEN, End.SILENT):
            self.may_have_run = True


def may_retry(route: routes.Route, history: AttemptHistory) -> bool:
    """Returns whether a request that may have run may be retried."""
    return (
        route.idempotent
        and history.sent < route.attempts
        and history.runners_tried < _MAX_RUNNERS_TRIED
    )


def decide(
    ended: attempt.AttemptResult,
    route: routes.Route,
    history: AttemptHistory,
    left_s: float,
    take_retry: Callable[[], bool],
) -> RetryDecision:
    """Returns the step after an attempt.

    Args:
        ended: The result of the attempt.
        route: The request's route.
        history: Its attempts, including this one.
        left_s: Seconds until the request's deadline.
        take_retry: Takes a retry from the budget; called last.
    """
    if ended.end is End.WHOLE and not ended.is_error:
        return RetryDecision.ANSWERED
    if not ended.end.proves_not_run and not route.idempotent:
        return RetryDecision.NOT_IDEMPOTENT
    if history.sent >= route.attempts:
        return RetryDecision.ATTEMPTS_SPENT
    if history.runners_tried >= _MAX_RUNNERS_TRIED:
        return RetryDecision.RUNNERS_EXHAUSTED
    if left_s <= 0:
        return RetryDecision.NO_TIME
    # A request that was never sent isn't a retry.
    if ended.end.reached_runner and not take_retry():
        return RetryDecision.BUDGET_SPENT
    return RetryDecision.RETRIED
