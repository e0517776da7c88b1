"""Predicts waits from measured holding times and quantile sketches."""

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

_DEFAULT_HOLD_S = 10.0
_DEFAULT_FIRST_TOKEN_S = 0.2
_EWMA_WEIGHT = 0.02
_GRANT_WINDOW_S = 10.0
_MIN_RATE = 0.01
_CERTAIN_DEVIATIONS = 2.5
_MS_PER_S = 1000
_MAX_CLASSES = 256
_CORRECTION_BOUNDS = (0.4, 2.5)
_CORRECTION_MIN_WAIT_S = 0.2


class PoolLoad(msgspec.Struct, frozen=True):
    """The free slots of a pool and the demand for them.

    Attributes:
        free: Slots available to the request's tier now.
        in_flight: Slots in use at all instances, by tier.
        own_waiting: Requests waiting at this instance, by tier.
        peer_waiting: Requests waiting at peers, by tier, as last reported.
        instances: Instances that share the endpoints, including this one.
    """

    free: float
    in_flight: Sequence[int]
    own_waiting: Sequence[int]
    peer_waiting: Sequence[int]
    instances: int


class Wait(msgspec.Struct, frozen=True):
    """A predicted wait.

    Attributes:
        queue: Slot releases needed until the request gets a slot.
        rate: Releases per second, excluding those that higher tiers take.
    """

    queue: float
    rate: float

    @property
    def seconds(self) -> float:
        """The expected wait."""
        return self.queue / self.rate

    def is_longer_than(self, seconds: float) -> bool:
        """Returns whether the wait is almost certainly longer.

        Releases are modelled as random arrivals, so a short queue is hardly
        ever certain to last.
        """
        released = max(0.0, seconds) * self.rate
        spread = _CERTAIN_DEVIATIONS * math.sqrt(released)
        return self.queue > released + spread + 1


class Forecast:
    """Predicts waits and durations from finished requests."""

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
            sketches.Mean(1.0, _EWMA_WEIGHT) for _ in range(model.TIER_COUNT)
        ]

    def record_grant(self, ask: messages.Ask, now: float) -> None:
        """Counts a request that was granted a slot."""
        pool = messages.pool_key(ask)
        grants = self._grants.get(pool)
        if grants is None:
            grants = self._grants[pool] = _Grants(now)
        grants.note(ask.tier, now)

    def record_first_token(self, ask: messages.Ask, seconds: float) -> None:
        """Records the time from the grant to the first token."""
        pool = messages.pool_key(ask)
        sketch = self._first_ms.get(pool)
        if sketch is None:
            sketch = self._first_ms[pool] = sketches.Sketch()
        sketch.record(round(seconds * _MS_PER_S))

    def record_end(
        self, ask: messages.Ask, hold_s: float, tokens: int, answering_s: float
    ) -> None:
        """Records an answer's slot holding time and length."""
        pool = messages.pool_key(ask)
        key = (messages.class_key(ask), pool)
        if key not in self._holds and len(self._holds) >= _MAX_CLASSES:
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
        """Adjusts later predictions by the error of a past one."""
        predicted = waiting.predicted_s
        if predicted < _CORRECTION_MIN_WAIT_S:
            return
        low, high = _CORRECTION_BOUNDS
        ratio = min(max(actual_s / predicted, low), high)
        correction = self._corrections[waiting.ask.tier]
        correction.record(correction.value * ratio)
        correction.value = min(max(correction.value, low), high)

    def predict_hold(
        self, key: messages.ClassKey, pool: messages.PoolKey, tier: ids.Tier
    ) -> float:
        """Returns the expected slot holding time of a class, in seconds."""
        held = self._holds.get((key, pool))
        return held.value if held else self._predict_tier_hold(pool, tier)

    def predict_first_token(self, ask: messages.Ask, quantile: float) -> float:
        """Returns a quantile of the seconds from grant to first token."""
        sketch = self._first_ms.get(messages.pool_key(ask))
        found = sketch.quantile(quantile) if sketch else None
        return found / _MS_PER_S if found else _DEFAULT_FIRST_TOKEN_S

    def predict_answer(self, ask: messages.Ask, quantile: float) -> float:
        """Returns a quantile of the seconds from grant to last token."""
        pool = messages.pool_key(ask)
        sketch = self._tokens.get((messages.class_key(ask), pool))
        tokens = (sketch.quantile(quantile) if sketch else None) or 0
        if ask.max_tokens is not None:
            tokens = min(tokens, ask.max_tokens)
        gap = self._gap_s.get(pool)
        answering = tokens * gap.value if gap else 0.0
        return self.predict_first_token(ask, quantile) + answering

    def predict_wait(
        self, ask: messages.Ask, ahead: int, load: PoolLoad, now: float
    ) -> Wait:
        """Predicts the wait of a request for its slot.

        Args:
            ask: The request.
            ahead: Requests of its tier served before it at this instance.
            load: The pool's free slots and the demand for them.
            now: Monotonic seconds.
        """
        tier = ask.tier
        higher = sum(load.own_waiting[:tier]) + sum(load.peer_waiting[:tier])
        same = _scale_to_instances(ahead, load, tier)
        queue = max(0.0, higher + same + 1 - load.free)
        rate = self._estimate_rate(ask, load, now)
        return Wait(queue, rate / self._corrections[tier].value)

    def _estimate_rate(
        self, ask: messages.Ask, load: PoolLoad, now: float
    ) -> float:
        pool = messages.pool_key(ask)
        releases = sum(
            count / self._predict_tier_hold(pool, ids.Tier(tier))
            for tier, count in enumerate(load.in_flight)
            if count
        )
        grants = self._grants.get(pool)
        taken = 0.0
        if grants is not None:
            taken = grants.rate_above(ask.tier, now) * load.instances
        min_rate = max(releases * ask.minimum_share, _MIN_RATE)
        return max(releases - taken, min_rate)

    def _predict_tier_hold(
        self, pool: messages.PoolKey, tier: ids.Tier
    ) -> float:
        held = self._tier_holds.get((pool, tier))
        return max(held.value, 0.01) if held else _DEFAULT_HOLD_S


class _Grants:
    """Grants per second by tier, over consecutive windows."""

    def __init__(self, now: float) -> None:
        self._since = now
        self._current = [0] * model.TIER_COUNT
        self._rates = [0.0] * model.TIER_COUNT

    def note(self, tier: ids.Tier, now: float) -> None:
        self._rotate(now)
        self._current[tier] += 1

    def rate_above(self, tier: ids.Tier, now: float) -> float:
        self._rotate(now)
        return sum(self._rates[:tier])

    def _rotate(self, now: float) -> None:
        elapsed = now - self._since
        if elapsed < _GRANT_WINDOW_S:
            return
        self._rates = [count / elapsed for count in self._current]
        self._current = [0] * model.TIER_COUNT
        self._since = now


def _scale_to_instances(ahead: int, load: PoolLoad, tier: ids.Tier) -> float:
    """Scales a local queue position to all instances sharing the slots."""
    own = load.own_waiting[tier]
    peers = load.peer_waiting[tier]
    if not own:
        # The first request of an empty queue is served before the requests at
        # the end of peers' queues.
        return min(peers, 1)
    return ahead * (own + peers) / own


def _record_mean(means: dict[K, sketches.Mean], key: K, value: float) -> None:
    mean = means.get(key)
    if mean is None:
        mean = means[key] = sketches.Mean(value, _EWMA_WEIGHT)
    mean.record(value)
