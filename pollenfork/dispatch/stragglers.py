"""Ejection of endpoints that are slow compared with their group."""

import statistics

from pollenfork import ids

_EWMA_WEIGHT = 0.3
_MIN_SAMPLES = 3
_MIN_GROUP = 3
_SLOW_RATIO = 2.5
_MAX_EJECTED = 0.25
_INITIAL_EJECTION_S = 10.0
_MAX_EJECTION_S = 80.0


class Slowness:
    """An endpoint's slowness; 1.0 is the mean of its class."""

    __slots__ = ("count", "ejected_s", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.count = 0
        self.ejected_s = 0.0

    def record(self, ratio: float) -> None:
        """Records a sample."""
        self.count += 1
        self.value += max(_EWMA_WEIGHT, 1.0 / self.count) * (ratio - self.value)


class StragglerDetector:
    """Detects endpoints that are slower than the rest of their group."""

    def __init__(self) -> None:
        self._slowness: dict[ids.EndpointId, Slowness] = {}
        self._ejected_until: dict[ids.EndpointId, float] = {}

    def record(self, endpoint: ids.EndpointId, ratio: float) -> None:
        """Records a sample of an endpoint's slowness."""
        self._slowness.setdefault(endpoint, Slowness()).record(ratio)

    def pick_ejections(
        self, group: list[ids.EndpointId], now: float
    ) -> list[tuple[ids.EndpointId, float]]:
        """Returns the endpoints to eject, each with the end of its ejection.

        At most a quarter of the group, but always at least one endpoint, may be
        ejected at the same time.
        """
        self._ejected_until = {
            e: until for e, until in self._ejected_until.items() if until > now
        }
        rated = [
            (self._slowness[e].value, e)
            for e in group
            if e in self._slowness
            and e not in self._ejected_until
            and self._slowness[e].count >= _MIN_SAMPLES
        ]
        if len(rated) < _MIN_GROUP:
            return []
        median = statistics.median(value for value, _ in rated)
        room = max(1, int(len(group) * _MAX_EJECTED))
        room -= sum(e in self._ejected_until for e in group)
        slow = sorted((v, e) for v, e in rated if v > _SLOW_RATIO * median)
        worst = slow[::-1][: max(room, 0)]
        return [(e, self._eject(e, now)) for _, e in worst]

    def _eject(self, endpoint: ids.EndpointId, now: float) -> float:
        slowness = self._slowness[endpoint]
        doubled = min(slowness.ejected_s * 2, _MAX_EJECTION_S)
        slowness.ejected_s = max(_INITIAL_EJECTION_S, doubled)
        slowness.count = 0
        slowness.value = 1.0
        until = now + slowness.ejected_s
        self._ejected_until[endpoint] = until
        return until
