"""Retry budgets: what a class may send beyond its requests."""

import msgspec

from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages

_BURST = 16.0
_START = 2.0

_MOST_ATTEMPTS = 4

_Reason = admission_messages.RefusalReason

_MAY_HAVE_RUN = (
    messages.RetryReason.BROKEN_BEFORE_FIRST,
    messages.RetryReason.CONTINUE_ELSEWHERE,
)

# Not charged: the first was never sent, the second goes on with an answer
# instead of repeating it.
_FREE = (
    messages.RetryReason.NEVER_SENT,
    messages.RetryReason.CONTINUE_ELSEWHERE,
)


class RetryBudgets:
    """A token bucket for each class, filled by its first attempts."""

    def __init__(self) -> None:
        self._tokens: dict[admission_messages.ClassKey, float] = {}

    def earn(self, ask: admission_messages.Ask) -> None:
        """Adds a first attempt's worth."""
        key = admission_messages.class_key(ask)
        tokens = self._tokens.get(key, _START) + ask.retry_ratio
        self._tokens[key] = min(tokens, _BURST)

    def spend(self, ask: admission_messages.Ask) -> bool:
        """Takes one attempt; returns False where the budget has none."""
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
        """Charges a retry, or returns why there is none.

        Args:
            ask: The request.
            reason: Why it asks.
            sent: How often it was sent so far.
            now: Monotonic seconds.
        """
        if reason in _MAY_HAVE_RUN and not ask.idempotent:
            return _Reason.RETRY_UNSAFE
        if reason is not messages.RetryReason.CONTINUE_ELSEWHERE:
            due = ask.first_token_due if ask.late_refused else ask.give_up_at
            if now >= due:
                return _Reason.RETRY_TOO_LATE
        if sent >= _MOST_ATTEMPTS:
            return _Reason.RETRY_BUDGET
        if reason in _FREE or self.spend(ask):
            return None
        return _Reason.RETRY_BUDGET

    def find_hedge_refusal(self, ask: admission_messages.Ask) -> _Reason | None:
        """Returns why the request may have no hedge, if so."""
        if not (ask.hedge and ask.idempotent):
            return _Reason.RETRY_UNSAFE
        return None if self._has_token(ask) else _Reason.RETRY_BUDGET

    def _has_token(self, ask: admission_messages.Ask) -> bool:
        return self._tokens.get(admission_messages.class_key(ask), 0.0) >= 1.0


def renew(ask: admission_messages.Ask, now: float) -> admission_messages.Ask:
    """Returns the ask of an answer that is to be continued.

    Its caller has the first token; only the wait is bounded anew.
    """
    return msgspec.structs.replace(
        ask,
        first_token_due=now,
        give_up_at=now + ask.give_up_at - ask.arrived,
        late_refused=False,
    )


class Counters(msgspec.Struct):
    """What was refused, retried and hedged, by reason; for metrics.

    Attributes:
        refusals: By `RefusalReason` value.
        retries: Granted, by `RetryReason` value.
        first_attempts: Requests that were sent.
        attempts: Attempts that were sent, hedges and retries included.
        ejections: Endpoints taken out as stragglers.
        predictions: Waits that had been predicted.
        predictions_right: Of these, within half or half a second.
    """

    refusals: dict[str, int] = {}
    retries: dict[str, int] = {}
    first_attempts: int = 0
    attempts: int = 0
    ejections: int = 0
    predictions: int = 0
    predictions_right: int = 0
