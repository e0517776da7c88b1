"""Buffers grants and refusals, and counts them by reason."""

from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import budget
from pollenfork.dispatch import messages

Decision = messages.Grant | admission_messages.Refused

_TOLERANCE_S = 0.5
_TOLERANCE_RATIO = 0.5


class DecisionBuffer:
    """Collects the decisions that result from one event."""

    def __init__(self, counters: budget.Counters) -> None:
        self._counters = counters
        self._decisions: list[Decision] = []

    def add_grant(self, grant: messages.Grant) -> None:
        """Adds a grant."""
        self._counters.attempts += 1
        self._decisions.append(grant)

    def add_refused(self, refused: admission_messages.Refused) -> None:
        """Adds a refusal."""
        _count(self._counters.refusals, refused.reason.value)
        self._decisions.append(refused)

    def refuse(
        self,
        ask: admission_messages.Ask,
        reason: admission_messages.RefusalReason,
        retry_after_s: float | None = None,
    ) -> None:
        """Adds the refusal of a request."""
        self.add_refused(
            admission_messages.Refused(
                request=ask.request, reason=reason, retry_after_s=retry_after_s
            )
        )

    def count_retry(self, reason: messages.RetryReason) -> None:
        """Counts a retry that was allowed."""
        _count(self._counters.retries, reason.value)

    def count_prediction(self, predicted_s: float, waited_s: float) -> None:
        """Counts a predicted wait, and whether it was accurate enough."""
        self._counters.predictions += 1
        error = abs(waited_s - predicted_s)
        if error <= max(_TOLERANCE_S, _TOLERANCE_RATIO * waited_s):
            self._counters.predictions_right += 1

    def take(self) -> list[Decision]:
        """Returns the decisions made since the last call."""
        decisions = self._decisions
        self._decisions = []
        return decisions


def _count(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1
