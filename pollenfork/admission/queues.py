"""Queues of waiting requests, ordered by deadline and fair by account."""

import collections
from collections.abc import Iterator
import heapq
import itertools

from pollenfork import ids
from pollenfork.admission import messages

_MAX_ACCOUNTS = 1024


class QueuedRequest:
    """A waiting request.

    Attributes:
        alive: False once served, refused or withdrawn; heaps drop it lazily.
        is_retry: Whether it has run before; retries go first and are never
            evicted.
        avoid: Endpoints that have already failed it.
        predicted_s: The wait predicted on arrival, in seconds.
    """

    __slots__ = ("again", "alive", "ask", "avoid", "predicted_s", "sequence")

    def __init__(
        self,
        ask: messages.Ask,
        sequence: int,
        is_retry: bool = False,
        avoid: tuple[ids.EndpointId, ...] = (),
    ) -> None:
        self.ask = ask
        self.sequence = sequence
        self.again = is_retry
        self.avoid = avoid
        self.alive = True
        self.predicted_s = 0.0


SortKey = tuple[bool, float, int]  # Late, deadline, sequence.


class ClassQueue:
    """The waiting requests of a class, fair among its accounts.

    Uses start-time fair queueing: each account has a virtual time that grows by
    one with each request served, and the account with the lowest virtual time
    goes next. Within an account the earliest deadline goes first; requests
    whose deadline has passed go after those that can still meet theirs.
    """

    def __init__(self) -> None:
        self.size = 0
        self._accounts: dict[
            ids.AccountId, list[tuple[bool, float, int, QueuedRequest]]
        ] = {}
        self._turns: list[tuple[float, int, ids.AccountId]] = []
        self._finish_times: dict[ids.AccountId, float] = {}
        self._virtual_time = 0.0
        self._turn_count = itertools.count()

    def add(self, waiting: QueuedRequest) -> None:
        """Queues a request by its deadline within its account."""
        ask = waiting.ask
        self.size += 1
        entry = (False, ask.first_token_due, waiting.sequence, waiting)
        heap = self._accounts.get(ask.account)
        if heap is not None:
            heapq.heappush(heap, entry)
            return
        self._accounts[ask.account] = [entry]
        start = max(
            self._virtual_time, self._finish_times.get(ask.account, 0.0)
        )
        self._push_turn(start, ask.account)

    def peek(self, now: float) -> QueuedRequest | None:
        """Returns the request to serve next without removing it."""
        while self._turns:
            _, _, account = self._turns[0]
            head = self._find_head(account, now)
            if head is not None:
                return head
            start, _, _ = heapq.heappop(self._turns)
            del self._accounts[account]
            self._store_finish_time(account, start)
        return None

    def dequeue(self) -> None:
        """Removes what `peek` returned and charges its account."""
        start, _, account = self._turns[0]
        _, _, _, waiting = heapq.heappop(self._accounts[account])
        waiting.alive = False
        self.size -= 1
        self._virtual_time = start
        turn = (start + 1.0, next(self._turn_count), account)
        heapq.heapreplace(self._turns, turn)

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request from any position."""
        waiting.alive = False
        self.size -= 1

    def estimate_ahead(self, account: ids.AccountId) -> int:
        """Estimates how many requests precede the account's next one."""
        heap = self._accounts.get(account, ())
        return min(self.size, (len(heap) + 1) * len(self._accounts))

    def _find_head(
        self, account: ids.AccountId, now: float
    ) -> QueuedRequest | None:
        heap = self._accounts[account]
        while heap:
            late, due, sequence, waiting = heap[0]
            if not waiting.alive:
                heapq.heappop(heap)
            elif due <= now and not late:
                heapq.heapreplace(heap, (True, due, sequence, waiting))
            else:
                return waiting
        return None

    def _push_turn(self, start: float, account: ids.AccountId) -> None:
        heapq.heappush(self._turns, (start, next(self._turn_count), account))

    def _store_finish_time(self, account: ids.AccountId, start: float) -> None:
        if len(self._finish_times) >= _MAX_ACCOUNTS:
            self._finish_times = {
                name: at
                for name, at in self._finish_times.items()
                if at > self._virtual_time
            }
        self._finish_times[account] = start


class TierQueue:
    """The waiting requests of a pool in one tier.

    Retries go first, then the class whose next request has the earliest
    deadline.
    """

    def __init__(self) -> None:
        self.size = 0
        self._retries: collections.deque[QueuedRequest] = collections.deque()
        self._classes: dict[messages.ClassKey, ClassQueue] = {}

    def add(self, waiting: QueuedRequest) -> None:
        """Queues a request."""
        self.size += 1
        if waiting.again:
            self._retries.append(waiting)
            return
        self._get_or_add_class(waiting).add(waiting)

    def peek(
        self, now: float, only: messages.ClassKey | None = None
    ) -> QueuedRequest | None:
        """Returns the request to serve next, of one class if `only` is set."""
        if only is not None:
            queue = self._classes.get(only)
            return queue.peek(now) if queue else None
        while self._retries:
            if self._retries[0].alive:
                return self._retries[0]
            self._retries.popleft()
        best: QueuedRequest | None = None
        best_key: SortKey = (True, 0.0, 0)
        for waiting in self._list_heads(now):
            key = _make_sort_key(waiting, now)
            if best is None or key < best_key:
                best, best_key = waiting, key
        return best

    def dequeue(self, waiting: QueuedRequest) -> None:
        """Removes what `peek` returned and charges its account."""
        self.size -= 1
        if waiting.again:
            waiting.alive = False
            return
        key = messages.class_key(waiting.ask)
        queue = self._classes[key]
        queue.dequeue()
        self._drop_empty_class(key, queue)

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request from any position."""
        self.size -= 1
        if waiting.again:
            waiting.alive = False
            return
        key = messages.class_key(waiting.ask)
        queue = self._classes[key]
        queue.remove(waiting)
        self._drop_empty_class(key, queue)

    def estimate_ahead(self, ask: messages.Ask) -> int:
        """Estimates how many requests precede this one."""
        queue = self._classes.get(messages.class_key(ask))
        if queue is None:
            return self.size
        return self.size - queue.size + queue.estimate_ahead(ask.account)

    def list_classes(self) -> list[messages.ClassKey]:
        """Returns the classes that have requests waiting."""
        return list(self._classes)

    def _list_heads(self, now: float) -> Iterator[QueuedRequest]:
        for queue in self._classes.values():
            head = queue.peek(now)
            if head is not None:
                yield head

    def _get_or_add_class(self, waiting: QueuedRequest) -> ClassQueue:
        key = messages.class_key(waiting.ask)
        queue = self._classes.get(key)
        if queue is None:
            queue = self._classes[key] = ClassQueue()
        return queue

    def _drop_empty_class(
        self, key: messages.ClassKey, queue: ClassQueue
    ) -> None:
        if not queue.size:
            del self._classes[key]


def _make_sort_key(waiting: QueuedRequest, now: float) -> SortKey:
    due = waiting.ask.first_token_due
    return due <= now, due, waiting.sequence
