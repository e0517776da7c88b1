"""Periodic calls, scheduled on an injected clock."""

from collections.abc import Callable
import heapq
import itertools
import logging
import threading

from pollenfork import clock

_LOG = logging.getLogger(__name__)
_MAX_WAIT_S = 1.0


class Timers:
    """Runs periodic calls in one thread.

    Tests don't start the thread; they advance a `ManualClock` and call
    `run_due`. Calls must be short, as they delay each other; most only send a
    message to an actor.
    """

    def __init__(self, now: clock.Clock) -> None:
        self._clock = now
        self._order = itertools.count()
        self._due: list[tuple[float, int, float, Callable[[], None]]] = []
        self._lock = threading.Lock()
        self._changed = threading.Event()
        self._stopped = False
        self._thread: threading.Thread | None = None

    def every(
        self, period_s: float, call: Callable[[], None], first_s: float = 0.0
    ) -> None:
        """Runs `call` after `first_s` seconds, then every `period_s`."""
        due = self._clock.monotonic() + first_s
        with self._lock:
            entry = (due, next(self._order), period_s, call)
            heapq.heappush(self._due, entry)
        self._changed.set()

    def run_due(self) -> None:
        """Runs each call that is due, once."""
        now = self._clock.monotonic()
        for call in self._pop_due(now):
            try:
                call()
            except Exception:
                _LOG.exception("event=timer_failed")

    def start(self) -> None:
        """Starts the thread that runs the calls."""
        self._thread = threading.Thread(
            target=self._run, name="timers", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread; calls that are still due are not run."""
        self._stopped = True
        self._changed.set()
        if self._thread:
            self._thread.join()

    def _pop_due(self, now: float) -> list[Callable[[], None]]:
        calls = []
        with self._lock:
            while self._due and self._due[0][0] <= now:
                due, _, period_s, call = heapq.heappop(self._due)
                calls.append(call)
                next_due = due + period_s
                if next_due <= now:
                    next_due = now + period_s  # Skip missed periods.
                entry = (next_due, next(self._order), period_s, call)
                heapq.heappush(self._due, entry)
        return calls

    def _run(self) -> None:
        while not self._stopped:
            self.run_due()
            self._changed.wait(self._compute_wait())
            self._changed.clear()

    def _compute_wait(self) -> float:
        """Returns the seconds until the next call is due."""
        with self._lock:
            if not self._due:
                return _MAX_WAIT_S
            remaining = self._due[0][0] - self._clock.monotonic()
        return min(max(remaining, 0.0), _MAX_WAIT_S)
