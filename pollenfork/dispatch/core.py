"""Dispatch: who gets which endpoint's slot. No I/O."""

from collections.abc import Mapping
import enum
import random
from typing import TypeVar

import msgspec

from pollenfork import ids
from pollenfork import sketches
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import messages
from pollenfork.dispatch import pools
from pollenfork.dispatch import sharing
from pollenfork.dispatch import stragglers
from pollenfork.dispatch import supply
from pollenfork.settings import model

K = TypeVar("K")

_BOUNDED_LOAD = 1.25
_LEAST_BOUND = 0.5
_MEAN_WEIGHT = 0.02
_LEAST_MEAN_S = 0.001
_LEAST_TOKENS = 4
_OVERDUE_FACTOR = 5.0
_OVERDUE_LEAST_S = 1.0
_OVERDUE_RATIO = 5.0
_CHECK_PERIOD_S = 0.5
_MS = 1000

_BROKEN = (
    messages.AttemptEnd.NEVER_SENT,
    messages.AttemptEnd.BROKEN_BEFORE_FIRST,
    messages.AttemptEnd.BROKEN_MIDWAY,
    messages.AttemptEnd.REFUSED_BY_ENDPOINT,
)


class Rule(enum.Enum):
    """By which right a request takes a slot."""

    SPLIT = "split"  # Its tier's part of this instance.
    AT_ONCE = "at_once"  # The same, without having waited.
    SHARE = "share"  # Its class's minimum share.
    IDLE = "idle"  # A hedge: only a slot that nobody wants.


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


class Dispatch:
    """The attempts in flight and the choice of their endpoints."""

    def __init__(
        self,
        instance: ids.InstanceId,
        rng: random.Random,
        depths: supply.Depths,
        split: sharing.Sharing,
    ) -> None:
        self._instance = instance
        self._rng = rng
        self._split = split
        self._supply = supply.Supply(depths)
        self._attempts: dict[ids.AttemptId, Attempt] = {}
        self._by_request: dict[ids.RequestId, list[ids.AttemptId]] = {}
        self._numbers: dict[ids.RequestId, int] = {}
        self._stragglers = stragglers.Stragglers()
        self._first_means: dict[admission_messages.ClassKey, sketches.Mean] = {}
        self._gap_means: dict[admission_messages.PoolKey, sketches.Mean] = {}
        self._gap_targets: dict[admission_messages.ClassKey, float] = {}
        self._checked_at = 0.0
        self.ejections = 0

    def apply_tree(self, tree: model.Tree, now: float) -> None:
        """Takes a settings tree that came into force."""
        self._gap_targets = {
            (team, name): chosen.target_gap_ms / _MS
            for team, subtree in tree.teams.items()
            for name, chosen in subtree.classes.items()
        }
        self._supply.apply_tree(tree, now)

    def note_state(self, notice: messages.EndpointNotice, now: float) -> None:
        """Takes an endpoint's state."""
        self._supply.note_state(notice, now)

    def note_report(self, report: messages.EndpointReport, now: float) -> None:
        """Takes an endpoint's own load report."""
        self._supply.note_report(report, now)

    def note_pressure(self, pressure: messages.Pressure, now: float) -> None:
        """Takes a peer's pressure in place of its earlier one."""
        self._supply.note_pressure(pressure, now)

    def note_lost(self, instance: ids.InstanceId, now: float) -> None:
        """Takes a peer's loss."""
        self._supply.note_lost(instance, now)

    def read_pressure(
        self, waits: Mapping[tuple[admission_messages.PoolKey, ids.Tier], float]
    ) -> messages.Pressure:
        """Returns what peers should know; see `Supply.read_pressure`."""
        return self._supply.read_pressure(self._instance, waits)

    def is_known(self, key: admission_messages.PoolKey) -> bool:
        """Returns whether the settings name any endpoint for it."""
        return self._supply.find_pool(key) is not None

    def is_served(self, key: admission_messages.PoolKey) -> bool:
        """Returns whether any endpoint is there for it, busy or not."""
        pool = self._supply.find_pool(key)
        return pool is not None and any(e.is_live() for e in pool.members)

    def read_claims(
        self, key: admission_messages.PoolKey
    ) -> sharing.Claims | None:
        """Returns who wants and holds the slots behind a pool."""
        pool = self._supply.find_pool(key)
        return self._supply.read_claims(pool) if pool else None

    def has_room(self, key: admission_messages.PoolKey) -> bool:
        """Returns whether any endpoint of the pool has room."""
        pool = self._supply.find_pool(key)
        return pool is not None and bool(pool.open)

    def count_free(
        self, key: admission_messages.PoolKey, tier: ids.Tier
    ) -> float:
        """Returns the slots that the tier could take now.

        Negative where the headroom for higher tiers has to fill first.
        """
        claims = self.read_claims(key)
        if claims is None:
            return 0.0
        return claims.count_free() - self._split.keep_free(claims, tier)

    def place(
        self,
        ask: admission_messages.Ask,
        now: float,
        rule: Rule,
        avoid: tuple[ids.EndpointId, ...] = (),
        hedge_after_s: float | None = None,
    ) -> messages.Grant | None:
        """Gives the request a slot by that rule, if there is one."""
        pool = self._supply.find_pool(admission_messages.pool_key(ask))
        if pool is None or not pool.open:
            return None
        claims = self._supply.read_claims(pool)
        if not self._is_allowed(claims, ask.tier, rule):
            return None
        chosen = self._choose(pool, ask, now, avoid)
        if chosen is None:
            return None
        # A share's request would starve in the engine behind higher tiers.
        priority = 0 if rule is Rule.SHARE else ask.tier
        return messages.Grant(
            request=ask.request,
            attempt=self._start(ask, chosen, now),
            endpoint=chosen.name,
            address=chosen.settings.address,
            priority=priority,
            hedge_after_s=hedge_after_s,
        )

    def note_first(self, first: messages.FirstToken) -> Attempt | None:
        """Takes an attempt's first token; None where it was known."""
        attempt = self._attempts.get(first.attempt)
        if attempt is None or attempt.first_at is not None:
            return None
        attempt.first_at = first.at
        attempt.judged_at = first.at
        attempt.endpoint.note_token(first.at)
        took = first.at - attempt.granted
        key = admission_messages.class_key(attempt.ask)
        _record(self._first_means, key, took)
        return attempt

    def note_progress(self, progress: messages.Progress, now: float) -> None:
        """Takes how far an answer has come."""
        attempt = self._attempts.get(progress.attempt)
        if attempt is not None and attempt.first_at is not None:
            self._judge_gap(attempt, progress.tokens, progress.at, now)
            self._supply.refresh(attempt.endpoint, now)

    def end(self, ended: messages.AttemptEnded, now: float) -> Attempt | None:
        """Gives the attempt's slot back; None where it was back already."""
        attempt = self._attempts.get(ended.attempt)
        if attempt is None:
            return None
        if ended.how in _BROKEN:
            attempt.endpoint.note_failure(now)
        elif ended.how is messages.AttemptEnd.TIMED_OUT:
            self._stragglers.note(attempt.endpoint.name, _OVERDUE_RATIO)
        elif ended.how is messages.AttemptEnd.FINISHED:
            self._judge_gap(attempt, ended.tokens, ended.at, now)
        return self._release(ended.attempt, now)

    def close(self, request: ids.RequestId, now: float) -> bool:
        """Forgets the request; returns whether it still held a slot."""
        self._numbers.pop(request, None)
        held = list(self._by_request.get(request, ()))
        for attempt in held:
            self._release(attempt, now)
        return bool(held)

    def count_attempts(self, request: ids.RequestId) -> int:
        """Returns how often the request was sent so far."""
        return self._numbers.get(request, 0)

    def count_in_flight(self) -> int:
        """Returns the attempts that hold a slot."""
        return len(self._attempts)

    def tick(self, now: float) -> None:
        """Lets time pass: silent peers, stragglers, returning endpoints."""
        if now - self._checked_at < _CHECK_PERIOD_S:
            return
        self._checked_at = now
        self._note_overdue(now)
        self._eject_stragglers(now)
        self._supply.tick(now)

    def _is_allowed(
        self, claims: sharing.Claims, tier: ids.Tier, rule: Rule
    ) -> bool:
        if rule is Rule.SHARE:
            return True
        if rule is Rule.IDLE:
            return not any(claims.own_waiting) and not any(claims.peer_waiting)
        asking = 1 if rule is Rule.AT_ONCE else 0
        allowed = self._split.allow(claims, tier, asking)
        return claims.own_in_flight[tier] < allowed

    def _choose(
        self,
        pool: pools.Pool,
        ask: admission_messages.Ask,
        now: float,
        avoid: tuple[ids.EndpointId, ...],
    ) -> endpoints.Endpoint | None:
        sampled = pool.sample_open(self._rng, avoid)
        if not sampled:
            return None
        best = min(sampled, key=lambda e: e.rate_use(now))
        if not ask.prefix:
            return best
        bound = max(best.rate_use(now) * _BOUNDED_LOAD, _LEAST_BOUND)
        for home in pool.find_homes(ask.prefix):
            if home.name in avoid or not pool.is_open(home):
                continue
            if home.rate_use(now) <= bound:
                return home
        return best

    def _start(
        self,
        ask: admission_messages.Ask,
        chosen: endpoints.Endpoint,
        now: float,
    ) -> ids.AttemptId:
        number = self._numbers.get(ask.request, 0) + 1
        self._numbers[ask.request] = number
        name = ids.AttemptId(f"{ask.request}.{number}")
        self._attempts[name] = Attempt(ask, chosen, now)
        self._by_request.setdefault(ask.request, []).append(name)
        self._supply.count_in(chosen, ask.tier, now)
        return name

    def _release(self, name: ids.AttemptId, now: float) -> Attempt | None:
        attempt = self._attempts.pop(name, None)
        if attempt is None:
            return None
        request = attempt.ask.request
        held = self._by_request[request]
        held.remove(name)
        if not held:
            del self._by_request[request]
        self._supply.count_out(attempt.endpoint, attempt.ask.tier, now)
        return attempt

    def _judge_gap(
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

    def _note_overdue(self, now: float) -> None:
        """Counts first tokens that are long missing as slowness now.

        A missing one tells of the endpoint only where nothing else came from
        it either; else the attempt waits in the engine's queue.
        """
        for attempt in self._attempts.values():
            if attempt.first_at is not None or attempt.is_overdue:
                continue
            mean = self._first_means.get(
                admission_messages.class_key(attempt.ask)
            )
            expected = mean.value if mean else _OVERDUE_LEAST_S
            bound = max(_OVERDUE_LEAST_S, _OVERDUE_FACTOR * expected)
            if now - max(attempt.granted, attempt.endpoint.heard_at) > bound:
                attempt.is_overdue = True
                name = attempt.endpoint.name
                self._stragglers.note(name, _OVERDUE_RATIO)

    def _eject_stragglers(self, now: float) -> None:
        groups: dict[str, list[ids.EndpointId]] = {}
        for name, known in self._supply.endpoints.items():
            if known.is_live():
                groups.setdefault(known.settings.group, []).append(name)
        for group in groups.values():
            for name, until in self._stragglers.pick(group, now):
                self._supply.endpoints[name].eject(until)
                self.ejections += 1


def _record(means: dict[K, sketches.Mean], key: K, value: float) -> float:
    mean = means.get(key)
    if mean is None:
        mean = means[key] = sketches.Mean(value, _MEAN_WEIGHT)
    mean.record(value)
    return mean.value
