"""Counts that parts keep as plain integers, brought into the metrics.

The data path counts into integers of its own; each scrape reads them.
"""

from collections.abc import Callable, Mapping

from pollenfork import metrics
from pollenfork import scheduler
from pollenfork.answers import counters as answer_counters
from pollenfork.entry import progress
from pollenfork.entry import server


def watch_relay(to: metrics.Metrics, counted: answer_counters.Counters) -> None:
    """Brings in the relay's retries, resumes, cancels and tokens."""

    def read() -> None:
        _set_by(to, "pollenfork_relay_retries_total", counted.retries)
        _set_by(to, "pollenfork_resumes_total", counted.resumes)
        _set_by(to, "pollenfork_continuations_total", counted.continuations)
        _set_by(to, "pollenfork_hedges_total", counted.hedges)
        _set_by(to, "pollenfork_cancels_total", counted.cancels)
        _set_by(to, "pollenfork_cancel_outcomes_total", counted.cancel_outcomes)
        _set_by(to, "pollenfork_broken_answers_total", counted.broken)
        _set_by(to, "pollenfork_failed_requests_total", counted.failed)
        to.set_count("pollenfork_whole_answers_total", counted.finished)
        to.set_count("pollenfork_tokens_relayed_total", counted.tokens_relayed)
        to.set_count("pollenfork_tokens_saved_total", counted.tokens_saved)
        to.set_count(
            "pollenfork_duplicate_events_total", counted.duplicates_dropped
        )

    to.add_source(read)


def watch_scheduler(
    to: metrics.Metrics, scheduling: scheduler.Scheduler
) -> None:
    """Brings in the scheduler's refusals, retries and attempts."""

    def read() -> None:
        counted = scheduling.read_counters()
        _set_by(to, "pollenfork_scheduler_refusals_total", counted.refusals)
        _set_by(to, "pollenfork_retries_granted_total", counted.retries)
        to.set_count("pollenfork_requests_sent_total", counted.first_attempts)
        to.set_count("pollenfork_attempts_total", counted.attempts)
        to.set_count("pollenfork_ejections_total", counted.ejections)
        to.set_count("pollenfork_predictions_total", counted.predictions)
        to.set_count(
            "pollenfork_predictions_right_total", counted.predictions_right
        )

    to.add_source(read)


def watch_entry(
    to: metrics.Metrics,
    in_progress: progress.InProgress,
    counted: server.ServerCounters,
) -> None:
    """Brings in the requests in progress and the connections refused."""

    def read() -> None:
        to.set_gauge("pollenfork_requests_in_progress", in_progress.count)
        to.set_count("pollenfork_full_refusals_total", counted.full)
        to.set_count("pollenfork_connections_refused_total", counted.overflow)
        to.set_count("pollenfork_stalled_callers_total", counted.stalled)

    to.add_source(read)


def watch_peers(
    to: metrics.Metrics, count_failures: Callable[[], Mapping[str, int]]
) -> None:
    """Brings in the failures at the interface between instances."""

    def read() -> None:
        _set_by(to, "pollenfork_peer_failures_total", count_failures())

    to.add_source(read)


def _set_by(to: metrics.Metrics, name: str, counted: Mapping[str, int]) -> None:
    for reason, value in list(counted.items()):
        to.set_count(name, value, reason=reason)
