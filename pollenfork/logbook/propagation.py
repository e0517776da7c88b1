"""How long changes took to reach each instance, from the logs of all."""

import bisect
import collections
from collections.abc import Iterable
import statistics

import msgspec

from pollenfork.logbook import lines

_LEAVING_EVENTS = frozenset({"runner_gone", "runner_kept"})


class Receipt(msgspec.Struct, frozen=True):
    """The moment at which one instance learned of a change.

    Attributes:
        instance: The instance's name.
        delay_s: Seconds after the first instance learned of it.
        source: Where the instance learned of it: the log line's `way`.
    """

    instance: str
    delay_s: float
    source: str


class Change(msgspec.Struct, frozen=True):
    """A new configuration or the departure of a runner.

    Attributes:
        what: The configuration's version, or the runner that leaves.
        at: Seconds since the epoch at which the first instance learned of it.
        receipts: When the instances that were running at that time learned
            of it, earliest first.
        missing: Instances that were running at that time and never learned
            of it.
        last_request_s: Seconds from `at` to the last request sent to a
            leaving runner; None if no request was sent to it.
    """

    what: str
    at: float
    receipts: tuple[Receipt, ...]
    missing: tuple[str, ...] = ()
    last_request_s: float | None = None

    @property
    def slowest(self) -> Receipt:
        """The last instance to learn of the change."""
        return self.receipts[-1]

    @property
    def median_s(self) -> float:
        """Median delay over the instances, in seconds."""
        return statistics.median(each.delay_s for each in self.receipts)


class Uptimes(msgspec.Struct, frozen=True):
    """Start and last log line of each instance's latest process."""

    spans: dict[str, tuple[float, float]]

    def list_running(self, at: float) -> set[str]:
        """Returns the instances that logged both before and after `at`."""
        return {
            instance
            for instance, (started, last_seen) in self.spans.items()
            if started < at < last_seen
        }


def list_changes(log: Iterable[lines.Line]) -> list[Change]:
    """Returns all changes that reached more than one instance, in order.

    Args:
        log: All lines of all instances, in any order.
    """
    ordered = sorted(log, key=lambda line: line.at)
    uptimes = _find_uptimes(ordered)
    found = [
        *_list_configuration_changes(ordered, uptimes),
        *_list_departures(ordered, uptimes),
    ]
    return sorted(found, key=lambda change: change.at)


def _find_uptimes(ordered: list[lines.Line]) -> Uptimes:
    spans: dict[str, tuple[float, float]] = {}
    for line in ordered:
        started = spans.get(line.instance, (line.at, line.at))[0]
        if line.event == "started":
            started = line.at
        spans[line.instance] = started, line.at
    return Uptimes(spans)


def _list_configuration_changes(
    ordered: list[lines.Line], uptimes: Uptimes
) -> list[Change]:
    """Lists each version; adopting a later one counts as adopting it too."""
    versions: dict[str, list[int]] = collections.defaultdict(list)
    adopted: dict[str, list[lines.Line]] = collections.defaultdict(list)
    first: dict[int, lines.Line] = {}
    for line in ordered:
        if line.event == "configuration_in_force":
            version = int(line.fields["version"])
            versions[line.instance].append(version)
            adopted[line.instance].append(line)
            first.setdefault(version, line)
    changes = []
    for version, first_line in first.items():
        received = {}
        for instance, known in versions.items():
            position = bisect.bisect_left(known, version)
            if position < len(known):
                received[instance] = adopted[instance][position]
        what = f"configuration {version}"
        changes += _make_changes(what, first_line.at, received, uptimes)
    return changes


def _list_departures(
    ordered: list[lines.Line], uptimes: Uptimes
) -> list[Change]:
    """Lists each runner's departures; a restart ends a departure."""
    received: dict[str, dict[str, lines.Line]] = {}
    last_requests: dict[str, float] = {}
    changes = []
    for line in ordered:
        runner = line.fields.get("runner", "")
        if line.event == "chosen" and runner in received:
            last_requests[runner] = line.at
        elif _has_restarted(line):
            changes += _end_departure(runner, received, last_requests, uptimes)
        elif _is_leaving(line):
            received.setdefault(runner, {}).setdefault(line.instance, line)
    for runner in list(received):
        changes += _end_departure(runner, received, last_requests, uptimes)
    return changes


def _end_departure(
    runner: str,
    received: dict[str, dict[str, lines.Line]],
    last_requests: dict[str, float],
    uptimes: Uptimes,
) -> list[Change]:
    receivers = received.pop(runner, None)
    if receivers is None:
        return []
    at = min(line.at for line in receivers.values())
    last_request_at = last_requests.pop(runner, None)
    last_request_s = None if last_request_at is None else last_request_at - at
    return _make_changes(
        f"leaving {runner}", at, receivers, uptimes, last_request_s
    )


def _make_changes(
    what: str,
    at: float,
    received: dict[str, lines.Line],
    uptimes: Uptimes,
    last_request_s: float | None = None,
) -> list[Change]:
    running = uptimes.list_running(at)
    receipts = [
        Receipt(instance, line.at - at, line.fields.get("way", "-"))
        for instance, line in received.items()
        if instance in running
    ]
    if len(receipts) < 2:
        return []
    receipts.sort(key=lambda receipt: receipt.delay_s)
    missing = tuple(sorted(running - received.keys()))
    return [Change(what, at, tuple(receipts), missing, last_request_s)]


def _is_leaving(line: lines.Line) -> bool:
    if line.event in _LEAVING_EVENTS:
        return True
    return line.event == "runner_known" and line.fields["leaving"] == "True"


def _has_restarted(line: lines.Line) -> bool:
    return (
        line.event == "runner_known" and line.fields.get("restarted") == "True"
    )
