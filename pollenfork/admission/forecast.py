"""Predicted waits, from measured service times and sketches."""

from collections.abc import Sequence
import math
from typing import TypeVar

import msgspec

from pollenfork import ids
from pollenfork import sketches
from pollenfork.admission import messages
from pollenfork.admission import queues
from pollenfork.settings import model

K = TypeVar("K")

_HOLD_GUESS_S = 10.0
_FIRST_TOKEN_GUESS_S = 0.2
_WEIGHT = 0.02
_GRANT_WINDOW_S = 10.0
_LEAST_RATE = 0.01
_SURE_DEVIATIONS = 2.5
_MS = 1000
_KEPT_CLASSES = 256
_CORRECTION_BOUNDS = (0.4, 2.5)
_CORRECTION_FROM_S = 0.2


class PoolLoad(msgspec.Struct, frozen=True):
    """What the endpoints of a pool have and what presses on them.

    Attributes:
        free: Slots that the request's tier could take now.
        in_flight: Slots in use, by tier, over all instances.
        own_waiting: Requests waiting here, by tier.
        peer_waiting: Requests waiting at peers, by tier, as last heard.
        instances: Instances that share the endpoints, this one included.
    """

    free: float
    in_flight: Sequence[int]
    own_waiting: Sequence[int]
    peer_waiting: Sequence[int]
    instances: int


class Wait(msgspec.Struct, frozen=True):
    """A predicted wait.

    Attributes:
        queue: Releases of slots needed before the request has one.
        rate: Such releases per second, beyond those that higher tiers take.
    """

    queue: float
    rate: float

    @property
    def seconds(self) -> float:
        """The expected wait."""
        return self.queue / self.rate

    def is_longer_than(self, seconds: float) -> bool:
        """Returns whether the wait is almost surely longer.

        Releases are counted as random arrivals, so that a short queue is
        hardly ever sure to last.
        """
        released = max(0.0, seconds) * self.rate
        spread = _SURE_DEVIATIONS * math.sqrt(released)
        return self.queue > released + spread + 1


class Forecast:
    """Learns from what ended and predicts what comes."""

    def __init__(self) -> None:
        self._holds: dict[
            tuple[messages.ClassKey, messages.PoolKey], sketches.Mean
        ] = {}
        self._tokens: dict[
            tuple[messages.ClassKey, messages.PoolKey], sketches.Sketch
        ] = {}
        self._tier_holds: dict[
            tuple[messages.PoolKey, ids.Tier], sketches.Mean
        ] = {}
        self._first_ms: dict[messages.PoolKey, sketches.Sketch] = {}
        self._gap_s: dict[messages.PoolKey, sketches.Mean] = {}
        self._grants: dict[messages.PoolKey, _Grants] = {}
        self._corrections = [
            sketches.Mean(1.0, _WEIGHT) for _ in range(model.TIER_COUNT)
        ]

    def record_grant(self, ask: messages.Ask, now: float) -> None:
        """Counts a request that got its slot."""
        pool = messages.pool_key(ask)
        grants = self._grants.get(pool)
        if grants is None:
            grants = self._grants[pool] = _Grants(now)
        grants.note(ask.tier, now)

    def record_first_token(self, ask: messages.Ask, seconds: float) -> None:
        """Takes the time from grant to first token."""
        pool = messages.pool_key(ask)
        sketch = self._first_ms.get(pool)
        if sketch is None:
            sketch = self._first_ms[pool] = sketches.Sketch()
        sketch.record(round(seconds * _MS))

    def record_end(
        self, ask: messages.Ask, hold_s: float, tokens: int, answering_s: float
    ) -> None:
        """Takes how long a whole answer held its slot, and its length."""
        pool = messages.pool_key(ask)
        key = (messages.class_key(ask), pool)
        if key not in self._holds and len(self._holds) >= _KEPT_CLASSES:
            oldest = next(iter(self._holds))
            del self._holds[oldest], self._tokens[oldest]
        _record_mean(self._holds, key, hold_s)
        _record_mean(self._tier_holds, (pool, ask.tier), hold_s)
        sketch = self._tokens.get(key)
        if sketch is None:
            sketch = self._tokens[key] = sketches.Sketch()
        sketch.record(tokens)
        if tokens > 1:
            _record_mean(self._gap_s, pool, answering_s / (tokens - 1))

    def record_wait(
        self, waiting: queues.QueuedRequest, actual_s: float
    ) -> None:
        """Compares a wait with its prediction and corrects the next ones."""
        predicted = waiting.predicted_s
        if predicted < _CORRECTION_FROM_S:
            return
        low, high = _CORRECTION_BOUNDS
        ratio = min(max(actual_s / predicted, low), high)
        correction = self._corrections[waiting.ask.tier]
        correction.record(correction.value * ratio)
        correction.value = min(max(correction.value, low), high)

    def predict_hold(
        self, key: messages.ClassKey, pool: messages.PoolKey, tier: ids.Tier
    ) -> float:
        """Returns the seconds that a request of the class holds a slot."""
        held = self._holds.get((key, pool))
        return held.value if held else self._expect_tier_hold(pool, tier)

    def predict_first_token(self, ask: messages.Ask, part: float) -> float:
        """Returns the quantile of the seconds from grant to first token."""
        sketch = self._first_ms.get(messages.pool_key(ask))
        found = sketch.quantile(part) if sketch else None
        return found / _MS if found else _FIRST_TOKEN_GUESS_S

    def predict_answer(self, ask: messages.Ask, part: float) -> float:
        """Returns the quantile of the seconds from grant to the last token."""
        pool = messages.pool_key(ask)
        sketch = self._tokens.get((messages.class_key(ask), pool))
        tokens = (sketch.quantile(part) if sketch else None) or 0
        if ask.max_tokens is not None:
            tokens = min(tokens, ask.max_tokens)
        gap = self._gap_s.get(pool)
        answering = tokens * gap.value if gap else 0.0
        return self.predict_first_token(ask, part) + answering

    def predict_wait(
        self, ask: messages.Ask, ahead: int, supply: PoolLoad, now: float
    ) -> Wait:
        """Returns what stands between the request and its slot.

        Args:
            ask: The request.
            ahead: How many of its tier go before it at this instance.
            supply: The endpoints and what presses on them.
            now: Monotonic seconds.
        """
        tier = ask.tier
        higher = sum(supply.own_waiting[:tier]) + sum(
            supply.peer_waiting[:tier]
        )
        same = _scale_ahead(ahead, supply, tier)
        queue = max(0.0, higher + same + 1 - supply.free)
        rate = self._estimate_rate(ask, supply, now)
        return Wait(queue, rate / self._corrections[tier].value)

    def _estimate_rate(
        self, ask: messages.Ask, supply: PoolLoad, now: float
    ) -> float:
        pool = messages.pool_key(ask)
        releases = sum(
            count / self._expect_tier_hold(pool, ids.Tier(tier))
            for tier, count in enumerate(supply.in_flight)
            if count
        )
        grants = self._grants.get(pool)
        taken = 0.0
        if grants is not None:
            taken = grants.rate_below(ask.tier, now) * supply.instances
        least = max(releases * ask.minimum_share, _LEAST_RATE)
        return max(releases - taken, least)

    def _expect_tier_hold(
        self, pool: messages.PoolKey, tier: ids.Tier
    ) -> float:
        held = self._tier_holds.get((pool, tier))
        return max(held.value, 0.01) if held else _HOLD_GUESS_S


class _Grants:
    """Grants per second by tier, over a sliding window."""

    def __init__(self, now: float) -> None:
        self._since = now
        self._current = [0] * model.TIER_COUNT
        self._rates = [0.0] * model.TIER_COUNT

    def note(self, tier: ids.Tier, now: float) -> None:
        self._turn(now)
        self._current[tier] += 1

    def rate_below(self, tier: ids.Tier, now: float) -> float:
        self._turn(now)
        return sum(self._rates[:tier])

    def _turn(self, now: float) -> None:
        elapsed = now - self._since
        if elapsed < _GRANT_WINDOW_S:
            return
        self._rates = [count / elapsed for count in self._current]
        self._current = [0] * model.TIER_COUNT
        self._since = now


def _scale_ahead(ahead: int, supply: PoolLoad, tier: ids.Tier) -> float:
    """Scales what is ahead here to all instances, which share the slots."""
    own = supply.own_waiting[tier]
    peers = supply.peer_waiting[tier]
    if not own:
        # An empty queue here gets its first slot before the peers' tails.
        return min(peers, 1)
    return ahead * (own + peers) / own


def _record_mean(means: dict[K, sketches.Mean], key: K, value: float) -> None:
    mean = means.get(key)
    if mean is None:
        mean = means[key] = sketches.Mean(value, _WEIGHT)
    mean.record(value)
