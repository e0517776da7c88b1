"""Records how the attempts of one request ended, and what follows."""

import functools
import logging

from pollenfork import logs
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.gateway import quarantine_check
from pollenfork.gateway import request_log
from pollenfork.gateway import retries
from pollenfork.gateway import selection
from pollenfork.gateway.failover import sending
from pollenfork.gateway.shedding import limits as shedding_limits
from pollenfork.loads import messages as loads

_LOG = logging.getLogger(__name__)

_End = fleet_messages.End
_RetryDecision = retries.RetryDecision


class AttemptRecorder:
    """Updates what is known of the request and of the runners."""

    def __init__(
        self,
        deps: context.Dependencies,
        admitted: context.AdmittedRequest,
        history: retries.AttemptHistory,
        selector: selection.RunnerSelector,
        check: quarantine_check.QuarantineCheck,
        log: request_log.RequestLog,
        relay: attempt.StreamRelay | None,
    ) -> None:
        """Creates a recorder of a request that hasn't been sent.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
            history: Its attempts.
            selector: Keeps the runners that were tried.
            check: Learns whether the request crashes runners.
            log: The request's log.
            relay: Forwards a stream to the caller; None if it isn't streamed.
        """
        self._deps = deps
        self._admitted = admitted
        self._history = history
        self._selection = selector
        self._quarantine_check = check
        self._log = log
        self._relay = relay

    def decide(
        self,
        grant: outcomes.Grant,
        ended: attempt.AttemptResult,
        sent: sending.SentAttempt | None,
    ) -> retries.RetryDecision:
        """Records the result of an attempt; returns the next step.

        Args:
            grant: The grant of the runner.
            ended: The result.
            sent: The attempt; None if nothing was sent.
        """
        self._record(grant, ended, sent)
        decision = retries.decide(
            ended,
            self._admitted.route,
            self._history,
            self._admitted.deadline - self._deps.loop.time(),
            self.take_retry,
        )
        if decision is not _RetryDecision.ANSWERED:
            self._log_failure(grant, ended, decision)
        return decision

    def record_replaced(
        self,
        sent: sending.SentAttempt,
        ended: attempt.AttemptResult,
        is_streaming: bool,
    ) -> None:
        """Records an attempt that another one has replaced.

        Args:
            sent: The attempt.
            ended: Its result.
            is_streaming: Whether the caller has been sent the head of a stream.
        """
        self._quarantine_check.record_attempt(
            sent.grant.runner,
            ended,
            sent.begun_at,
            sent.opened.connected_at,
            is_streaming,
        )
        self._record(sent.grant, ended, sent)
        self._log_failure(sent.grant, ended, _RetryDecision.RETRIED)

    def record_dropped(self, sent: sending.SentAttempt) -> None:
        """Records an attempt that didn't take the place of another one."""
        ended = sent.ended
        grant = sent.grant
        if ended is None:
            # It may run until its connection is closed.
            self._history.may_have_run = True
            self._history.runners_tried += 1
            self._selection.tried.add(grant.runner.id)
        else:
            if ended.connection_lost:
                self._quarantine_check.record_broken(
                    grant.runner, sent.begun_at, sent.opened.connected_at
                )
            self._record(grant, ended, sent)
        _LOG.info(
            "event=successor_dropped request=%s runner=%s end=%s sent=%d",
            logs.quote_value(self._admitted.head.attempt),
            grant.runner.id,
            ended.end.value if ended else "-",
            self._history.sent,
        )

    def record_helper_dropped(self) -> None:
        """Records that another instance didn't take a silent runner's place.

        It may have sent the request to a runner, which is an attempt.
        """
        self._history.sent += 1
        self._history.may_have_run = True
        _LOG.info(
            "event=helper_dropped request=%s sent=%d",
            logs.quote_value(self._admitted.head.attempt),
            self._history.sent,
        )

    def give_back_retry(self) -> None:
        """Gives back the last retry, as nothing was sent."""
        self._deps.retry_budget.give_back(self._admitted.demand.service)

    def record_choice(self, grant: outcomes.Grant) -> None:
        """Records the runner that shall take the place of a silent one."""
        self._log.log_choice(
            grant, self._history, shedding_limits.Admission.RETRY
        )

    def record_silence(self, sent: sending.SentAttempt) -> bool:
        """Records that an attempt is silent.

        Returns:
            Whether its runner is silent too, and not its connection alone.
        """
        state = sent.grant.state
        now = self._deps.loop.time()
        if not state.silence.is_runner_wide(now):
            return False
        silent_s = now - max(sent.receiver.last_data_at, state.silence.heard_at)
        if state.record_silence(now - silent_s, now):
            _LOG.warning(
                "event=runner_silent runner=%s silent_ms=%d active=%d",
                sent.grant.runner.id,
                silent_s * 1000,
                state.active,
            )
        return True

    def record_unsent(
        self, grant: outcomes.Grant, ended: attempt.AttemptResult
    ) -> None:
        """Records a runner that couldn't take the place of another one."""
        self._record(grant, ended, None)
        self._log_failure(grant, ended, _RetryDecision.RETRIED)

    def take_retry(self) -> bool:
        """Takes a retry from the budget; returns whether there was one."""
        return self._deps.retry_budget.try_take(
            self._admitted.demand.service, self._deps.loop.time()
        )

    def _record(
        self,
        grant: outcomes.Grant,
        ended: attempt.AttemptResult,
        sent: sending.SentAttempt | None,
    ) -> None:
        if ended.end is not _End.WITHHELD:
            self._selection.tried.add(grant.runner.id)
        self._history.record(ended)
        state = grant.state
        failures = state.failures
        now = self._deps.loop.time()
        if ended.end is _End.SILENT and sent is not None:
            self.record_silence(sent)
        if sent is None or not sent.receiver.awaits_proof:
            state.record_end(ended.end, ended.is_error, now)
        self._deps.counters.record_stream_run(ended)
        self._log.log_state_change(grant, ended, failures)
        self._report_failure(grant.runner, ended)
        if ended.end is _End.REFUSED and sent is not None:
            self._deps.brittle.record_refusal(grant.runner, sent.sent_at)
        elif ended.end is _End.WHOLE:
            self._deps.brittle.record_served(grant.runner.service)
        if not state.reachable:
            self._deps.prober.watch(grant.runner, state)

    def _log_failure(
        self,
        grant: outcomes.Grant,
        ended: attempt.AttemptResult,
        decision: retries.RetryDecision,
    ) -> None:
        events = self._relay.progress.forwarded if self._relay else 0
        self._log.log_failed_attempt(
            grant, ended, decision, self._history, events
        )

    def _report_failure(
        self, runner: fleet.Runner, ended: attempt.AttemptResult
    ) -> None:
        """Tells other instances what a failed attempt shows of a runner."""
        deps = self._deps
        if ended.symptom is loads.Symptom.DISPLACED:
            deps.evidence.record(runner, ended.symptom)
        elif ended.symptom is not None:
            record = deps.evidence.record
            deps.reach.confirm(
                runner, functools.partial(record, runner, ended.symptom)
            )
        elif ended.connection_lost and ended.head is None:
            deps.reach.record_broken(runner)
