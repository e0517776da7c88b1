"""Retry budgets: how many extra attempts each class may send."""

import msgspec

from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages

_MAX_TOKENS = 16.0
_INITIAL_TOKENS = 2.0

_MAX_ATTEMPTS = 4

_Reason = admission_messages.RefusalReason

_MAY_HAVE_RUN = (
    messages.RetryReason.BROKEN_BEFORE_FIRST,
    messages.RetryReason.CONTINUE_ELSEWHERE,
)

# Not charged: an attempt that was never sent, and one that continues an answer
# instead of repeating it.
_FREE = (
    messages.RetryReason.NEVER_SENT,
    messages.RetryReason.CONTINUE_ELSEWHERE,
)


class RetryBudgets:
    """One token bucket per class, filled by its first attempts."""

    def __init__(self) -> None:
        self._tokens: dict[admission_messages.ClassKey, float] = {}

    def earn(self, ask: admission_messages.Ask) -> None:
        """Adds the retry ratio of the class for a first attempt."""
        key = admission_messages.class_key(ask)
        tokens = self._tokens.get(key, _INITIAL_TOKENS) + ask.retry_ratio
        self._tokens[key] = min(tokens, _MAX_TOKENS)

    def spend(self, ask: admission_messages.Ask) -> bool:
        """Spends one token; returns False if the bucket has none."""
        if not self._has_token(ask):
            return False
        self._tokens[admission_messages.class_key(ask)] -= 1.0
        return True

    def charge(
        self,
        ask: admission_messages.Ask,
        reason: messages.RetryReason,
        sent: int,
        now: float,
    ) -> _Reason | None:
        """Charges a retry; returns the reason if it is refused.

        Args:
            ask: The request.
            reason: Why the request is retried.
            sent: The number of attempts sent so far.
            now: Monotonic seconds.
        """
        if reason in _MAY_HAVE_RUN and not ask.idempotent:
            return _Reason.RETRY_UNSAFE
        if reason is not messages.RetryReason.CONTINUE_ELSEWHERE:
            due = ask.first_token_due if ask.late_refused else ask.give_up_at
            if now >= due:
                return _Reason.RETRY_TOO_LATE
        if sent >= _MAX_ATTEMPTS:
            return _Reason.RETRY_BUDGET
        if reason in _FREE or self.spend(ask):
            return None
        return _Reason.RETRY_BUDGET

    def find_hedge_refusal(self, ask: admission_messages.Ask) -> _Reason | None:
        """Returns why the request may not be hedged; None if it may."""
        if not (ask.hedge and ask.idempotent):
            return _Reason.RETRY_UNSAFE
        return None if self._has_token(ask) else _Reason.RETRY_BUDGET

    def _has_token(self, ask: admission_messages.Ask) -> bool:
        return self._tokens.get(admission_messages.class_key(ask), 0.0) >= 1.0


def renew_deadlines(
    ask: admission_messages.Ask, now: float
) -> admission_messages.Ask:
    """Returns the ask for continuing an answer elsewhere.

    Its caller already has the first token, so only the limit on the wait
    applies, counted from now.
    """
    return msgspec.structs.replace(
        ask,
        first_token_due=now,
        give_up_at=now + ask.give_up_at - ask.arrived,
        late_refused=False,
    )


class Counters(msgspec.Struct):
    """Counts of refusals, retries and hedges by reason, for metrics.

    Attributes:
        refusals: By `RefusalReason` value.
        retries: Granted retries by `RetryReason` value.
        first_attempts: Requests that were sent at least once.
        attempts: Attempts sent, including retries and hedges.
        ejections: Ejections of endpoints that were stragglers.
        predictions: Predicted waits.
        predictions_right: Of these, correct within half or half a second.
    """

    refusals: dict[str, int] = {}
    retries: dict[str, int] = {}
    first_attempts: int = 0
    attempts: int = 0
    ejections: int = 0
    predictions: int = 0
    predictions_right: int = 0
