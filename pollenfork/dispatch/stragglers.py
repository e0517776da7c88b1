"""Ejection of endpoints that are slow against their group."""

import statistics

from pollenfork import ids

_WEIGHT = 0.3
_LEAST_SAMPLES = 3
_LEAST_GROUP = 3
_SLOW = 2.5
_CAP = 0.25
_FIRST_S = 10.0
_LONGEST_S = 80.0


class Pace:
    """How slow an endpoint is: 1.0 means as its class is on the whole."""

    __slots__ = ("count", "ejected_s", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.count = 0
        self.ejected_s = 0.0

    def note(self, ratio: float) -> None:
        """Takes one sample."""
        self.count += 1
        self.value += max(_WEIGHT, 1.0 / self.count) * (ratio - self.value)


class Stragglers:
    """Compares the endpoints of a group with each other."""

    def __init__(self) -> None:
        self._paces: dict[ids.EndpointId, Pace] = {}
        self._out: dict[ids.EndpointId, float] = {}

    def note(self, endpoint: ids.EndpointId, ratio: float) -> None:
        """Takes one sample of an endpoint's slowness."""
        self._paces.setdefault(endpoint, Pace()).note(ratio)

    def pick(
        self, group: list[ids.EndpointId], now: float
    ) -> list[tuple[ids.EndpointId, float]]:
        """Returns the endpoints to eject, each with when it may return.

        At most a quarter of the group, but one in any case, is out at once.
        """
        self._out = {e: until for e, until in self._out.items() if until > now}
        rated = [
            (self._paces[e].value, e)
            for e in group
            if e in self._paces
            and e not in self._out
            and self._paces[e].count >= _LEAST_SAMPLES
        ]
        if len(rated) < _LEAST_GROUP:
            return []
        middle = statistics.median(value for value, _ in rated)
        room = max(1, int(len(group) * _CAP))
        room -= sum(e in self._out for e in group)
        slow = sorted((v, e) for v, e in rated if v > _SLOW * middle)
        worst = slow[::-1][: max(room, 0)]
        return [(e, self._eject(e, now)) for _, e in worst]

    def _eject(self, endpoint: ids.EndpointId, now: float) -> float:
        pace = self._paces[endpoint]
        doubled = min(pace.ejected_s * 2, _LONGEST_S)
        pace.ejected_s = max(_FIRST_S, doubled)
        pace.count = 0
        pace.value = 1.0
        until = now + pace.ejected_s
        self._out[endpoint] = until
        return until
