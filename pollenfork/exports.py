"""The counters of the slices, set in the metrics before each scrape."""

from collections.abc import Mapping

from pollenfork import metrics
from pollenfork import scheduler
from pollenfork.answers import counters as answer_counters
from pollenfork.membership import lifecycle


class Exports:
    """Reads the slices' counters into the metrics."""

    def __init__(
        self,
        target: metrics.Metrics,
        slots: scheduler.Scheduler,
        relayed: answer_counters.Counters,
        membership: lifecycle.Membership,
    ) -> None:
        self._metrics = target
        self._slots = slots
        self._relayed = relayed
        self._membership = membership

    def refresh(self) -> None:
        """Sets every total."""
        self._refresh_scheduler()
        self._refresh_relay()
        failed = self._membership.count_failures()
        self._set_all("pollenfork_peer_failures_total", "kind", failed)

    def _refresh_scheduler(self) -> None:
        counted = self._slots.read_counters()
        self._set_all(
            "pollenfork_scheduler_refusals_total", "reason", counted.refusals
        )
        self._set_all(
            "pollenfork_retries_granted_total", "reason", counted.retries
        )
        totals = {
            "pollenfork_first_attempts_total": counted.first_attempts,
            "pollenfork_attempts_total": counted.attempts,
            "pollenfork_ejections_total": counted.ejections,
            "pollenfork_predictions_total": counted.predictions,
            "pollenfork_predictions_right_total": counted.predictions_right,
        }
        for name, total in totals.items():
            self._metrics.set_total(name, total)

    def _refresh_relay(self) -> None:
        counted = self._relayed
        by_reason = {
            "pollenfork_retries_total": counted.retries,
            "pollenfork_resumes_total": counted.resumes,
            "pollenfork_continuations_total": counted.continuations,
            "pollenfork_cancels_total": counted.cancels,
            "pollenfork_cancel_outcomes_total": counted.cancel_outcomes,
            "pollenfork_broken_answers_total": counted.broken,
            "pollenfork_failed_requests_total": counted.failed,
        }
        for name, counts in by_reason.items():
            self._set_all(name, "reason", counts)
        totals = {
            "pollenfork_whole_answers_total": counted.finished,
            "pollenfork_relayed_tokens_total": counted.tokens_relayed,
            "pollenfork_saved_tokens_total": counted.tokens_saved,
            "pollenfork_dropped_duplicates_total": counted.duplicates_dropped,
        }
        for name, total in totals.items():
            self._metrics.set_total(name, total)

    def _set_all(
        self, name: str, label: str, counts: Mapping[str, int]
    ) -> None:
        for value, total in list(counts.items()):
            self._metrics.set_total(name, total, **{label: value})
