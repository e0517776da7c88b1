"""Outcome writes that wait for the platform, in bounded memory."""

import collections
import threading

from pollenfork import ids
from pollenfork.ledger import records
from pollenfork.ledger import settling

MAX_WRITES = 512
MAX_BYTES = 4 * 1024 * 1024


class Outbox:
    """Deferred outcome writes by attempt, oldest first; thread-safe.

    When it is full, it drops writes for requests that weren't run first, then
    the oldest. The records of dropped writes stay open and their outcome
    becomes unknown: this is safe, but the client doesn't get the answer.
    """

    def __init__(
        self, max_writes: int = MAX_WRITES, max_bytes: int = MAX_BYTES
    ) -> None:
        self._max_writes = max_writes
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._bytes = 0
        self._writes: collections.OrderedDict[
            ids.AttemptId, settling.OutcomeWrite
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of deferred writes."""
        with self._lock:
            return len(self._writes)

    def put(self, write: settling.OutcomeWrite) -> list[settling.OutcomeWrite]:
        """Adds or replaces a write; returns those dropped to make room."""
        dropped = []
        with self._lock:
            self._discard(write.record.attempt)
            self._writes[write.record.attempt] = write
            self._bytes += _get_size(write)
            while self._exceeds_limits():
                candidate = self._choose_dropped()
                self._discard(candidate.record.attempt)
                dropped.append(candidate)
        return dropped

    def discard(self, attempt: ids.AttemptId) -> None:
        """Removes the attempt's write, if any."""
        with self._lock:
            self._discard(attempt)

    def list_all(self, row: str | None = None) -> list[settling.OutcomeWrite]:
        """Returns all writes, or those of one row."""
        with self._lock:
            deferred = self._writes.values()
            return [write for write in deferred if row in (None, write.row)]

    def _discard(self, attempt: ids.AttemptId) -> None:
        removed = self._writes.pop(attempt, None)
        if removed:
            self._bytes -= _get_size(removed)

    def _choose_dropped(self) -> settling.OutcomeWrite:
        deferred = list(self._writes.values())
        for write in deferred:
            if write.record.state is records.State.NOT_RUN:
                return write
        return deferred[0]

    def _exceeds_limits(self) -> bool:
        too_many = len(self._writes) > self._max_writes
        return too_many or self._bytes > self._max_bytes


def _get_size(write: settling.OutcomeWrite) -> int:
    return len(write.answer or b"")
