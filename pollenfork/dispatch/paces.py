"""How fast attempts go: limits from gaps, stragglers against their group."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from pollenfork import ids
from pollenfork import sketches
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import stragglers
from pollenfork.settings import model

K = TypeVar("K")

_MEAN_WEIGHT = 0.02
_LEAST_MEAN_S = 0.001
_LEAST_TOKENS = 4
_OVERDUE_FACTOR = 5.0
_OVERDUE_LEAST_S = 1.0
_OVERDUE_RATIO = 5.0
_MS = 1000


class Attempt(msgspec.Struct):
    """One attempt that holds a slot.

    Attributes:
        granted: Monotonic seconds.
        first_at: When the first token arrived.
        is_overdue: Its missing first token was counted already.
        tokens: Generated when last judged.
        judged_at: When its gap was last judged, or its first token came.
    """

    ask: admission_messages.Ask
    endpoint: endpoints.Endpoint
    granted: float
    first_at: float | None = None
    is_overdue: bool = False
    tokens: int = 1
    judged_at: float = 0.0


class Paces:
    """Judges each attempt's pace and draws the consequences.

    Attributes:
        ejections: Stragglers taken out so far.
    """

    def __init__(self) -> None:
        self.ejections = 0
        self._stragglers = stragglers.Stragglers()
        self._first_means: dict[admission_messages.ClassKey, sketches.Mean] = {}
        self._gap_means: dict[admission_messages.PoolKey, sketches.Mean] = {}
        self._gap_targets: dict[admission_messages.ClassKey, float] = {}

    def apply_tree(self, tree: model.Tree) -> None:
        """Takes the classes' targets from a tree that came into force."""
        self._gap_targets = {
            (team, name): chosen.target_gap_ms / _MS
            for team, subtree in tree.teams.items()
            for name, chosen in subtree.classes.items()
        }

    def note_first(self, attempt: Attempt) -> None:
        """Takes the time that a first token took."""
        assert attempt.first_at is not None
        key = admission_messages.class_key(attempt.ask)
        _record(self._first_means, key, attempt.first_at - attempt.granted)

    def note_time_out(self, attempt: Attempt) -> None:
        """Counts an attempt that timed out as slowness."""
        self._stragglers.note(attempt.endpoint.name, _OVERDUE_RATIO)

    def judge(
        self, attempt: Attempt, tokens: int, at: float, now: float
    ) -> None:
        """Compares the tokens since the last look with target and group."""
        count = tokens - attempt.tokens
        if attempt.first_at is None or count < _LEAST_TOKENS:
            return
        attempt.endpoint.note_token(at)
        gap = (at - attempt.judged_at) / count
        attempt.tokens = tokens
        attempt.judged_at = at
        pool = admission_messages.pool_key(attempt.ask)
        mean = _record(self._gap_means, pool, gap)
        ratio = gap / max(mean, _LEAST_MEAN_S)
        self._stragglers.note(attempt.endpoint.name, ratio)
        key = admission_messages.class_key(attempt.ask)
        target = self._gap_targets.get(key)
        if target is not None:
            attempt.endpoint.limit.note(gap / target, now)

    def note_overdue(self, attempts: Iterable[Attempt], now: float) -> None:
        """Counts first tokens that are long missing as slowness now.

        A missing one tells of the endpoint only where nothing else came from
        it either; else the attempt waits in the engine's queue.
        """
        for attempt in attempts:
            if attempt.first_at is not None or attempt.is_overdue:
                continue
            key = admission_messages.class_key(attempt.ask)
            mean = self._first_means.get(key)
            expected = mean.value if mean else _OVERDUE_LEAST_S
            bound = max(_OVERDUE_LEAST_S, _OVERDUE_FACTOR * expected)
            if now - max(attempt.granted, attempt.endpoint.heard_at) > bound:
                attempt.is_overdue = True
                self.note_time_out(attempt)

    def eject(
        self,
        known: Mapping[ids.EndpointId, endpoints.Endpoint],
        now: float,
    ) -> None:
        """Takes stragglers out."""
        groups: dict[str, list[ids.EndpointId]] = {}
        for name, one in known.items():
            if one.is_live():
                groups.setdefault(one.settings.group, []).append(name)
        for group in groups.values():
            for name, until in self._stragglers.pick(group, now):
                known[name].eject(until)
                self.ejections += 1


def _record(means: dict[K, sketches.Mean], key: K, value: float) -> float:
    mean = means.get(key)
    if mean is None:
        mean = means[key] = sketches.Mean(value, _MEAN_WEIGHT)
    mean.record(value)
    return mean.value
