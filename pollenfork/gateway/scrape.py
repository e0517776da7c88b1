"""Exports the counts of a gateway's parts as metrics."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

from pollenfork.gateway import cluster_state
from pollenfork.gateway import context

if TYPE_CHECKING:
    from pollenfork import metrics


def show(
    output: "metrics.Metrics",
    tools: context.Dependencies,
    known: cluster_state.ClusterState,
    caller_faults: Mapping[str, int],
) -> None:
    """Exports the counts of all parts, and the state of the settings.

    Args:
        output: Receives the metrics.
        tools: The dependencies that exchanges share.
        known: The configuration and the runners.
        caller_faults: The number of malformed requests, by fault.
    """
    for fault, count in caller_faults.items():
        output.set_count("pollenfork_caller_faults_total", count, reason=fault)
    _show_runners(output, tools, known)
    _show_settings(output, known, tools.loop.time())


def _show_runners(
    output: "metrics.Metrics",
    tools: context.Dependencies,
    known: cluster_state.ClusterState,
) -> None:
    for event, count in msgspec.structs.asdict(tools.pool.counters).items():
        output.set_count(
            "pollenfork_runner_connections_total", count, event=event
        )
    for outcome, count in msgspec.structs.asdict(tools.permits.counts).items():
        output.set_count("pollenfork_permits_total", count, outcome=outcome)
    for why, count in known.refused_entries.items():
        output.set_count(
            "pollenfork_entries_refused_total", count, reason=why.value
        )
    for sign, count in tools.evidence.counts.items():
        output.set_count(
            "pollenfork_findings_taken_total", count, sign=sign.name.lower()
        )
    counts = tools.request_quarantine.tracker.counts
    output.set_count("pollenfork_runner_ends_total", counts["ends"])
    output.set_count("pollenfork_requests_kept_back_total", counts["kept_back"])
    output.set_count("pollenfork_runners_kept_total", known.runners.kept)


def _show_settings(
    output: "metrics.Metrics", known: cluster_state.ClusterState, now: float
) -> None:
    if known.lookup is not None:
        version = known.lookup.configuration.version
        output.set_gauge("pollenfork_settings_revision", version)
    age_s = known.freshness.age(now)
    if age_s is not None:
        output.set_gauge("pollenfork_settings_age_seconds", age_s)
