"""Waiting requests in their order: tiers, deadlines, fair accounts."""

import collections
from collections.abc import Iterator
import heapq
import itertools

from pollenfork import ids
from pollenfork.admission import messages

_REMEMBERED_ACCOUNTS = 1024


class QueuedRequest:
    """One waiting request.

    Attributes:
        alive: False once served, refused or withdrawn; heaps drop it lazily.
        again: It ran before, so it goes first and is never evicted.
        avoid: Endpoints that failed it already.
        predicted_s: The wait predicted when it came, in seconds.
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


SortKey = tuple[bool, float, int]  # Late, deadline, arrival.


class ClassQueue:
    """The waiting requests of one class: fair among its accounts.

    Start-time fair queueing: each account has a virtual time that grows by
    one with each request served, and the account furthest behind goes next.
    Inside an account the earliest deadline goes first; a request whose
    deadline has passed goes after those that can still make theirs.
    """

    def __init__(self) -> None:
        self.size = 0
        self._accounts: dict[
            ids.AccountId, list[tuple[bool, float, int, QueuedRequest]]
        ] = {}
        self._turns: list[tuple[float, int, ids.AccountId]] = []
        self._served: dict[ids.AccountId, float] = {}
        self._virtual = 0.0
        self._order = itertools.count()

    def add(self, waiting: QueuedRequest) -> None:
        """Queues the request behind its account's earlier deadlines."""
        ask = waiting.ask
        self.size += 1
        entry = (False, ask.first_token_due, waiting.sequence, waiting)
        heap = self._accounts.get(ask.account)
        if heap is not None:
            heapq.heappush(heap, entry)
            return
        self._accounts[ask.account] = [entry]
        start = max(self._virtual, self._served.get(ask.account, 0.0))
        self._push_turn(start, ask.account)

    def find_next(self, now: float) -> QueuedRequest | None:
        """Returns the request to serve next, which stays in the queue."""
        while self._turns:
            _, _, account = self._turns[0]
            head = self._find_head(account, now)
            if head is not None:
                return head
            start, _, _ = heapq.heappop(self._turns)
            del self._accounts[account]
            self._remember(account, start)
        return None

    def take_next(self) -> None:
        """Removes what `find_next` returned and charges its account."""
        start, _, account = self._turns[0]
        _, _, _, waiting = heapq.heappop(self._accounts[account])
        waiting.alive = False
        self.size -= 1
        self._virtual = start
        turn = (start + 1.0, next(self._order), account)
        heapq.heapreplace(self._turns, turn)

    def drop(self, waiting: QueuedRequest) -> None:
        """Removes a request from wherever it stands."""
        waiting.alive = False
        self.size -= 1

    def estimate_ahead(self, account: ids.AccountId) -> int:
        """Returns about how many go before the account's next request."""
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
        heapq.heappush(self._turns, (start, next(self._order), account))

    def _remember(self, account: ids.AccountId, start: float) -> None:
        if len(self._served) >= _REMEMBERED_ACCOUNTS:
            self._served = {
                name: at
                for name, at in self._served.items()
                if at > self._virtual
            }
        self._served[account] = start


class TierQueue:
    """The waiting requests of one pool in one tier.

    Those that ask again go first; among the classes, the one whose next
    request has the earliest deadline.
    """

    def __init__(self) -> None:
        self.size = 0
        self._again: collections.deque[QueuedRequest] = collections.deque()
        self._classes: dict[messages.ClassKey, ClassQueue] = {}

    def add(self, waiting: QueuedRequest) -> None:
        """Queues the request."""
        self.size += 1
        if waiting.again:
            self._again.append(waiting)
            return
        self._open_class(waiting).add(waiting)

    def find_next(
        self, now: float, only: messages.ClassKey | None = None
    ) -> QueuedRequest | None:
        """Returns the request to serve next, of one class if `only` is set."""
        if only is not None:
            queue = self._classes.get(only)
            return queue.find_next(now) if queue else None
        while self._again:
            if self._again[0].alive:
                return self._again[0]
            self._again.popleft()
        best: QueuedRequest | None = None
        best_order: SortKey = (True, 0.0, 0)
        for waiting in self._list_heads(now):
            order = _rate_order(waiting, now)
            if best is None or order < best_order:
                best, best_order = waiting, order
        return best

    def take(self, waiting: QueuedRequest) -> None:
        """Removes what `find_next` returned and charges its account."""
        self.size -= 1
        if waiting.again:
            waiting.alive = False
            return
        key = messages.class_key(waiting.ask)
        queue = self._classes[key]
        queue.take_next()
        self._close_class(key, queue)

    def drop(self, waiting: QueuedRequest) -> None:
        """Removes a request from wherever it stands."""
        self.size -= 1
        if waiting.again:
            waiting.alive = False
            return
        key = messages.class_key(waiting.ask)
        queue = self._classes[key]
        queue.drop(waiting)
        self._close_class(key, queue)

    def estimate_ahead(self, ask: messages.Ask) -> int:
        """Returns about how many would go before this request."""
        queue = self._classes.get(messages.class_key(ask))
        if queue is None:
            return self.size
        return self.size - queue.size + queue.estimate_ahead(ask.account)

    def list_classes(self) -> list[messages.ClassKey]:
        """Returns the classes that have requests waiting."""
        return list(self._classes)

    def _list_heads(self, now: float) -> Iterator[QueuedRequest]:
        for queue in self._classes.values():
            head = queue.find_next(now)
            if head is not None:
                yield head

    def _open_class(self, waiting: QueuedRequest) -> ClassQueue:
        key = messages.class_key(waiting.ask)
        queue = self._classes.get(key)
        if queue is None:
            queue = self._classes[key] = ClassQueue()
        return queue

    def _close_class(self, key: messages.ClassKey, queue: ClassQueue) -> None:
        if not queue.size:
            del self._classes[key]


def _rate_order(waiting: QueuedRequest, now: float) -> SortKey:
    due = waiting.ask.first_token_due
    return due <= now, due, waiting.sequence
