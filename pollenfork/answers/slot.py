"""The endpoint slot that a request holds: requesting, reporting, releasing."""

import concurrent.futures
import threading
from typing import NamedTuple

from pollenfork import clock
from pollenfork import ids
from pollenfork.answers import cancels
from pollenfork.answers import counters
from pollenfork.answers import edges
from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.answers import pump
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import edges as endpoint_edges

_End = dispatch_messages.AttemptEnd


_ATTEMPT_ENDS = {
    errors.Cause.NEVER_SENT: _End.NEVER_SENT,
    errors.Cause.REFUSED: _End.REFUSED_BY_ENDPOINT,
    errors.Cause.HEAD_LATE: _End.TIMED_OUT,
    errors.Cause.CALLER_GONE: _End.CANCELLED,
}


def get_attempt_end(
    cause: errors.Cause, *, midway: bool = False
) -> dispatch_messages.AttemptEnd:
    """Returns how an attempt that failed with `cause` ended."""
    fallback = _End.BROKEN_MIDWAY if midway else _End.BROKEN_BEFORE_FIRST
    return _ATTEMPT_ENDS.get(cause, fallback)


class Dependencies(NamedTuple):
    """Dependencies that all requests of a relay share."""

    slots: edges.Slots
    clock: clock.Clock
    limits: messages.Limits
    counters: counters.Counters
    canceller: cancels.Canceller
    pump: pump.Pump


class Slot:
    """The slot of one request, at one endpoint after another.

    Attributes:
        engine: The endpoint speaks the engine protocol, so it can cancel.
        first_seen: The current attempt's first token has been reported.
    """

    def __init__(
        self, grant: dispatch_messages.Grant, deps: Dependencies, engine: bool
    ) -> None:
        self.engine = engine
        self.first_seen = False
        self._deps = deps
        self._request = grant.request
        self._grant = grant
        self._held = True
        self._avoid: list[ids.EndpointId] = [grant.endpoint]
        self._decided = threading.Event()
        self._interrupted = False

    @property
    def grant(self) -> dispatch_messages.Grant:
        """The current grant, or the last one."""
        return self._grant

    def fork(self) -> "Slot":
        """Returns a slot for a copy of the request, without a grant yet."""
        second = Slot(self._grant, self._deps, self.engine)
        second._held = False
        second._avoid = list(self._avoid)
        return second

    def report_first_token(self) -> None:
        """Reports the attempt's first token, once."""
        if self.first_seen:
            return
        self.first_seen = True
        at = self._deps.clock.monotonic()
        attempt = self._grant.attempt
        self._deps.slots.report(
            dispatch_messages.FirstToken(attempt=attempt, at=at)
        )

    def report_progress(self, tokens: int) -> None:
        """Reports how many tokens the attempt has generated so far."""
        self._deps.slots.report(
            dispatch_messages.Progress(
                attempt=self._grant.attempt,
                tokens=tokens,
                at=self._deps.clock.monotonic(),
            )
        )

    def interrupt_wait(self) -> None:
        """Ends current and later waits for a grant."""
        self._interrupted = True
        self._decided.set()

    def ask_again(self, reason: dispatch_messages.RetryReason) -> bool:
        """Waits for a grant; False if refused, late or interrupted."""
        pending = self._deps.slots.ask_again(
            dispatch_messages.AskAgain(
                request=self._request,
                reason=reason,
                avoid=tuple(self._avoid),
            )
        )
        self._decided.clear()
        pending.add_done_callback(lambda _: self._decided.set())
        if not self._interrupted:
            self._decided.wait(self._deps.limits.retry_wait_s)
        if not pending.done():
            pending.add_done_callback(self._release_late_grant)
            return False
        decision = pending.result()
        if not isinstance(decision, dispatch_messages.Grant):
            return False
        self._grant = decision
        self._held = True
        self.first_seen = False
        self._avoid.append(decision.endpoint)
        return True

    def end(self, how: dispatch_messages.AttemptEnd, tokens: int) -> None:
        """Reports the attempt's end; a second call does nothing."""
        if self._held:
            self._held = False
            self._report_end(self._grant, how, tokens)

    def cancel(
        self, reason: cancels.CancelReason
    ) -> endpoint_edges.CancelOutcome | None:
        """Cancels at the endpoint and waits for its reply."""
        if not self.engine:
            return None
        return self._deps.canceller.cancel(self._grant, reason)

    def cancel_in_background(
        self,
        reason: cancels.CancelReason,
        how: dispatch_messages.AttemptEnd,
        tokens: int,
    ) -> None:
        """Starts a cancel; the slot is released once that has finished."""
        if not self.engine:
            self.end(how, tokens)
        if not self._held:
            return
        self._held = False
        grant = self._grant
        self._deps.canceller.cancel_in_background(
            grant, reason, lambda: self._report_end(grant, how, tokens)
        )

    def close(self) -> None:
        """Reports that the request is over."""
        self._deps.slots.report(
            dispatch_messages.RequestClosed(request=self._request)
        )

    def _release_late_grant(
        self, pending: concurrent.futures.Future[edges.Decision]
    ) -> None:
        """Releases a slot granted after the wait for it has ended."""
        decision = pending.result()
        if isinstance(decision, dispatch_messages.Grant):
            self._report_end(decision, _End.NEVER_SENT, 0)

    def _report_end(
        self,
        grant: dispatch_messages.Grant,
        how: dispatch_messages.AttemptEnd,
        tokens: int,
    ) -> None:
        self._deps.slots.report(
            dispatch_messages.AttemptEnded(
                attempt=grant.attempt,
                how=how,
                tokens=tokens,
                at=self._deps.clock.monotonic(),
            )
        )
