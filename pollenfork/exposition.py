"""Exports counters that components keep as plain integers.

The data path increments its own integers; each scrape copies them into the
metrics.
"""

from collections.abc import Callable, Mapping

from pollenfork import metrics
from pollenfork import scheduler
from pollenfork.answers import counters as answer_counters
from pollenfork.entry import progress
from pollenfork.entry import server


def register_relay(
    output: metrics.Metrics, counters: answer_counters.Counters
) -> None:
    """Exports the relay's retries, resumes, cancels and tokens."""

    def export() -> None:
        _set_by_reason(
            output, "pollenfork_relay_retries_total", counters.retries
        )
        _set_by_reason(output, "pollenfork_resumes_total", counters.resumes)
        _set_by_reason(
            output, "pollenfork_continuations_total", counters.continuations
        )
        _set_by_reason(output, "pollenfork_hedges_total", counters.hedges)
        _set_by_reason(output, "pollenfork_cancels_total", counters.cancels)
        _set_by_reason(
            output, "pollenfork_cancel_outcomes_total", counters.cancel_outcomes
        )
        _set_by_reason(
            output, "pollenfork_broken_answers_total", counters.broken
        )
        _set_by_reason(
            output, "pollenfork_failed_requests_total", counters.failed
        )
        output.set_count("pollenfork_whole_answers_total", counters.finished)
        output.set_count(
            "pollenfork_tokens_relayed_total", counters.tokens_relayed
        )
        output.set_count("pollenfork_tokens_saved_total", counters.tokens_saved)
        output.set_count(
            "pollenfork_duplicate_events_total", counters.duplicates_dropped
        )

    output.add_source(export)


def register_scheduler(
    output: metrics.Metrics, source: scheduler.Scheduler
) -> None:
    """Exports the scheduler's refusals, retries and attempts."""

    def export() -> None:
        counters = source.read_counters()
        _set_by_reason(
            output, "pollenfork_scheduler_refusals_total", counters.refusals
        )
        _set_by_reason(
            output, "pollenfork_retries_granted_total", counters.retries
        )
        output.set_count(
            "pollenfork_requests_sent_total", counters.first_attempts
        )
        output.set_count("pollenfork_attempts_total", counters.attempts)
        output.set_count("pollenfork_ejections_total", counters.ejections)
        output.set_count("pollenfork_predictions_total", counters.predictions)
        output.set_count(
            "pollenfork_predictions_right_total", counters.predictions_right
        )

    output.add_source(export)


def register_entry(
    output: metrics.Metrics,
    in_progress: progress.InProgress,
    counters: server.ServerCounters,
) -> None:
    """Exports the requests in progress and the connections refused."""

    def export() -> None:
        output.set_gauge("pollenfork_requests_in_progress", in_progress.count)
        output.set_count("pollenfork_full_refusals_total", counters.full)
        output.set_count(
            "pollenfork_connections_refused_total", counters.overflow
        )
        output.set_count("pollenfork_stalled_callers_total", counters.stalled)

    output.add_source(export)


def register_peers(
    output: metrics.Metrics, count_failures: Callable[[], Mapping[str, int]]
) -> None:
    """Exports the failures of calls between instances."""

    def export() -> None:
        _set_by_reason(
            output, "pollenfork_peer_failures_total", count_failures()
        )

    output.add_source(export)


def _set_by_reason(
    output: metrics.Metrics, name: str, counts: Mapping[str, int]
) -> None:
    # Copied first: other threads may add reasons meanwhile.
    for reason, value in list(counts.items()):
        output.set_count(name, value, reason=reason)
