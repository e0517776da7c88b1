"""What the parts of a gateway have counted, as a scraper is shown it."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

from pollenfork.gateway import context
from pollenfork.gateway import knowledge

if TYPE_CHECKING:
    from pollenfork import metrics


def show(
    shown: "metrics.Metrics",
    tools: context.Dependencies,
    known: knowledge.Knowledge,
    caller_faults: Mapping[str, int],
) -> None:
    """Shows the counts of all parts, and the settings.

    Args:
        shown: Takes them.
        tools: What exchanges share.
        known: What is known of the configuration and of the runners.
        caller_faults: Bytes that were no proper request, by what was wrong.
    """
    for fault, count in caller_faults.items():
        shown.set_count("pollenfork_caller_faults_total", count, reason=fault)
    _show_runners(shown, tools, known)
    _show_settings(shown, known, tools.loop.time())


def _show_runners(
    shown: "metrics.Metrics",
    tools: context.Dependencies,
    known: knowledge.Knowledge,
) -> None:
    for event, count in msgspec.structs.asdict(tools.pool.counters).items():
        shown.set_count(
            "pollenfork_runner_connections_total", count, event=event
        )
    for outcome, count in msgspec.structs.asdict(tools.permits.counts).items():
        shown.set_count("pollenfork_permits_total", count, outcome=outcome)
    for why, count in known.refused_entries.items():
        shown.set_count(
            "pollenfork_entries_refused_total", count, reason=why.value
        )
    for sign, count in tools.evidence.counts.items():
        shown.set_count(
            "pollenfork_findings_taken_total", count, sign=sign.name.lower()
        )
    counts = tools.request_quarantine.book.counts
    shown.set_count("pollenfork_runner_ends_total", counts["ends"])
    shown.set_count("pollenfork_requests_kept_back_total", counts["kept_back"])
    shown.set_count("pollenfork_runners_kept_total", known.runners.kept)


def _show_settings(
    shown: "metrics.Metrics", known: knowledge.Knowledge, now: float
) -> None:
    if known.lookup is not None:
        version = known.lookup.configuration.version
        shown.set_gauge("pollenfork_settings_revision", version)
    age_s = known.freshness.age(now)
    if age_s is not None:
        shown.set_gauge("pollenfork_settings_age_seconds", age_s)
