"""Retry budgets: what a class may send beyond its requests."""

import msgspec

from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages

_BURST = 3.0
_START = 1.0

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

    def earn(self, key: admission_messages.ClassKey, ratio: float) -> None:
        """Adds a first attempt's worth."""
        tokens = self._tokens.get(key, _START) + ratio
        self._tokens[key] = min(tokens, max(_BURST, ratio))

    def can_spend(self, key: admission_messages.ClassKey) -> bool:
        """Returns whether the budget has a retry left."""
        return self._tokens.get(key, 0.0) >= 1.0

    def spend(
        self, key: admission_messages.ClassKey, reason: messages.RetryReason
    ) -> bool:
        """Takes one retry; returns False where the budget has none."""
        if reason in _FREE:
            return True
        tokens = self._tokens.get(key, 0.0)
        if tokens < 1.0:
            return False
        self._tokens[key] = tokens - 1.0
        return True


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
