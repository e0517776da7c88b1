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
    deps: context.Dependencies,
    state: cluster_state.ClusterState,
    caller_faults: Mapping[str, int],
) -> None:
    """Exports the counts of all parts, and the state of the settings.

    Args:
        output: Receives the metrics.
        deps: The dependencies that exchanges share.
        state: The configuration and the runners.
        caller_faults: The number of malformed requests, by fault.
    """
    for fault, count in caller_faults.items():
        output.set_count("pollenfork_caller_faults_total", count, reason=fault)
    _show_runners(output, deps, state)
    _show_settings(output, state, deps.loop.time())


def _show_runners(
    output: "metrics.Metrics",
    deps: context.Dependencies,
    state: cluster_state.ClusterState,
) -> None:
    for event, count in msgspec.structs.asdict(deps.pool.counters).items():
        output.set_count(
            "pollenfork_runner_connections_total", count, event=event
        )
    for service, counts in deps.pool.service_counters.items():
        for event, count in msgspec.structs.asdict(counts).items():
            output.set_count(
                "pollenfork_service_connections_total",
                count,
                service=service,
                event=event,
            )
    _show_reachable(output, deps, state)
    output.set_count("pollenfork_brittle_refusals_total", deps.brittle.refusals)
    for outcome, count in msgspec.structs.asdict(deps.permits.counts).items():
        output.set_count("pollenfork_permits_total", count, outcome=outcome)
    for why, count in state.refused_entries.items():
        output.set_count(
            "pollenfork_entries_refused_total", count, reason=why.value
        )
    for symptom, count in deps.evidence.counts.items():
        output.set_count(
            "pollenfork_findings_taken_total", count, sign=symptom.name.lower()
        )
    for kind, count in deps.runner_notices.counts.items():
        output.set_count("pollenfork_runner_notices_total", count, kind=kind)
    ends = deps.request_quarantine.tracker.counts
    output.set_count("pollenfork_runner_ends_total", ends["ends"])
    output.set_count("pollenfork_requests_kept_back_total", ends["kept_back"])
    output.set_count("pollenfork_runners_kept_total", state.runners.kept)
    for rejection, count in deps.paces.rejected.items():
        output.set_count(
            "pollenfork_pace_samples_rejected_total",
            count,
            reason=rejection.value,
        )
    output.set_gauge("pollenfork_slow_runners", deps.paces.slow_runners)


def _show_reachable(
    output: "metrics.Metrics",
    deps: context.Dependencies,
    state: cluster_state.ClusterState,
) -> None:
    """Exports how many runners can be connected to, and what follows."""
    output.set_count("pollenfork_findings_withheld_total", deps.reach.withheld)
    if deps.forwarder is not None:
        for result, count in deps.forwarder.counts.items():
            output.set_count(
                "pollenfork_forwarded_total", count, outcome=result.value
            )
    for lookup, count in deps.stream_origins.counts.items():
        output.set_count(
            "pollenfork_streams_taken_up_total", count, lookup=lookup.value
        )
    if state.lookup is None:
        return
    for service in state.lookup.configuration.services:
        accepting = state.runners.list_accepting(service)
        reachable = sum(
            deps.chooser.get_state(runner.id).reachable for runner in accepting
        )
        output.set_gauge(
            "pollenfork_runners_accepting", len(accepting), service=service
        )
        output.set_gauge(
            "pollenfork_runners_reachable", reachable, service=service
        )


def _show_settings(
    output: "metrics.Metrics", state: cluster_state.ClusterState, now: float
) -> None:
    if state.lookup is not None:
        version = state.lookup.configuration.version
        output.set_gauge("pollenfork_settings_revision", version)
    age_s = state.freshness.age(now)
    if age_s is not None:
        output.set_gauge("pollenfork_settings_age_seconds", age_s)
