"""Medians of the latest observations, by key."""

import collections
import statistics

# The median of this many observations follows a change within 32 answers and
# isn't moved by a few unusual ones.
_WINDOW = 64
# Keys come from the operators' configuration, in which hundreds of routes come
# and go. A key with a full window takes 2.5 KB.
_MAX_KEYS = 256


class Medians:
    """The median of the last 64 observations of each key."""

    def __init__(self, default: float, least: int = 1) -> None:
        """Creates medians without observations.

        Args:
            default: The value of a key with too few observations.
            least: Observations from which on a key has a median of its own.
        """
        self._default = default
        self._least = least
        self._observed: dict[str, collections.deque[float]] = {}
        self._medians: dict[str, float] = {}

    def get(self, key: str) -> float:
        """Returns the median of a key's observations."""
        return self._medians.get(key, self._default)

    def add(self, key: str, value: float) -> None:
        """Adds an observation; forgets the key that had none for longest."""
        observed = self._observed.pop(key, None)
        if observed is None:
            observed = collections.deque(maxlen=_WINDOW)
        observed.append(value)
        self._observed[key] = observed
        if len(observed) >= self._least:
            self._medians[key] = statistics.median(observed)
        if len(self._observed) > _MAX_KEYS:
            oldest = next(iter(self._observed))
            del self._observed[oldest]
            self._medians.pop(oldest, None)
