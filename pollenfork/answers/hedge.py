"""Hedging: a copy of a request whose first token is late; the faster wins."""

from collections.abc import Callable
import enum
import threading
from typing import Protocol

from pollenfork.answers import counters
from pollenfork.dispatch import messages as dispatch_messages


class HedgeOutcome(enum.Enum):
    """The outcome of a hedged copy; each has its own counter."""

    REFUSED = "refused"  # No slot was granted, so nothing was sent.
    WON = "won"
    LOST = "lost"
    FAILED = "failed"


class RequestCopy(Protocol):
    """A copy of a request, up to its first bytes."""

    def request_slot(self, reason: dispatch_messages.RetryReason) -> bool:
        """Waits for a slot; returns False if none is granted."""

    def send_copy(self) -> bool:
        """Sends the copy; returns whether its first bytes arrived."""

    def interrupt(self) -> None:
        """Ends current and later waits of other threads on the copy."""

    def cancel_copy(self) -> None:
        """Cancels the copy."""


class Hedge:
    """Races a copy against the original, which another thread runs."""

    def __init__(
        self,
        copy: RequestCopy,
        interrupt_original: Callable[[], None],
        relay_counters: counters.Counters,
    ) -> None:
        self._copy = copy
        self._interrupt_original = interrupt_original
        self._counters = relay_counters
        self._lock = threading.Lock()
        self._started = False
        self._won = False
        self._cancelled = False
        self._finished = threading.Event()
        self._timer: threading.Timer | None = None

    def start(self, after_s: float) -> None:
        """Starts the copy after `after_s` seconds."""
        self._timer = threading.Timer(after_s, self._run)
        self._timer.name = "hedge"
        self._timer.daemon = True
        self._timer.start()

    def resolve(self, original_received: bool) -> bool:
        """Returns whether the copy won.

        Called by the original's thread when the original has its first bytes
        or has failed. If it failed, waits for a copy that has started.
        """
        with self._lock:
            if self._won:
                return True
            if original_received or not self._started:
                self._cancelled = True
        if self._cancelled:
            self._stop()
            return False
        self._finished.wait()
        return self._won

    def _stop(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._copy.interrupt()

    def _run(self) -> None:
        with self._lock:
            if self._cancelled:
                return
            self._started = True
        try:
            outcome = self._race()
        finally:
            self._finished.set()
        self._counters.count(self._counters.hedges, outcome.value)

    def _race(self) -> HedgeOutcome:
        if not self._copy.request_slot(dispatch_messages.RetryReason.HEDGE):
            return HedgeOutcome.REFUSED
        received = self._copy.send_copy()
        with self._lock:
            self._won = received and not self._cancelled
        if self._won:
            self._interrupt_original()
            return HedgeOutcome.WON
        self._copy.cancel_copy()
        return HedgeOutcome.LOST if self._cancelled else HedgeOutcome.FAILED
