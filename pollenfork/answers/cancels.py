"""Cancels of attempts at their engines, confirmed, off the callers' threads."""

from collections.abc import Callable
import concurrent.futures
import enum
import logging

from pollenfork.answers import counters
from pollenfork.answers import engine
from pollenfork.answers import messages
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import edges as endpoint_edges

_LOG = logging.getLogger(__name__)
_THREADS = 8
_TRIES = 2


class CancelReason(enum.Enum):
    """Why an attempt is cancelled; each has its counter."""

    CALLER_GONE = "caller_gone"
    BROKEN_BEFORE_FIRST = "broken_before_first"
    CONTINUED_ELSEWHERE = "continued_elsewhere"
    GIVEN_UP = "given_up"
    HEDGE_LOST = "hedge_lost"


class Canceller:
    """Cancels attempts and counts what the endpoints say."""

    def __init__(
        self, limits: messages.Limits, counted: counters.Counters
    ) -> None:
        self._limits = limits
        self._counters = counted
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="cancel"
        )

    def stop(self) -> None:
        """Finishes the cancels under way."""
        self._pool.shutdown()

    def cancel(
        self, grant: dispatch_messages.Grant, reason: CancelReason
    ) -> endpoint_edges.CancelOutcome | None:
        """Cancels and waits; None when the endpoint didn't confirm it."""
        self._counters.count(self._counters.cancels, reason.value)
        said: str = "unconfirmed"
        outcome = None
        for _ in range(_TRIES):
            cancelled = engine.cancel(
                grant.address, grant.attempt, self._limits
            )
            if cancelled.is_ok():
                outcome = cancelled.unwrap()
                said = outcome.value
                break
        self._counters.count(self._counters.cancel_outcomes, said)
        _LOG.info(
            "event=cancelled request=%s attempt=%s endpoint=%s reason=%s"
            " outcome=%s",
            grant.request,
            grant.attempt,
            grant.endpoint,
            reason.value,
            said,
        )
        return outcome

    def cancel_soon(
        self,
        grant: dispatch_messages.Grant,
        reason: CancelReason,
        then: Callable[[], None],
    ) -> None:
        """Cancels on another thread and calls `then` when that is done."""

        def run() -> None:
            try:
                self.cancel(grant, reason)
            finally:
                then()

        try:
            self._pool.submit(run)
        except RuntimeError:  # Stopped: the engine sees the closed connection.
            then()
