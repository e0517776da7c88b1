"""Learns from a request's answer how much room requests need."""

from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.gateway import request_log
from pollenfork.gateway import retries
from pollenfork.room import preemption


class RoomObserver:
    """Observes one request's answer, if its service is forecast."""

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
        self._admitted = admitted
        self._log = log
        self._grant: outcomes.Grant | None = None
        forecast = admitted.demand.forecast
        self._watch = preemption.StreamWatch(
            admitted.route.gap_s if forecast else 0.0
        )

    def start(self, grant: outcomes.Grant) -> None:
        """Notes that the request is sent to a runner."""
        self._grant = grant
        self._watch.restart()

    def interrupt(self) -> None:
        """Notes that reading is stopped for a slow caller, or resumed."""
        self._watch.restart()

    def observe_events(self, now: float) -> None:
        """Observes that events have arrived.

        Args:
            now: Monotonic seconds.
        """
        gap_s = self._watch.observe(now)
        grant = self._grant
        if gap_s is None or grant is None:
            return
        held = self._deps.chooser.count_held(grant.state.incarnation_hash)
        self._log.log_preemption(grant.runner.id, gap_s, held)

    def record_end(
        self,
        ended: attempt.AttemptResult,
        history: retries.AttemptHistory,
        relay: attempt.StreamRelay | None,
        sent_at: float,
    ) -> None:
        """Learns from the last attempt, if one runner gave a whole answer.

        Args:
            ended: How the attempt ended.
            history: The request's attempts.
            relay: The stream's state; None if the answer isn't streamed.
            sent_at: When the attempt began, in monotonic seconds.
        """
        admitted = self._admitted
        whole = ended.end is fleet_messages.End.WHOLE
        if not admitted.demand.forecast or not whole:
            return
        resumed = history.sent > 1 or admitted.head.last_event is not None
        if resumed or ended.is_error:
            return
        learned = self._deps.learned
        learned.record_time(
            admitted.demand.service, self._deps.loop.time() - sent_at
        )
        events = 0 if relay is None else relay.progress.forwarded
        learned.outputs.record(
            admitted.route.name,
            admitted.head.length_hint,
            events * admitted.demand.event_tokens,
        )
