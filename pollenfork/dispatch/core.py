"""Assigns requests to endpoint slots. Performs no I/O."""

from collections.abc import Mapping
import enum
import random

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import capacity
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import latency
from pollenfork.dispatch import messages
from pollenfork.dispatch import pools
from pollenfork.dispatch import sharing
from pollenfork.settings import model

_LOAD_FACTOR = 1.25
_MIN_BOUND = 0.5
_CHECK_PERIOD_S = 0.5

_BROKEN = (
    messages.AttemptEnd.NEVER_SENT,
    messages.AttemptEnd.BROKEN_BEFORE_FIRST,
    messages.AttemptEnd.BROKEN_MIDWAY,
    messages.AttemptEnd.REFUSED_BY_ENDPOINT,
)


class Rule(enum.Enum):
    """The rule under which a request is given a slot."""

    SPLIT = "split"  # This instance's part of the tier's slots.
    AT_ONCE = "at_once"  # As `SPLIT`, for a request that hasn't been queued.
    SHARE = "share"  # The minimum share of its class.
    IDLE = "idle"  # A hedge: only if no request is waiting.


class Dispatch:
    """Tracks the attempts in flight and selects their endpoints."""

    def __init__(
        self,
        instance: ids.InstanceId,
        rng: random.Random,
        depths: capacity.QueueDepths,
        split: sharing.SlotSharing,
    ) -> None:
        self._instance = instance
        self._rng = rng
        self._split = split
        self._capacity = capacity.Capacity(depths)
        self._attempts: dict[ids.AttemptId, latency.Attempt] = {}
        self._by_request: dict[ids.RequestId, list[ids.AttemptId]] = {}
        self._numbers: dict[ids.RequestId, int] = {}
        self._latency = latency.LatencyMonitor()
        self._checked_at = 0.0

    @property
    def ejections(self) -> int:
        """The number of stragglers ejected so far."""
        return self._latency.ejections

    def apply_tree(self, tree: model.Tree, now: float) -> None:
        """Applies a settings tree."""
        self._latency.apply_tree(tree)
        self._capacity.apply_tree(tree, now)

    def record_state(self, notice: messages.EndpointNotice, now: float) -> None:
        """Updates an endpoint's state."""
        self._capacity.record_state(notice, now)

    def record_report(
        self, report: messages.EndpointReport, now: float
    ) -> None:
        """Applies an endpoint's own load report."""
        self._capacity.record_report(report, now)

    def record_pressure(self, pressure: messages.Pressure, now: float) -> None:
        """Replaces a peer's pressure with a newer one."""
        self._capacity.record_pressure(pressure, now)

    def record_lost(self, instance: ids.InstanceId, now: float) -> None:
        """Records that a peer is lost."""
        self._capacity.record_lost(instance, now)

    def make_pressure(
        self, waits: Mapping[tuple[admission_messages.PoolKey, ids.Tier], float]
    ) -> messages.Pressure:
        """Returns the pressure to report; see `Capacity.make_pressure`."""
        return self._capacity.make_pressure(self._instance, waits)

    def is_known(self, key: admission_messages.PoolKey) -> bool:
        """Returns whether the settings list an endpoint for the pool."""
        return self._capacity.find_pool(key) is not None

    def is_served(self, key: admission_messages.PoolKey) -> bool:
        """Returns whether the pool has a live endpoint, busy or not."""
        pool = self._capacity.find_pool(key)
        return pool is not None and any(e.is_live() for e in pool.members)

    def get_slot_usage(
        self, key: admission_messages.PoolKey
    ) -> sharing.SlotUsage | None:
        """Returns the use of the slots behind a pool; None if unknown."""
        pool = self._capacity.find_pool(key)
        return self._capacity.get_slot_usage(pool) if pool else None

    def has_room(self, key: admission_messages.PoolKey) -> bool:
        """Returns whether any endpoint of the pool has room."""
        pool = self._capacity.find_pool(key)
        return pool is not None and bool(pool.open)

    def count_free(
        self, key: admission_messages.PoolKey, tier: ids.Tier
    ) -> float:
        """Returns the number of slots that the tier could take now.

        It is negative if the headroom for higher tiers isn't free.
        """
        usage = self.get_slot_usage(key)
        if usage is None:
            return 0.0
        return usage.count_free() - self._split.headroom(usage, tier)

    def place(
        self,
        ask: admission_messages.Ask,
        now: float,
        rule: Rule,
        avoid: tuple[ids.EndpointId, ...] = (),
        hedge_after_s: float | None = None,
    ) -> messages.Grant | None:
        """Assigns the request a slot under a rule; None if there is none."""
        pool = self._capacity.find_pool(admission_messages.pool_key(ask))
        if pool is None or not pool.open:
            return None
        usage = self._capacity.get_slot_usage(pool)
        if not self._is_allowed(usage, ask.tier, rule):
            return None
        chosen = self._choose(pool, ask, now, avoid)
        if chosen is None:
            return None
        # In the engine's queue, a request under its minimum share would starve
        # behind higher tiers.
        priority = 0 if rule is Rule.SHARE else ask.tier
        return messages.Grant(
            request=ask.request,
            attempt=self._start(ask, chosen, now),
            endpoint=chosen.name,
            address=chosen.settings.address,
            priority=priority,
            hedge_after_s=hedge_after_s,
        )

    def record_first_token(
        self, first: messages.FirstToken
    ) -> latency.Attempt | None:
        """Records an attempt's first token; None if it was known already."""
        attempt = self._attempts.get(first.attempt)
        if attempt is None or attempt.first_at is not None:
            return None
        attempt.first_at = first.at
        attempt.sampled_at = first.at
        attempt.endpoint.record_token(first.at)
        self._latency.record_first_token(attempt)
        return attempt

    def record_progress(self, progress: messages.Progress, now: float) -> None:
        """Records the progress of an answer."""
        attempt = self._attempts.get(progress.attempt)
        if attempt is not None and attempt.first_at is not None:
            self._latency.sample(attempt, progress.tokens, progress.at, now)
            self._capacity.refresh(attempt.endpoint, now)

    def end(
        self, ended: messages.AttemptEnded, now: float
    ) -> latency.Attempt | None:
        """Releases the attempt's slot; None if it was released already."""
        attempt = self._attempts.get(ended.attempt)
        if attempt is None:
            return None
        if ended.how in _BROKEN:
            attempt.endpoint.record_failure(now)
        elif ended.how is messages.AttemptEnd.TIMED_OUT:
            self._latency.record_timeout(attempt)
        elif ended.how is messages.AttemptEnd.FINISHED:
            self._latency.sample(attempt, ended.tokens, ended.at, now)
        return self._release(ended.attempt, now)

    def close(self, request: ids.RequestId, now: float) -> bool:
        """Forgets a request; returns whether it still held a slot."""
        self._numbers.pop(request, None)
        held = list(self._by_request.get(request, ()))
        for attempt in held:
            self._release(attempt, now)
        return bool(held)

    def count_attempts(self, request: ids.RequestId) -> int:
        """Returns the number of attempts of a request so far."""
        return self._numbers.get(request, 0)

    def count_in_flight(self) -> int:
        """Returns the number of attempts that hold a slot."""
        return len(self._attempts)

    def tick(self, now: float) -> None:
        """Expires silent peers, ejects stragglers, readmits endpoints."""
        if now - self._checked_at < _CHECK_PERIOD_S:
            return
        self._checked_at = now
        self._latency.record_overdue(self._attempts.values(), now)
        self._latency.eject(self._capacity.endpoints, now)
        self._capacity.tick(now)

    def _is_allowed(
        self, usage: sharing.SlotUsage, tier: ids.Tier, rule: Rule
    ) -> bool:
        if rule is Rule.SHARE:
            return True
        if rule is Rule.IDLE:
            return not any(usage.own_waiting) and not any(usage.peer_waiting)
        asking = 1 if rule is Rule.AT_ONCE else 0
        allowed = self._split.max_slots(usage, tier, asking)
        return usage.own_in_flight[tier] < allowed

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
        best = min(sampled, key=lambda e: e.get_utilization(now))
        if not ask.prefix:
            return best
        # Peers choose the same preferred endpoints before this instance learns
        # of their load, so the minimum bound is divided among the instances.
        min_bound = _MIN_BOUND / pool.cluster.usage.instances
        bound = max(best.get_utilization(now) * _LOAD_FACTOR, min_bound)
        for preferred in pool.find_preferred(ask.prefix):
            if preferred.name in avoid or not pool.is_open(preferred):
                continue
            if preferred.get_utilization(now) <= bound:
                return preferred
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
        self._attempts[name] = latency.Attempt(ask, chosen, now)
        self._by_request.setdefault(ask.request, []).append(name)
        self._capacity.add_attempt(chosen, ask.tier, now)
        return name

    def _release(
        self, name: ids.AttemptId, now: float
    ) -> latency.Attempt | None:
        attempt = self._attempts.pop(name, None)
        if attempt is None:
            return None
        request = attempt.ask.request
        held = self._by_request[request]
        held.remove(name)
        if not held:
            del self._by_request[request]
        self._capacity.remove_attempt(attempt.endpoint, attempt.ask.tier, now)
        return attempt
