"""One request's trace: its log lines and related lines of all instances."""

from collections.abc import Iterable, Iterator

import msgspec

from pollenfork.logbook import lines

Line = lines.Line

# What an instance knows of the configuration, the store and its peers, by the
# event that changes it.
_STATE_EVENTS = {
    "configuration_in_force": "configuration",
    "readiness": "readiness",
    "store_lost": "store",
    "store_back": "store",
    "store_bypassed": "store",
    "store_epoch": "epoch",
    "store_restored": "epoch",
    "relay_changed": "relay",
    "peers_known": "peers",
    "runners_lost": "runners",
    "runners_back": "runners",
}
# Changes of a runner's state.
_RUNNER_EVENTS = frozenset(
    {
        "leaving_announced",
        "pace_changed",
        "pause_requested",
        "preemption_suspected",
        "runner_found",
        "runner_gone",
        "runner_known",
        "runner_shunned",
        "runner_trusted",
    }
)
# Events about requests that crash runners; they carry the request's digest.
_DIGEST_EVENTS = frozenset(
    {
        "runner_ended",
        "request_kept_back",
        "request_cleared",
        "request_lifted",
    }
)
# Events about when refused callers return; they carry the request's digest.
_RETURN_EVENTS = frozenset(
    {
        "return_planned",
        "return_unplanned",
        "return_kept",
        "return_early",
    }
)
_FAILURE_EVENTS = frozenset({"attempt_failed", "runner_shunned"})
# Runner events are included up to this long after a request's last line, since
# a registry takes several heartbeats to notice a crash.
_LATE_EVENT_WINDOW_S = 6.0
# Failures of other requests at a runner within this time are likely to have
# the same cause.
_RELATED_WINDOW_S = 2.0


class Trace(msgspec.Struct, frozen=True):
    """The log lines that concern one request.

    The field names are keys of the JSON output.

    Attributes:
        request: The request's id.
        lines: Its own lines, in order.
        beliefs: The state known to its instances: the latest line of each
            kind up to the request's last line.
        runners: Changes of its runners' state, before it and soon after.
        others: Failures of other requests at its runners around that time.
        starts: Starts of its instances after its last line.
        missing: Number of lines that its instances dropped around that time.
        ends: Runner crashes and quarantine decisions that any instance logged
            under the request's digest, at any time.
        returns: What other requests with its digest were told of their return,
            and how they returned. A refused request that is sent again has
            another id.
    """

    request: str
    lines: list[Line]
    beliefs: list[Line]
    runners: list[Line]
    others: list[Line]
    starts: list[Line]
    missing: int
    ends: list[Line] = []
    returns: list[Line] = []


def collect(request: str, log: Iterable[Line]) -> Trace:
    """Collects the log lines that concern a request.

    Args:
        request: The request's id.
        log: All lines of all instances, in any order.
    """
    ordered = sorted(log, key=lambda line: line.at)
    own_lines = [
        line for line in ordered if line.fields.get("request") == request
    ]
    if not own_lines:
        missing = lines.count_missing(ordered)
        return Trace(request, [], [], [], [], [], missing)
    instances = {line.instance for line in own_lines}
    runners = {
        line.fields["runner"] for line in own_lines if "runner" in line.fields
    }
    first, last = own_lines[0].at, own_lines[-1].at
    instance_lines = [line for line in ordered if line.instance in instances]
    nearby = [
        line
        for line in ordered
        if first - _RELATED_WINDOW_S <= line.at <= last + _RELATED_WINDOW_S
    ]
    return Trace(
        request=request,
        lines=own_lines,
        beliefs=list(_find_instance_state(instance_lines, last)),
        runners=[
            line
            for line in _find_runner_events(ordered, runners, first, last)
            if line.fields.get("request") != request
        ],
        others=[
            line
            for line in nearby
            if line.event in _FAILURE_EVENTS
            and line.fields.get("runner") in runners
            and line.fields.get("request") != request
        ],
        starts=[
            line
            for line in instance_lines
            if line.event == "started" and line.at > last
        ],
        missing=lines.count_missing(
            line for line in nearby if line.instance in instances
        ),
        ends=_find_same_digest(ordered, own_lines, _DIGEST_EVENTS),
        returns=[
            line
            for line in _find_same_digest(ordered, own_lines, _RETURN_EVENTS)
            if line.fields.get("request") != request
        ],
    )


def _find_same_digest(
    log: list[Line], own_lines: list[Line], events: frozenset[str]
) -> list[Line]:
    digests = {
        line.fields["digest"] for line in own_lines if "digest" in line.fields
    }
    return [
        line
        for line in log
        if line.event in events and line.fields.get("digest") in digests
    ]


def _find_instance_state(log: list[Line], until: float) -> Iterator[Line]:
    latest: dict[tuple[str, str], Line] = {}
    for line in log:
        if line.at > until:
            break
        if line.event == "started":
            # A new process has none of the state of the one before.
            for key in [key for key in latest if key[0] == line.instance]:
                del latest[key]
        if line.event in _STATE_EVENTS:
            latest[line.instance, _STATE_EVENTS[line.event]] = line
    yield from sorted(latest.values(), key=lambda line: line.at)


def _find_runner_events(
    log: list[Line], runners: set[str], first: float, last: float
) -> Iterator[Line]:
    """Finds each runner's latest events before, and first ones after."""
    latest: dict[tuple[str, str], Line] = {}
    after: dict[tuple[str, str], Line] = {}
    for line in log:
        runner = line.fields.get("runner", "")
        if line.event not in _RUNNER_EVENTS or runner not in runners:
            continue
        key = runner, line.event
        if line.at <= first:
            latest[key] = line
        elif line.at <= last + _LATE_EVENT_WINDOW_S:
            after.setdefault(key, line)
    found = [*latest.values(), *after.values()]
    yield from sorted(found, key=lambda line: line.at)
