"""Endings that the platform couldn't take yet, within bounds of memory."""

import collections
import threading

from pollenfork import ids
from pollenfork.ledger import records
from pollenfork.ledger import settling

MAX_ENDINGS = 512
MAX_BYTES = 4 * 1024 * 1024


class Outbox:
    """Endings by attempt, the oldest first; shared by threads.

    When it is full endings fall out, first those of claims that were never
    run, then the oldest: their records stay open and become unknown, which
    is safe and costs the caller the answer.
    """

    def __init__(
        self, max_endings: int = MAX_ENDINGS, max_bytes: int = MAX_BYTES
    ) -> None:
        self._max_endings = max_endings
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._bytes = 0
        self._endings: collections.OrderedDict[
            ids.AttemptId, settling.Ending
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns how many endings wait."""
        with self._lock:
            return len(self._endings)

    def put(self, ending: settling.Ending) -> list[settling.Ending]:
        """Keeps the ending; returns those that fell out for it."""
        dropped = []
        with self._lock:
            self._discard(ending.record.attempt)
            self._endings[ending.record.attempt] = ending
            self._bytes += _measure(ending)
            while self._is_over():
                victim = self._choose_victim()
                self._discard(victim.record.attempt)
                dropped.append(victim)
        return dropped

    def discard(self, attempt: ids.AttemptId) -> None:
        """Forgets the attempt's ending."""
        with self._lock:
            self._discard(attempt)

    def list_all(self, row: str | None = None) -> list[settling.Ending]:
        """Returns the endings, all or those of one row."""
        with self._lock:
            waiting = self._endings.values()
            return [one for one in waiting if row in (None, one.row)]

    def _discard(self, attempt: ids.AttemptId) -> None:
        known = self._endings.pop(attempt, None)
        if known:
            self._bytes -= _measure(known)

    def _choose_victim(self) -> settling.Ending:
        waiting = list(self._endings.values())
        for ending in waiting:
            if ending.record.state is records.State.NOT_RUN:
                return ending
        return waiting[0]

    def _is_over(self) -> bool:
        too_many = len(self._endings) > self._max_endings
        return too_many or self._bytes > self._max_bytes


def _measure(ending: settling.Ending) -> int:
    return len(ending.answer or b"")
