"""A second copy of a request whose first token is late; the first wins."""

from collections.abc import Callable
import enum
import threading
from typing import Protocol

from pollenfork.answers import counters
from pollenfork.dispatch import messages as dispatch_messages


class HedgeEnd(enum.Enum):
    """What became of a second copy; each has its counter."""

    REFUSED = "refused"  # No slot for it: nothing was sent.
    WON = "won"
    LOST = "lost"
    FAILED = "failed"


class Copy(Protocol):
    """One copy of a request on its way to its first bytes."""

    def ask(self, reason: dispatch_messages.RetryReason) -> bool:
        """Waits for a slot; False when there is none."""

    def run(self) -> bool:
        """Sends; returns whether the first bytes came."""

    def interrupt(self) -> None:
        """Ends `ask` or `run` in another thread, now or later."""

    def lose(self) -> None:
        """Cancels a copy that isn't wanted."""


class Hedge:
    """Races a second copy against the first, which another thread runs."""

    def __init__(
        self,
        copy: Copy,
        interrupt_first: Callable[[], None],
        counted: counters.Counters,
    ) -> None:
        self._copy = copy
        self._interrupt_first = interrupt_first
        self._counters = counted
        self._lock = threading.Lock()
        self._asked = False
        self._won = False
        self._unwanted = False
        self._ended = threading.Event()
        self._timer: threading.Timer | None = None

    def start(self, after_s: float) -> None:
        """Asks for the second copy after `after_s` seconds."""
        self._timer = threading.Timer(after_s, self._run)
        self._timer.name = "hedge"
        self._timer.daemon = True
        self._timer.start()

    def settle(self, first_came: bool) -> bool:
        """Returns whether the second copy is the one to go on with.

        Called by the first copy's thread at its end. A first copy that
        failed by itself waits for the second one, if that is under way.
        """
        with self._lock:
            if self._won:
                return True
            if first_came or not self._asked:
                self._unwanted = True
        if self._unwanted:
            self._stop()
            return False
        self._ended.wait()
        return self._won

    def _stop(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._copy.interrupt()

    def _run(self) -> None:
        with self._lock:
            if self._unwanted:
                return
            self._asked = True
        try:
            end = self._race()
        finally:
            self._ended.set()
        self._counters.count(self._counters.hedges, end.value)

    def _race(self) -> HedgeEnd:
        if not self._copy.ask(dispatch_messages.RetryReason.HEDGE):
            return HedgeEnd.REFUSED
        came = self._copy.run()
        with self._lock:
            self._won = came and not self._unwanted
        if self._won:
            self._interrupt_first()
            return HedgeEnd.WON
        self._copy.lose()
        return HedgeEnd.LOST if self._unwanted else HedgeEnd.FAILED
