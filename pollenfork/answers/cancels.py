"""Cancels attempts at their engines, in threads of its own."""

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
_MAX_TRIES = 2


class CancelReason(enum.Enum):
    """Why an attempt is cancelled; each reason has its own counter."""

    CALLER_GONE = "caller_gone"
    BROKEN_BEFORE_FIRST = "broken_before_first"
    CONTINUED_ELSEWHERE = "continued_elsewhere"
    GIVEN_UP = "given_up"
    HEDGE_LOST = "hedge_lost"


class Canceller:
    """Cancels attempts and counts the endpoints' replies."""

    def __init__(
        self, limits: messages.Limits, relay_counters: counters.Counters
    ) -> None:
        self._limits = limits
        self._counters = relay_counters
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="cancel"
        )

    def stop(self) -> None:
        """Waits for the running cancels to finish."""
        self._pool.shutdown()

    def cancel(
        self, grant: dispatch_messages.Grant, reason: CancelReason
    ) -> endpoint_edges.CancelOutcome | None:
        """Cancels and waits; returns None if the endpoint didn't confirm."""
        self._counters.count(self._counters.cancels, reason.value)
        result_label: str = "unconfirmed"
        outcome = None
        for _ in range(_MAX_TRIES):
            reply = engine.cancel(grant.address, grant.attempt, self._limits)
            if reply.is_ok():
                outcome = reply.unwrap()
                result_label = outcome.value
                break
        self._counters.count(self._counters.cancel_outcomes, result_label)
        _LOG.info(
            "event=cancelled request=%s attempt=%s endpoint=%s reason=%s"
            " outcome=%s",
            grant.request,
            grant.attempt,
            grant.endpoint,
            reason.value,
            result_label,
        )
        return outcome

    def cancel_in_background(
        self,
        grant: dispatch_messages.Grant,
        reason: CancelReason,
        on_done: Callable[[], None],
    ) -> None:
        """Cancels in another thread and then calls `on_done`."""

        def run() -> None:
            try:
                self.cancel(grant, reason)
            finally:
                on_done()

        try:
            self._pool.submit(run)
        except RuntimeError:
            # The pool is shut down; the engine sees the closed connection.
            on_done()
