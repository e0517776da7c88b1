"""Periodic calls, driven by the injected clock."""

from collections.abc import Callable
import heapq
import itertools
import logging
import threading

from pollenfork import clock

_LOG = logging.getLogger(__name__)
_POLL_S = 0.02


class Timers:
    """Runs calls every so many seconds in one thread.

    Tests leave the thread out, advance a `ManualClock` and call `run_due`.
    A call must be short: it usually sends one message to an actor.
    """

    def __init__(self, now: clock.Clock) -> None:
        self._clock = now
        self._order = itertools.count()
        self._due: list[tuple[float, int, float, Callable[[], None]]] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def every(
        self, period_s: float, call: Callable[[], None], first_s: float = 0.0
    ) -> None:
        """Runs `call` after `first_s` seconds, then each `period_s`."""
        due = self._clock.monotonic() + first_s
        with self._lock:
            entry = (due, next(self._order), period_s, call)
            heapq.heappush(self._due, entry)

    def run_due(self) -> None:
        """Runs every call whose time has come, once each."""
        now = self._clock.monotonic()
        for call in self._take_due(now):
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
        """Ends the thread; calls that are due no longer run."""
        self._stopped.set()
        if self._thread:
            self._thread.join()

    def _take_due(self, now: float) -> list[Callable[[], None]]:
        calls = []
        with self._lock:
            while self._due and self._due[0][0] <= now:
                due, _, period_s, call = heapq.heappop(self._due)
                calls.append(call)
                # A late timer skips missed periods instead of catching up.
                after = max(due + period_s, now)
                entry = (after, next(self._order), period_s, call)
                heapq.heappush(self._due, entry)
                if period_s <= 0:
                    break
        return calls

    def _run(self) -> None:
        while not self._stopped.wait(_POLL_S):
            self.run_due()
