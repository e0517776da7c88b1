"""The platform's state, without I/O.

One state can stand behind several fronts or fakes with faults of their own,
which is how a partition is made.
"""

import collections
import threading

import msgspec
import result
import sortedcontainers

from pollenfork import ids
from pollenfork.standin.platform import buckets
from pollenfork.standin.platform import config as configs
from pollenfork.store import edges
from pollenfork.store import errors

_MEMORY_S = 600.0
_LISTS_KEPT = 256

Answer = result.Result[edges.Committed, errors.PlatformFailure]


class Counts(msgspec.Struct, frozen=True):
    """What the state has counted, for tests and benchmarks."""

    calls: dict[configs.Operation, int]
    effects: int


class Platform:
    """Rows, objects, instance list and permits.

    Each call takes `now` in monotonic seconds.

    Attributes:
        lock: For callers of several threads; the state itself takes no lock.
        calls: Calls that reached the state, by operation.
        effects: Transactions that took effect.
    """

    def __init__(self, config: configs.PlatformConfig) -> None:
        self.calls: collections.Counter[configs.Operation] = (
            collections.Counter()
        )
        self.effects = 0
        self.lock = threading.Lock()
        self._lag_s = config.list_lag_s
        self._rows: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._answers: collections.OrderedDict[
            ids.WriteId, tuple[float, Answer]
        ] = collections.OrderedDict()
        self._objects: dict[str, bytes] = {}
        self._lists = collections.deque(
            [(float("-inf"), config.instances)], maxlen=_LISTS_KEPT
        )
        self._reads = buckets.Bucket(config.reads_per_s)
        self._writes = buckets.Bucket(config.writes_per_s)
        self._permits = buckets.Bucket(config.permits_per_s)

    def read(
        self, key: str, now: float
    ) -> result.Result[edges.Row | None, errors.PlatformFailure]:
        """Returns the row at `key`."""
        throttled = self._pass(configs.Operation.READ, self._reads, now)
        if throttled:
            return result.Err(throttled)
        return result.Ok(self._rows.get(key))

    def scan(
        self, prefix: str, after: str, limit: int, now: float
    ) -> result.Result[tuple[edges.Row, ...], errors.PlatformFailure]:
        """Returns rows of a prefix past `after`, sorted by key."""
        throttled = self._pass(configs.Operation.SCAN, self._reads, now)
        if throttled:
            return result.Err(throttled)
        rows: list[edges.Row] = []
        for key in self._rows.irange(minimum=max(prefix, after)):
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            if key > after:
                rows.append(self._rows[key])
        return result.Ok(tuple(rows))

    def commit(self, transaction: edges.Transaction, now: float) -> Answer:
        """Applies a transaction, or answers a repeat as the first time."""
        throttled = self._pass(configs.Operation.COMMIT, self._writes, now)
        if throttled:
            return result.Err(throttled)
        self._forget(now)
        known = self._answers.get(transaction.write_id)
        if known:
            return known[1]
        answer = self._apply(transaction)
        self._answers[transaction.write_id] = (now, answer)
        return answer

    def fetch(
        self, key: str, now: float
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns an object's bytes."""
        throttled = self._pass(configs.Operation.FETCH, self._reads, now)
        if throttled:
            return result.Err(throttled)
        return result.Ok(self._objects.get(key))

    def store(
        self, key: str, body: bytes, now: float
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes an object."""
        throttled = self._pass(configs.Operation.STORE, self._writes, now)
        if throttled:
            return result.Err(throttled)
        self._objects[key] = body
        return result.Ok(None)

    def remove(
        self, key: str, now: float
    ) -> result.Result[None, errors.PlatformFailure]:
        """Deletes an object, if there is one."""
        throttled = self._pass(configs.Operation.REMOVE, self._writes, now)
        if throttled:
            return result.Err(throttled)
        self._objects.pop(key, None)
        return result.Ok(None)

    def set_instances(
        self, instances: tuple[edges.ListedInstance, ...], now: float
    ) -> None:
        """Changes the instance list; callers see it after the lag."""
        self._lists.append((now, instances))

    def list_instances(
        self, now: float
    ) -> result.Result[
        tuple[edges.ListedInstance, ...], errors.PlatformFailure
    ]:
        """Returns the list as it was one lag ago."""
        throttled = self._pass(configs.Operation.INSTANCES, self._reads, now)
        if throttled:
            return result.Err(throttled)
        seen = [held for at, held in self._lists if at <= now - self._lag_s]
        return result.Ok(seen[-1] if seen else self._lists[0][1])

    def request_permit(
        self, now: float
    ) -> result.Result[None, errors.PlatformFailure]:
        """Takes a permit of the weight store."""
        throttled = self._pass(configs.Operation.PERMIT, self._permits, now)
        if throttled:
            return result.Err(throttled)
        return result.Ok(None)

    def get_counts(self) -> Counts:
        """Returns the counts."""
        return Counts(dict(self.calls), self.effects)

    def _pass(
        self, operation: configs.Operation, bucket: buckets.Bucket, now: float
    ) -> errors.Throttled | None:
        self.calls[operation] += 1
        wait_s = bucket.take(now)
        if wait_s <= 0:
            return None
        return errors.Throttled(detail="over the rate", retry_after_s=wait_s)

    def _forget(self, now: float) -> None:
        while self._answers:
            write_id, (at, _) = next(iter(self._answers.items()))
            if at + _MEMORY_S > now:
                return
            del self._answers[write_id]

    def _apply(self, transaction: edges.Transaction) -> Answer:
        writes: list[edges.Put | edges.Delete] = [*transaction.puts]
        writes += transaction.deletes
        failed = tuple(w.key for w in writes if not self._meets(w))
        if failed:
            return result.Err(
                errors.Conflicted(detail="a condition failed", keys=failed)
            )
        self.effects += 1
        versions = tuple(self._put(put) for put in transaction.puts)
        for delete in transaction.deletes:
            self._rows.pop(delete.key, None)
        return result.Ok(edges.Committed(versions))

    def _meets(self, write: edges.Put | edges.Delete) -> bool:
        if write.expected == edges.ANY_VERSION:
            return True
        row = self._rows.get(write.key)
        version = row.version if row else edges.ABSENT
        return bool(version == write.expected)

    def _put(self, put: edges.Put) -> int:
        row = self._rows.get(put.key)
        version = row.version + 1 if row else 1
        self._rows[put.key] = edges.Row(put.key, put.value, version)
        return version
