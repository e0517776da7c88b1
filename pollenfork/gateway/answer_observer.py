"""Times one request's answer, for its log and for what is learned from it."""

from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.gateway import counters
from pollenfork.gateway import pace_samples
from pollenfork.gateway import request_log
from pollenfork.gateway import retries
from pollenfork.gateway import room_observer


class AnswerObserver:
    """Observes the answer from its sending to its end."""

    def __init__(
        self,
        deps: context.Dependencies,
        admitted: context.AdmittedRequest,
        log: request_log.RequestLog,
    ) -> None:
        """Creates an observer of a request that hasn't been sent.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
            log: The request's log.
        """
        self._deps = deps
        self._log = log
        self._room = room_observer.RoomObserver(deps, admitted, log)
        self._pace = pace_samples.AnswerObserver(
            deps.paces, admitted.demand, deps.chooser.read_load
        )
        self._first_s: float | None = None
        self._gap_s = 0.0
        self._event_at = 0.0
        self._events = 0

    @property
    def is_streaming(self) -> bool:
        """Whether the caller has been sent the head of a stream."""
        return self._first_s is not None

    def on_sent(self, grant: outcomes.Grant) -> None:
        """Notes that the request is sent to a runner."""
        self._room.start(grant)

    def on_first_output(self, grant: outcomes.Grant, sent_at: float) -> None:
        """Notes that a runner has started to answer.

        Args:
            grant: The grant of the runner.
            sent_at: When the request was sent, in monotonic seconds.
        """
        if grant.pending_tokens:
            observed_s = self._deps.loop.time() - sent_at
            self._deps.chooser.record_first_output(grant, observed_s)
        grant.record_prefill_done()
        self._pace.on_first_output(grant)

    def on_stream(self) -> None:
        """Notes that the caller is sent the head of a stream."""
        self._first_s = self._log.took_s

    def on_events(self, forwarded: int) -> None:
        """Notes events of the stream.

        Args:
            forwarded: The number of events so far.
        """
        if forwarded == self._events:
            return  # Comments alone.
        self._events = forwarded
        now = self._deps.loop.time()
        if self._event_at:
            self._gap_s = max(self._gap_s, now - self._event_at)
        self._event_at = now
        self._pace.on_events(now, forwarded)
        self._room.observe_events(now)

    def on_backpressure(self) -> None:
        """Notes that the caller, not the runner, sets the intervals."""
        self._pace.discard()
        self._room.interrupt()

    def on_whole(self, grant: outcomes.Grant, sent: int) -> None:
        """Notes that a runner's answer is whole.

        Args:
            grant: The grant of the runner.
            sent: The number of attempts that were sent.
        """
        self._pace.on_answered(grant, sent, self._deps.loop.time())

    def on_end(
        self,
        ended: attempt.AttemptResult,
        history: retries.AttemptHistory,
        relay: attempt.StreamRelay | None,
        sent_at: float,
    ) -> None:
        """Learns from the last attempt.

        Args:
            ended: How the attempt ended.
            history: The request's attempts.
            relay: The stream's state; None if the answer isn't streamed.
            sent_at: When the attempt began, in monotonic seconds.
        """
        self._room.record_end(ended, history, relay, sent_at)

    def measure(self) -> counters.AnswerLatency:
        """Returns the times of the answer until now."""
        took_s = self._log.took_s
        first_s = took_s if self._first_s is None else self._first_s
        return counters.AnswerLatency(took_s, first_s, self._gap_s)
