"""Derives endpoint limits and ejections from the latency of attempts."""

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
_MIN_MEAN_S = 0.001
_MIN_TOKENS = 4
_OVERDUE_FACTOR = 5.0
_OVERDUE_MIN_S = 1.0
_TIMEOUT_RATIO = 5.0
_MS_PER_S = 1000


class Attempt(msgspec.Struct):
    """An attempt that holds a slot.

    Attributes:
        granted_at: When the slot was granted, in monotonic seconds.
        first_at: When the first token arrived.
        is_overdue: Whether its missing first token was already counted.
        tokens: Tokens generated at the last sample.
        sampled_at: When its token gap was last sampled, or its first token
            arrived.
    """

    ask: admission_messages.Ask
    endpoint: endpoints.Endpoint
    granted_at: float
    first_at: float | None = None
    is_overdue: bool = False
    tokens: int = 1
    sampled_at: float = 0.0


class LatencyMonitor:
    """Compares attempts' latencies with their targets and their group.

    Attributes:
        ejections: The number of stragglers ejected so far.
    """

    def __init__(self) -> None:
        self.ejections = 0
        self._stragglers = stragglers.StragglerDetector()
        self._first_means: dict[admission_messages.ClassKey, sketches.Mean] = {}
        self._gap_means: dict[admission_messages.PoolKey, sketches.Mean] = {}
        self._gap_targets: dict[admission_messages.ClassKey, float] = {}

    def apply_tree(self, tree: model.Tree) -> None:
        """Reads the classes' targets from a settings tree."""
        self._gap_targets = {
            (team, name): chosen.target_gap_ms / _MS_PER_S
            for team, subtree in tree.teams.items()
            for name, chosen in subtree.classes.items()
        }

    def record_first_token(self, attempt: Attempt) -> None:
        """Records the time to an attempt's first token."""
        assert attempt.first_at is not None
        key = admission_messages.class_key(attempt.ask)
        _record(self._first_means, key, attempt.first_at - attempt.granted_at)

    def record_timeout(self, attempt: Attempt) -> None:
        """Counts an attempt that timed out as a slow sample."""
        self._stragglers.record(attempt.endpoint.name, _TIMEOUT_RATIO)

    def sample(
        self, attempt: Attempt, tokens: int, at: float, now: float
    ) -> None:
        """Compares the mean token gap since the last sample with targets."""
        count = tokens - attempt.tokens
        if attempt.first_at is None or count < _MIN_TOKENS:
            return
        attempt.endpoint.record_token(at)
        gap = (at - attempt.sampled_at) / count
        attempt.tokens = tokens
        attempt.sampled_at = at
        pool = admission_messages.pool_key(attempt.ask)
        mean = _record(self._gap_means, pool, gap)
        ratio = gap / max(mean, _MIN_MEAN_S)
        self._stragglers.record(attempt.endpoint.name, ratio)
        key = admission_messages.class_key(attempt.ask)
        target = self._gap_targets.get(key)
        if target is not None:
            attempt.endpoint.limit.record(gap / target, now)

    def record_overdue(self, attempts: Iterable[Attempt], now: float) -> None:
        """Counts attempts whose first token is long overdue as slow samples.

        A missing first token says something about the endpoint only if no other
        token came from it either; otherwise the attempt is queued in the
        engine.
        """
        for attempt in attempts:
            if attempt.first_at is not None or attempt.is_overdue:
                continue
            key = admission_messages.class_key(attempt.ask)
            mean = self._first_means.get(key)
            expected = mean.value if mean else _OVERDUE_MIN_S
            bound = max(_OVERDUE_MIN_S, _OVERDUE_FACTOR * expected)
            if (
                now - max(attempt.granted_at, attempt.endpoint.last_token_at)
                > bound
            ):
                attempt.is_overdue = True
                self.record_timeout(attempt)

    def eject(
        self,
        known: Mapping[ids.EndpointId, endpoints.Endpoint],
        now: float,
    ) -> None:
        """Ejects stragglers."""
        groups: dict[str, list[ids.EndpointId]] = {}
        for name, endpoint in known.items():
            if endpoint.is_live():
                groups.setdefault(endpoint.settings.group, []).append(name)
        for group in groups.values():
            for name, until in self._stragglers.pick_ejections(group, now):
                known[name].eject(until)
                self.ejections += 1


def _record(means: dict[K, sketches.Mean], key: K, value: float) -> float:
    mean = means.get(key)
    if mean is None:
        mean = means[key] = sketches.Mean(value, _MEAN_WEIGHT)
    mean.record(value)
    return mean.value
