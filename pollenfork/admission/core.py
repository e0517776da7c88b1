"""Admission: bounded queues, limits, eviction and expiry, without I/O."""

from collections.abc import Mapping, Sequence
import heapq
import itertools
from typing import TypeVar

from pollenfork import ids
from pollenfork.admission import messages
from pollenfork.admission import queues
from pollenfork.settings import model

K = TypeVar("K")

_HEAP_SLACK = 64

_Reason = messages.RefusalReason

Removal = tuple[queues.QueuedRequest, messages.RefusalReason]


class Admission:
    """The queues of waiting requests and the limits on them.

    Attributes:
        depths: Numbers of waiting requests by pool and tier; read-only for
            others.
    """

    def __init__(self, waiting_limit: int) -> None:
        self.depths: dict[messages.PoolKey, list[int]] = {}
        self._limit = waiting_limit
        self._size = 0
        self._sequence = itertools.count()
        self._waiting: dict[ids.RequestId, queues.QueuedRequest] = {}
        self._tiers: dict[
            tuple[messages.PoolKey, ids.Tier], queues.TierQueue
        ] = {}
        self._eviction_order = _EvictionOrder()
        self._expirations: list[tuple[float, int, queues.QueuedRequest]] = []
        self._open: dict[ids.RequestId, messages.Ask] = {}
        self._open_by_account: dict[tuple[ids.Team, ids.AccountId], int] = {}
        self._open_by_team: dict[ids.Team, int] = {}
        self._waiting_by_class: dict[messages.ClassKey, int] = {}

    @property
    def size(self) -> int:
        """The number of waiting requests."""
        return self._size

    def find_refusal(self, ask: messages.Ask) -> _Reason | None:
        """Returns the limit that the request would exceed; None if none."""
        account = self._open_by_account.get((ask.team, ask.account), 0)
        if account >= ask.account_limit:
            return _Reason.ACCOUNT_LIMIT
        if self._open_by_team.get(ask.team, 0) >= ask.team_limit:
            return _Reason.TEAM_LIMIT
        waiting = self._waiting_by_class.get(messages.class_key(ask), 0)
        if waiting >= ask.max_waiting:
            return _Reason.QUEUE_FULL
        if self._size >= self._limit and not self._eviction_order.has_victim(
            ask
        ):
            return _Reason.QUEUE_FULL
        return None

    def has_waiting(self, pool: messages.PoolKey, tier: ids.Tier) -> bool:
        """Returns whether a request waits in the tier or a higher one."""
        depths = self.depths.get(pool)
        return depths is not None and any(depths[: tier + 1])

    def open(self, ask: messages.Ask) -> None:
        """Counts a request against its account and team."""
        self._open[ask.request] = ask
        _add(self._open_by_account, (ask.team, ask.account), 1)
        _add(self._open_by_team, ask.team, 1)

    def add(self, ask: messages.Ask, expires_at: float) -> queues.QueuedRequest:
        """Queues a request that `find_refusal` accepts; see `pop_victims`."""
        waiting = queues.QueuedRequest(ask, next(self._sequence))
        self.open(ask)
        _add(self._waiting_by_class, messages.class_key(ask), 1)
        self._eviction_order.add(waiting)
        self._enqueue(waiting, expires_at)
        return waiting

    def add_again(
        self,
        ask: messages.Ask,
        avoid: tuple[ids.EndpointId, ...],
        expires_at: float,
    ) -> queues.QueuedRequest:
        """Queues a retry, ahead of the other requests of its tier."""
        waiting = queues.QueuedRequest(ask, next(self._sequence), True, avoid)
        self._enqueue(waiting, expires_at)
        return waiting

    def pop_victims(self, tier: ids.Tier) -> list[Removal]:
        """Evicts requests below `tier` until the queue limit is met."""
        evicted = []
        while self._size > self._limit:
            victim = self._eviction_order.find_victim(tier)
            if victim is None:
                break
            self._remove(victim)
            evicted.append((victim, _Reason.EVICTED))
        return evicted

    def pop_expired(self, now: float) -> list[Removal]:
        """Removes the requests that have expired."""
        expired = []
        while self._expirations and self._expirations[0][0] <= now:
            _, _, waiting = heapq.heappop(self._expirations)
            if not waiting.alive:
                continue
            self._remove(waiting)
            before_deadline = waiting.ask.give_up_at > now
            reason = (
                _Reason.TARGET_UNREACHABLE
                if before_deadline
                else _Reason.WAITED_TOO_LONG
            )
            expired.append((waiting, reason))
        return expired

    def withdraw(self, request: ids.RequestId) -> queues.QueuedRequest | None:
        """Removes a waiting request whose caller has disconnected."""
        waiting = self._waiting.get(request)
        if waiting is not None:
            self._remove(waiting)
        return waiting

    def pop_all(self) -> list[queues.QueuedRequest]:
        """Removes all waiting requests."""
        remaining = list(self._waiting.values())
        for waiting in remaining:
            self._remove(waiting)
        return remaining

    def peek(
        self,
        pool: messages.PoolKey,
        tier: ids.Tier,
        now: float,
        only: messages.ClassKey | None = None,
    ) -> queues.QueuedRequest | None:
        """Returns the request to serve next; `dequeue` removes it."""
        queue = self._tiers.get((pool, tier))
        return queue.peek(now, only) if queue else None

    def dequeue(self, waiting: queues.QueuedRequest) -> None:
        """Removes the request that `peek` returned, because it is served."""
        queue = self._tiers[_queue_key(waiting)]
        queue.dequeue(waiting)
        self._uncount(waiting)

    def find_ask(self, request: ids.RequestId) -> messages.Ask | None:
        """Returns the ask of an open request; None if it isn't open."""
        return self._open.get(request)

    def count_open(self) -> int:
        """Returns the number of requests that aren't closed yet."""
        return len(self._open)

    def is_waiting(self, request: ids.RequestId) -> bool:
        """Returns whether the request is queued."""
        return request in self._waiting

    def close(self, request: ids.RequestId) -> None:
        """Stops counting a request against its account and team."""
        ask = self._open.pop(request, None)
        if ask is not None:
            _add(self._open_by_account, (ask.team, ask.account), -1)
            _add(self._open_by_team, ask.team, -1)

    def estimate_ahead(self, ask: messages.Ask) -> int:
        """Estimates how many requests of its tier would be served first."""
        queue = self._tiers.get((messages.pool_key(ask), ask.tier))
        return queue.estimate_ahead(ask) if queue else 0

    def list_classes(
        self, pool: messages.PoolKey, tier: ids.Tier
    ) -> Sequence[messages.ClassKey]:
        """Returns the classes with requests waiting in a pool and tier."""
        queue = self._tiers.get((pool, tier))
        return queue.list_classes() if queue else ()

    def list_queues(self) -> list[tuple[messages.PoolKey, ids.Tier]]:
        """Returns the pools and tiers with requests, urgent tiers first."""
        keys = [key for key, queue in self._tiers.items() if queue.size]
        keys.sort(key=lambda key: key[1])
        return keys

    def get_minimum_share(
        self,
        pool: messages.PoolKey,
        tier: ids.Tier,
        key: messages.ClassKey,
        now: float,
    ) -> float:
        """Returns the minimum share of a class that has requests waiting."""
        head = self.peek(pool, tier, now, key)
        return head.ask.minimum_share if head else 0.0

    def list_waits(
        self, now: float
    ) -> Mapping[tuple[messages.PoolKey, ids.Tier], float]:
        """Returns how long the next request has waited, by pool and tier."""
        waits = {}
        for (pool, tier), queue in self._tiers.items():
            head = queue.peek(now)
            if head is not None:
                waits[(pool, tier)] = now - head.ask.arrived
        return waits

    def _enqueue(
        self, waiting: queues.QueuedRequest, expires_at: float
    ) -> None:
        ask = waiting.ask
        pool, tier = _queue_key(waiting)
        queue = self._tiers.get((pool, tier))
        if queue is None:
            queue = self._tiers[(pool, tier)] = queues.TierQueue()
        queue.add(waiting)
        depths = self.depths.get(pool)
        if depths is None:
            depths = self.depths[pool] = [0] * model.TIER_COUNT
        depths[tier] += 1
        self._size += 1
        self._waiting[ask.request] = waiting
        expiry = (expires_at, waiting.sequence, waiting)
        heapq.heappush(self._expirations, expiry)

    def _remove(self, waiting: queues.QueuedRequest) -> None:
        self._tiers[_queue_key(waiting)].remove(waiting)
        self._uncount(waiting)
        if not waiting.again:
            self.close(waiting.ask.request)

    def _uncount(self, waiting: queues.QueuedRequest) -> None:
        ask = waiting.ask
        self._size -= 1
        self.depths[messages.pool_key(ask)][ask.tier] -= 1
        del self._waiting[ask.request]
        if not waiting.again:
            _add(self._waiting_by_class, messages.class_key(ask), -1)
            self._eviction_order.drop(waiting)


class _EvictionOrder:
    """Waiting requests that haven't run, in the order of their eviction.

    Unprotected requests are evicted before protected ones, lower tiers before
    higher ones, and within a tier the latest deadline first. Requests that have
    left the queue are removed from the heaps lazily.
    """

    def __init__(self) -> None:
        self._tiers: dict[tuple[ids.Tier, bool], _Heap] = {}

    def add(self, waiting: queues.QueuedRequest) -> None:
        key = (waiting.ask.tier, waiting.ask.protected)
        heap = self._tiers.get(key)
        if heap is None:
            heap = self._tiers[key] = _Heap()
        heap.add(waiting)

    def drop(self, waiting: queues.QueuedRequest) -> None:
        self._tiers[(waiting.ask.tier, waiting.ask.protected)].drop()

    def has_victim(self, ask: messages.Ask) -> bool:
        return any(
            tier > ask.tier and heap.alive
            for (tier, _), heap in self._tiers.items()
        )

    def find_victim(self, above: ids.Tier) -> queues.QueuedRequest | None:
        # Protected requests are evicted only if nothing else is left, and only
        # for a higher tier.
        for protected in (False, True):
            lower = [
                tier
                for (tier, is_protected), heap in self._tiers.items()
                if tier > above and is_protected is protected and heap.alive
            ]
            if lower:
                return self._tiers[(max(lower), protected)].find_latest()
        return None


class _Heap:
    """Waiting requests by deadline, the latest first."""

    def __init__(self) -> None:
        self.alive = 0
        self._heap: list[tuple[float, int, queues.QueuedRequest]] = []

    def add(self, waiting: queues.QueuedRequest) -> None:
        self.alive += 1
        due = waiting.ask.first_token_due
        heapq.heappush(self._heap, (-due, -waiting.sequence, waiting))

    def drop(self) -> None:
        """Uncounts a removed request, which stays in the heap for now."""
        self.alive -= 1
        if len(self._heap) > 2 * self.alive + _HEAP_SLACK:
            self._heap = [entry for entry in self._heap if entry[2].alive]
            heapq.heapify(self._heap)

    def find_latest(self) -> queues.QueuedRequest:
        while not self._heap[0][2].alive:
            heapq.heappop(self._heap)
        return self._heap[0][2]


def _queue_key(
    waiting: queues.QueuedRequest,
) -> tuple[messages.PoolKey, ids.Tier]:
    return messages.pool_key(waiting.ask), waiting.ask.tier


def _add(counts: dict[K, int], key: K, amount: int) -> None:
    count = counts.get(key, 0) + amount
    if count:
        counts[key] = count
    else:
        del counts[key]
