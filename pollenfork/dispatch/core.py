"""Dispatch: who gets which endpoint's slot. No I/O."""

from collections.abc import Mapping
import enum
import random

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import messages
from pollenfork.dispatch import paces
from pollenfork.dispatch import pools
from pollenfork.dispatch import sharing
from pollenfork.dispatch import supply
from pollenfork.settings import model

_BOUNDED_LOAD = 1.25
_LEAST_BOUND = 0.5
_CHECK_PERIOD_S = 0.5

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
        self._attempts: dict[ids.AttemptId, paces.Attempt] = {}
        self._by_request: dict[ids.RequestId, list[ids.AttemptId]] = {}
        self._numbers: dict[ids.RequestId, int] = {}
        self._paces = paces.Paces()
        self._checked_at = 0.0

    @property
    def ejections(self) -> int:
        """Stragglers taken out so far."""
        return self._paces.ejections

    def apply_tree(self, tree: model.Tree, now: float) -> None:
        """Takes a settings tree that came into force."""
        self._paces.apply_tree(tree)
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

    def note_first(self, first: messages.FirstToken) -> paces.Attempt | None:
        """Takes an attempt's first token; None where it was known."""
        attempt = self._attempts.get(first.attempt)
        if attempt is None or attempt.first_at is not None:
            return None
        attempt.first_at = first.at
        attempt.judged_at = first.at
        attempt.endpoint.note_token(first.at)
        self._paces.note_first(attempt)
        return attempt

    def note_progress(self, progress: messages.Progress, now: float) -> None:
        """Takes how far an answer has come."""
        attempt = self._attempts.get(progress.attempt)
        if attempt is not None and attempt.first_at is not None:
            self._paces.judge(attempt, progress.tokens, progress.at, now)
            self._supply.refresh(attempt.endpoint, now)

    def end(
        self, ended: messages.AttemptEnded, now: float
    ) -> paces.Attempt | None:
        """Gives the attempt's slot back; None where it was back already."""
        attempt = self._attempts.get(ended.attempt)
        if attempt is None:
            return None
        if ended.how in _BROKEN:
            attempt.endpoint.note_failure(now)
        elif ended.how is messages.AttemptEnd.TIMED_OUT:
            self._paces.note_time_out(attempt)
        elif ended.how is messages.AttemptEnd.FINISHED:
            self._paces.judge(attempt, ended.tokens, ended.at, now)
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
        self._paces.note_overdue(self._attempts.values(), now)
        self._paces.eject(self._supply.endpoints, now)
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
        # Peers choose the same homes before this instance hears of it.
        least = _LEAST_BOUND / pool.cluster.claims.instances
        bound = max(best.rate_use(now) * _BOUNDED_LOAD, least)
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
        self._attempts[name] = paces.Attempt(ask, chosen, now)
        self._by_request.setdefault(ask.request, []).append(name)
        self._supply.count_in(chosen, ask.tier, now)
        return name

    def _release(self, name: ids.AttemptId, now: float) -> paces.Attempt | None:
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
