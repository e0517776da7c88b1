"""The platform's state, without I/O.

Several fronts or fakes, each with its own faults, can share one state; this
simulates a network partition.
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

_WRITE_ID_TTL_S = 600.0
_MAX_LIST_VERSIONS = 256

CommitResult = result.Result[edges.Committed, errors.PlatformFailure]


class Counts(msgspec.Struct, frozen=True):
    """Counters for tests and benchmarks."""

    calls: dict[configs.Operation, int]
    effects: int


class Platform:
    """Rows, objects, instance list and permits.

    Each call takes `now` in monotonic seconds.

    Attributes:
        lock: To be held by callers that use several threads; the methods
            don't acquire it.
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
        self._commit_results: collections.OrderedDict[
            ids.WriteId, tuple[float, CommitResult]
        ] = collections.OrderedDict()
        self._objects: dict[str, bytes] = {}
        self._list_versions = collections.deque(
            [(float("-inf"), config.instances)], maxlen=_MAX_LIST_VERSIONS
        )
        self._reads = buckets.TokenBucket(config.reads_per_s)
        self._writes = buckets.TokenBucket(config.writes_per_s)
        self._permits = buckets.TokenBucket(config.permits_per_s)

    def read(
        self, key: str, now: float
    ) -> result.Result[edges.Row | None, errors.PlatformFailure]:
        """Returns the row at `key`."""
        throttled = self._throttle(configs.Operation.READ, self._reads, now)
        if throttled:
            return result.Err(throttled)
        return result.Ok(self._rows.get(key))

    def scan(
        self, prefix: str, after: str, limit: int, now: float
    ) -> result.Result[tuple[edges.Row, ...], errors.PlatformFailure]:
        """Returns rows with `prefix` and a key after `after`, sorted by key."""
        throttled = self._throttle(configs.Operation.SCAN, self._reads, now)
        if throttled:
            return result.Err(throttled)
        rows: list[edges.Row] = []
        for key in self._rows.irange(minimum=max(prefix, after)):
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            if key > after:
                rows.append(self._rows[key])
        return result.Ok(tuple(rows))

    def commit(
        self, transaction: edges.Transaction, now: float
    ) -> CommitResult:
        """Applies a transaction; a repeated write id gets the first result."""
        throttled = self._throttle(configs.Operation.COMMIT, self._writes, now)
        if throttled:
            return result.Err(throttled)
        self._expire_answers(now)
        previous = self._commit_results.get(transaction.write_id)
        if previous:
            return previous[1]
        outcome = self._apply_transaction(transaction)
        self._commit_results[transaction.write_id] = (now, outcome)
        return outcome

    def fetch(
        self, key: str, now: float
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns an object's bytes."""
        throttled = self._throttle(configs.Operation.FETCH, self._reads, now)
        if throttled:
            return result.Err(throttled)
        return result.Ok(self._objects.get(key))

    def store(
        self, key: str, body: bytes, now: float
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes an object."""
        throttled = self._throttle(configs.Operation.STORE, self._writes, now)
        if throttled:
            return result.Err(throttled)
        self._objects[key] = body
        return result.Ok(None)

    def remove(
        self, key: str, now: float
    ) -> result.Result[None, errors.PlatformFailure]:
        """Deletes an object, if there is one."""
        throttled = self._throttle(configs.Operation.REMOVE, self._writes, now)
        if throttled:
            return result.Err(throttled)
        self._objects.pop(key, None)
        return result.Ok(None)

    def set_instances(
        self, instances: tuple[edges.ListedInstance, ...], now: float
    ) -> None:
        """Changes the instance list; callers see the change after the lag."""
        self._list_versions.append((now, instances))

    def list_instances(
        self, now: float
    ) -> result.Result[
        tuple[edges.ListedInstance, ...], errors.PlatformFailure
    ]:
        """Returns the instance list as of `list_lag_s` ago."""
        throttled = self._throttle(
            configs.Operation.INSTANCES, self._reads, now
        )
        if throttled:
            return result.Err(throttled)
        visible = [
            listed
            for at, listed in self._list_versions
            if at <= now - self._lag_s
        ]
        return result.Ok(visible[-1] if visible else self._list_versions[0][1])

    def request_permit(
        self, now: float
    ) -> result.Result[None, errors.PlatformFailure]:
        """Acquires a read permit of the weight store."""
        throttled = self._throttle(configs.Operation.PERMIT, self._permits, now)
        if throttled:
            return result.Err(throttled)
        return result.Ok(None)

    def get_counts(self) -> Counts:
        """Returns a copy of the counters."""
        return Counts(dict(self.calls), self.effects)

    def _throttle(
        self,
        operation: configs.Operation,
        bucket: buckets.TokenBucket,
        now: float,
    ) -> errors.Throttled | None:
        self.calls[operation] += 1
        wait_s = bucket.take(now)
        if wait_s <= 0:
            return None
        return errors.Throttled(
            detail="rate limit exceeded", retry_after_s=wait_s
        )

    def _expire_answers(self, now: float) -> None:
        while self._commit_results:
            write_id, (at, _) = next(iter(self._commit_results.items()))
            if at + _WRITE_ID_TTL_S > now:
                return
            del self._commit_results[write_id]

    def _apply_transaction(
        self, transaction: edges.Transaction
    ) -> CommitResult:
        writes: list[edges.Put | edges.Delete] = [*transaction.puts]
        writes += transaction.deletes
        failed = tuple(w.key for w in writes if not self._condition_holds(w))
        if failed:
            return result.Err(
                errors.Conflicted(
                    detail="an expected version does not match", keys=failed
                )
            )
        self.effects += 1
        versions = tuple(self._put(put) for put in transaction.puts)
        for delete in transaction.deletes:
            self._rows.pop(delete.key, None)
        return result.Ok(edges.Committed(versions))

    def _condition_holds(self, write: edges.Put | edges.Delete) -> bool:
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
