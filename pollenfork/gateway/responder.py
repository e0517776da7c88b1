"""Writes the final response to a caller: an answer, or why there is none."""

from collections.abc import Callable
import http
import math

from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import callers
from pollenfork.gateway import context
from pollenfork.gateway import replies
from pollenfork.gateway import request_log
from pollenfork.gateway import retries
from pollenfork.gateway import selection

_Reason = replies.Reason

# Seconds to retry after a refusal: a little longer than it usually takes to
# learn of a burst of more urgent requests or of the loss of a runner.
_RETRY_AFTER_S = 0.15
# Callers wait no longer than a third of their time limit, 2.7 s for the
# longest.
_MAX_RETRY_AFTER_S = 2.5
# The part of its remaining time after which a caller is told to return at most,
# a little less than the third that callers wait.
_MAX_RETRY_SHARE = 0.32
# A runner of the version that began a stream may be back after a crash.
_VERSION_RETRY_S = 1.0
# If rate-limited runners need longer than this for their backlog, in seconds,
# not all callers in it are likely to retry.
_MAX_LIMITED_RETRY_S = 10.0

# Refusals that show that a service's runners can't take all requests.
_LACKS_RUNNERS = (
    outcomes.Overloaded,
    outcomes.Full,
    outcomes.Limited,
    outcomes.Paused,
)


class Responder:
    """Ends one request."""

    def __init__(
        self,
        deps: context.Dependencies,
        admitted: context.AdmittedRequest,
        caller: callers.CallerConnection,
        log: request_log.RequestLog,
        selector: selection.RunnerSelector,
        history: retries.AttemptHistory,
        relay: attempt.StreamRelay | None,
        count_request: Callable[[], None],
    ) -> None:
        """Creates a responder that has written nothing.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
            caller: The caller's connection.
            log: The request's log.
            selector: Plans returns of the request.
            history: The request's attempts.
            relay: Forwards a stream to the caller; None if it isn't streamed.
            count_request: Counts a request that was refused.
        """
        self._deps = deps
        self._admitted = admitted
        self._caller = caller
        self._log = log
        self._selection = selector
        self._history = history
        self._relay = relay
        self._count_request = count_request

    def write_answer(self, ended: attempt.AttemptResult) -> bool:
        """Writes the answer, or the end of its stream, to the caller.

        Returns:
            Whether it was written: an error can't end a stream that has begun.
        """
        assert ended.head is not None
        if self._relay is None or not self._relay.begun:
            written = self._deps.codec.encode_response(
                ended.head, len(ended.body), self._caller.closing
            )
            self._caller.write(written + ended.body)
        elif ended.is_error:
            self.end_with_error(_Reason.MAY_HAVE_RUN)
            return False
        else:
            self._caller.write(b"0\r\n\r\n")
        return True

    def end_with_error(
        self,
        reason: _Reason,
        wait_s: float = _RETRY_AFTER_S,
        least_s: float = _RETRY_AFTER_S,
    ) -> None:
        """Ends the request with an error response.

        If a stream has started, its connection is closed instead.

        Args:
            reason: The reason, sent in the body.
            wait_s: Seconds after which a retry is likely to be served.
            least_s: The least seconds to tell the caller.
        """
        self._count_request()
        may_have_run = self._history.may_have_run
        # An internal error shows nothing about a request already sent.
        if reason is _Reason.FAULT and self._history.sent:
            may_have_run = True
        begun = self._relay is not None and self._relay.begun
        self._log.log_refusal(reason, may_have_run, self._history, begun)
        if begun:
            self._caller.abort()
            return
        if may_have_run:
            status = 504 if reason is _Reason.TIME_LIMIT else 502
            refusal = replies.Refusal(status, reason)
        else:
            wait_s = max(wait_s, least_s)
            refusal = replies.Refusal(503, reason, wait_s)
        self._caller.write(replies.write_refusal(refusal, self._caller.closing))

    def pass_refusal(self, refusal: replies.Refusal) -> None:
        """Passes on the refusal of the instance that served the request."""
        if self._relay is not None and self._relay.begun:
            self._caller.abort()
            return
        promises = refusal.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        if self._history.may_have_run and promises:
            # An attempt of before, on a connection that broke, may have run.
            refusal = replies.Refusal(502, _Reason.MAY_HAVE_RUN)
        self._caller.write(replies.write_refusal(refusal, self._caller.closing))

    def refuse(
        self,
        found: outcomes.Overloaded | outcomes.Refusal | None,
    ) -> None:
        """Refuses the request because no runner accepts it."""
        if isinstance(found, _LACKS_RUNNERS):
            self._selection.record_refusal()
        match found:
            case outcomes.Paused():
                self._refuse_until_resumed(found)
            case outcomes.Overloaded():
                self._refuse_overloaded(found)
            case outcomes.Closed():
                self._log_shed(found)
                wait_s = min(found.wait_s, self._find_longest_wait())
                self.end_with_error(_Reason.OVERLOADED, wait_s, least_s=0.0)
            case outcomes.Limited():
                admitted = self._admitted
                wait_s = self._deps.permits.estimate_retry_after(
                    admitted.demand.service, admitted.tier, found
                )
                wait_s = min(wait_s, _MAX_LIMITED_RETRY_S)
                self.end_with_error(_Reason.RUNNERS_LIMITED, wait_s)
            case outcomes.Full():
                wait_s = self._deps.brittle.find_retry_after(
                    self._admitted.tier
                )
                self.end_with_error(_Reason.RUNNERS_BRITTLE, wait_s)
            case outcomes.Unreachable():
                self.end_with_error(_Reason.UNREACHABLE)
            case outcomes.OtherVersions():
                self._refuse_version(found)
            case None:
                self.end_unless_paused(_Reason.NO_RUNNER)

    def _refuse_version(self, found: outcomes.OtherVersions) -> None:
        if found.uncertain:
            self.end_with_error(_Reason.VERSION_UNKNOWN)
        else:
            self.end_with_error(_Reason.VERSION_GONE, _VERSION_RETRY_S)

    def _refuse_overloaded(self, found: outcomes.Overloaded) -> None:
        self._log_shed(found)
        planned_s = self._selection.find_retry_after()
        if planned_s is None:
            wait_s = min(found.wait_s, _MAX_RETRY_AFTER_S)
            self.end_with_error(_Reason.OVERLOADED, wait_s)
        else:
            # A planned time may be as short as the caller's remaining time.
            self.end_with_error(_Reason.OVERLOADED, planned_s, least_s=0.0)

    def _log_shed(self, found: outcomes.Overloaded | outcomes.Closed) -> None:
        service = self._admitted.demand.service
        self._log.log_shed(found, self._deps.shedder.find_pressed(service))

    def end_unless_paused(self, reason: _Reason) -> None:
        """Ends the request; callers of pausing runners are told how long."""
        paused = self._deps.chooser.availability.find_pause(
            self._admitted.demand, self._deps.loop.time()
        )
        if paused is None:
            self.end_with_error(reason)
        else:
            self._refuse_until_resumed(paused)

    def _refuse_until_resumed(self, paused: outcomes.Paused) -> None:
        wait_s = min(paused.wait_s, _MAX_LIMITED_RETRY_S)
        self.end_with_error(_Reason.RUNNERS_PAUSED, wait_s)

    def _find_longest_wait(self) -> float:
        """Returns the most to tell the caller, as `Retry-After` shows it."""
        longest_s = max(0.0, self._remaining_s()) * _MAX_RETRY_SHARE
        return math.floor(longest_s * 100) / 100

    def _remaining_s(self) -> float:
        return self._admitted.deadline - self._deps.loop.time()
