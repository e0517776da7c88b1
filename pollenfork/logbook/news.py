"""When each instance had news of a change, by the logs of all of them."""

import bisect
import collections
from collections.abc import Iterable
import statistics

import msgspec

from pollenfork.logbook import lines

_LEAVINGS = frozenset({"runner_gone", "runner_kept"})


class Arrival(msgspec.Struct, frozen=True):
    """News of a change at one instance.

    Attributes:
        instance: Where.
        late_s: Seconds after the first instance had it.
        way: From whom it came.
    """

    instance: str
    late_s: float
    way: str


class Change(msgspec.Struct, frozen=True):
    """A change that the operators or a runner made.

    Attributes:
        what: The configuration's version, or the runner that leaves.
        at: Seconds since the epoch at which the first instance had it.
        arrivals: When the instances had it that ran then, in order.
        missed: Instances that ran then and never had it.
        work_s: Seconds from then to the last request handed to a runner that
            leaves; None where none was.
    """

    what: str
    at: float
    arrivals: tuple[Arrival, ...]
    missed: tuple[str, ...] = ()
    work_s: float | None = None

    @property
    def worst(self) -> Arrival:
        """The last to have it."""
        return self.arrivals[-1]

    @property
    def median_s(self) -> float:
        """Seconds after which half of the instances had it."""
        return statistics.median(each.late_s for each in self.arrivals)


class Lives(msgspec.Struct, frozen=True):
    """When each instance's process started and was last heard of."""

    spans: dict[str, tuple[float, float]]

    def list_running(self, at: float) -> set[str]:
        """Returns the instances that ran at a moment, until the logs' end."""
        return {
            instance
            for instance, (begun, ended) in self.spans.items()
            if begun < at < ended
        }


def follow(log: Iterable[lines.Line]) -> list[Change]:
    """Returns all changes that reached more than one instance, in order.

    Args:
        log: All lines of all instances, in any order.
    """
    told = sorted(log, key=lambda line: line.at)
    lives = _find_lives(told)
    found = [*_follow_settings(told, lives), *_follow_leavings(told, lives)]
    return sorted(found, key=lambda change: change.at)


def _find_lives(told: list[lines.Line]) -> Lives:
    spans: dict[str, tuple[float, float]] = {}
    for line in told:
        begun = spans.get(line.instance, (line.at, line.at))[0]
        if line.event == "started":
            begun = line.at
        spans[line.instance] = begun, line.at
    return Lives(spans)


def _follow_settings(told: list[lines.Line], lives: Lives) -> list[Change]:
    """Follows each version; whoever has a later one has it too."""
    versions: dict[str, list[int]] = collections.defaultdict(list)
    taken: dict[str, list[lines.Line]] = collections.defaultdict(list)
    first: dict[int, lines.Line] = {}
    for line in told:
        if line.event == "configuration_in_force":
            version = int(line.fields["version"])
            versions[line.instance].append(version)
            taken[line.instance].append(line)
            first.setdefault(version, line)
    changes = []
    for version, begun in first.items():
        having = {}
        for instance, known in versions.items():
            position = bisect.bisect_left(known, version)
            if position < len(known):
                having[instance] = taken[instance][position]
        what = f"configuration {version}"
        changes += _make_change(what, begun.at, having, lives)
    return changes


def _follow_leavings(told: list[lines.Line], lives: Lives) -> list[Change]:
    """Follows each runner that leaves, until it starts again."""
    having: dict[str, dict[str, lines.Line]] = {}
    work: dict[str, float] = {}
    changes = []
    for line in told:
        runner = line.fields.get("runner", "")
        if line.event == "chosen" and runner in having:
            work[runner] = line.at
        elif _is_back(line):
            changes += _end_leaving(runner, having, work, lives)
        elif _is_leaving(line):
            having.setdefault(runner, {}).setdefault(line.instance, line)
    for runner in list(having):
        changes += _end_leaving(runner, having, work, lives)
    return changes


def _end_leaving(
    runner: str,
    having: dict[str, dict[str, lines.Line]],
    work: dict[str, float],
    lives: Lives,
) -> list[Change]:
    known = having.pop(runner, None)
    if known is None:
        return []
    at = min(line.at for line in known.values())
    worked_at = work.pop(runner, None)
    work_s = None if worked_at is None else worked_at - at
    return _make_change(f"leaving {runner}", at, known, lives, work_s)


def _make_change(
    what: str,
    at: float,
    having: dict[str, lines.Line],
    lives: Lives,
    work_s: float | None = None,
) -> list[Change]:
    running = lives.list_running(at)
    arrivals = [
        Arrival(instance, line.at - at, line.fields.get("way", "-"))
        for instance, line in having.items()
        if instance in running
    ]
    if len(arrivals) < 2:
        return []
    arrivals.sort(key=lambda arrival: arrival.late_s)
    missed = tuple(sorted(running - having.keys()))
    return [Change(what, at, tuple(arrivals), missed, work_s)]


def _is_leaving(line: lines.Line) -> bool:
    if line.event in _LEAVINGS:
        return True
    return line.event == "runner_known" and line.fields["leaving"] == "True"


def _is_back(line: lines.Line) -> bool:
    return (
        line.event == "runner_known" and line.fields.get("restarted") == "True"
    )
