"""Serves one admitted request, until its final answer."""

import asyncio
from collections.abc import Callable, Sequence
import functools

import result

from pollenfork import ids
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.gateway import answer_observer
from pollenfork.gateway import attempt
from pollenfork.gateway import buffers
from pollenfork.gateway import callers
from pollenfork.gateway import context
from pollenfork.gateway import forwarding
from pollenfork.gateway import messages
from pollenfork.gateway import quarantine_check
from pollenfork.gateway import replies
from pollenfork.gateway import request_log
from pollenfork.gateway import responder
from pollenfork.gateway import retries
from pollenfork.gateway import selection
from pollenfork.gateway.events import progress
from pollenfork.gateway.failover import handover
from pollenfork.gateway.failover import recording
from pollenfork.gateway.failover import sending
from pollenfork.gateway.streams import version_pin
from pollenfork.poison import crashes
from pollenfork.poison import subjects
from pollenfork.routes import model as routes

_End = fleet_messages.End
_Reason = replies.Reason
_RetryDecision = retries.RetryDecision

# Seconds to retry after the refusal of a quarantined request, which stays so
# until an operator or a runner's answer clears it.
_QUARANTINED_RETRY_S = 60.0
# The same for one whose prompt has a quarantined part, which a trial may clear.
_QUARANTINED_PART_RETRY_S = 4.0
# The same for a request that may have crashed as many runners without proof;
# by then the registry shows whether a runner has restarted.
_UNCONFIRMED_RETRY_S = 1.0


class Exchange:
    """Serves one admitted request."""

    def __init__(
        self,
        deps: context.Dependencies,
        admitted: context.AdmittedRequest,
        caller: callers.CallerConnection,
        forwarded: forwarding.Forwarded | None = None,
    ) -> None:
        """Creates the exchange; `run` serves the request.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
            caller: The connection of the caller, or of the instance that
                forwards its request.
            forwarded: What that instance has told; None: a caller's request.
        """
        self._forwarded = forwarded
        # A request that was sent before is counted where that was done.
        self._is_counted = forwarded is not None and forwarded.attempts > 0
        self._deps = deps
        self._admitted = admitted
        self._caller = caller
        self._relay: attempt.StreamRelay | None = None
        self._log = request_log.RequestLog(
            deps.loop, deps.counters, deps.read_loads_age, admitted
        )
        self._quarantine_check = quarantine_check.QuarantineCheck(
            deps, admitted
        )
        self._selection = selection.RunnerSelector(deps, admitted)
        self._pin = version_pin.VersionPin(
            deps.stream_origins,
            admitted.head,
            admitted.digest,
            admitted.route,
            admitted.demand.service,
            forwarded.version if forwarded else None,
        )
        self._history = retries.AttemptHistory()
        self._observer = answer_observer.AnswerObserver(
            deps, admitted, self._log
        )
        self._runner: ids.EndpointId | None = None
        self._sent: sending.SentAttempt | None = None
        # The runner whose answer is awaited; None: another instance's.
        self._asked: fleet.Runner | None = None
        self._has_started = False
        if admitted.route.kind is routes.Kind.STREAM:
            self._relay = attempt.StreamRelay(
                progress.StreamProgress(
                    admitted.head.last_event,
                    may_begin=not admitted.route.resumable,
                    further_fields=deps.codec.EVENT_FIELDS,
                ),
                self._start_stream,
                self._write_events,
            )
        self._responder = responder.Responder(
            deps,
            admitted,
            caller,
            self._log,
            self._selection,
            self._history,
            self._relay,
            self._count_request,
        )
        self._sender = sending.Sender(
            deps,
            admitted,
            self._history,
            self._relay,
            sending.Callbacks(
                self._count_request,
                self._on_first_output,
                caller.buffers.record_answer,
                self._pin.accepts,
            ),
        )
        self._recorder = recording.AttemptRecorder(
            deps,
            admitted,
            self._history,
            self._selection,
            self._quarantine_check,
            self._log,
            self._relay,
        )
        self._handover = handover.Handover(
            deps,
            admitted,
            self._history,
            self._sender,
            self._selection,
            self._quarantine_check,
            self._recorder,
            handover.Callbacks(
                self._attach,
                lambda: self._observer.is_streaming,
                self._list_helpers,
                self._ask_helper,
            ),
        )

    async def run(self) -> None:
        """Serves the request; returns once the final answer is written."""
        try:
            await self._serve()
        except asyncio.CancelledError:
            begun = self._relay is not None and self._relay.begun
            self._log.log_caller_gone(self._runner, begun, self._history)
            if self._sent is not None and self._sent.receiver.awaits_proof:
                self._quarantine_check.record_survival(self._sent)
            raise
        except Exception:
            # An internal error; the caller must not wait until its time limit.
            self._log.log_internal_error()
            self._responder.end_with_error(_Reason.FAULT)
        finally:
            self._quarantine_check.close()
            self._caller.buffers.end()

    async def _serve(self) -> None:
        if not self._caller.buffers.begin(len(self._admitted.call.body)):
            wait_s = min(buffers.RETRY_AFTER_S, self._remaining_s() / 3)
            self._responder.end_with_error(
                _Reason.MEMORY, max(0.0, wait_s), least_s=0.0
            )
            return
        while not await self._advance():
            pass

    async def _advance(self) -> bool:
        """Takes the next step; returns whether the request has been served."""
        deps = self._deps
        if self._remaining_s() <= 0:
            self._responder.end_with_error(_Reason.TIME_LIMIT)
            return True
        if not await self._pin.resolve():
            self._responder.end_with_error(_Reason.VERSION_UNKNOWN)
            return True
        self._selection.version = self._pin.version
        lost = deps.reach.is_lost(self._admitted.demand.service)
        if lost and await self._forward():
            return True
        finding = await self._quarantine_check.evaluate(
            bool(self._history.runners_tried)
        )
        if await self._refuse_quarantined(finding):
            return True
        is_clear = finding.verdict is crashes.Verdict.CLEAR
        grant = await self._selection.find(
            None if is_clear else finding.subject.digest,
            bool(self._history.runners_tried),
            self._history.may_have_run,
            awaits_certainty=True,
        )
        if not isinstance(grant, outcomes.Grant):
            if not await self._find_elsewhere(grant):
                self._responder.refuse(grant)
            return True
        return await self._try_runner(grant)

    async def _try_runner(self, grant: outcomes.Grant) -> bool:
        """Sends the request to a runner; returns whether it was served."""
        self._log.log_choice(grant, self._history, self._selection.admission)
        begun_at = self._deps.loop.time()
        opened = await self._sender.connect(grant)
        if isinstance(opened, result.Err):
            return await self._end_attempt(grant, opened.err_value, None)
        first = self._sender.send(grant, opened.ok_value, begun_at)
        try:
            answered = await self._handover.await_answer(first)
        finally:
            self._caller.buffers.detach()
        sent = answered.sent
        if sent is None:
            self._finish_forwarded(answered.ended)
            return True
        return await self._end_attempt(sent.grant, answered.ended, sent)

    async def _end_attempt(
        self,
        grant: outcomes.Grant,
        ended: attempt.AttemptResult,
        sent: sending.SentAttempt | None,
    ) -> bool:
        """Handles the end of an attempt; returns whether it was the last."""
        if sent is not None:
            if sent.receiver.awaits_proof:
                self._quarantine_check.record_survival(sent)
            self._quarantine_check.record_attempt(
                grant.runner,
                ended,
                sent.begun_at,
                sent.opened.connected_at,
                self._observer.is_streaming,
            )
        decision = self._recorder.decide(grant, ended, sent)
        if decision is _RetryDecision.RETRIED:
            await self._quarantine_check.wait_for_probe(grant.runner, ended)
            return False
        if decision is _RetryDecision.ANSWERED:
            self._pin.record_whole()
            self._observer.on_whole(grant, self._history.sent)
        if sent is not None:
            self._observer.on_end(
                ended, self._history, self._relay, sent.begun_at
            )
        if ended.end.reached_runner or not await self._forward():
            self._finish(ended)
        return True

    async def _refuse_quarantined(self, finding: subjects.Finding) -> bool:
        """Returns whether a request that crashes runners was refused."""
        verdict = finding.verdict
        if verdict is crashes.Verdict.UNCONFIRMED:
            self._responder.end_with_error(
                _Reason.ENDS_RUNNERS, _UNCONFIRMED_RETRY_S
            )
            return True
        quarantined = verdict is crashes.Verdict.QUARANTINED
        if quarantined and not await self._quarantine_check.claim_trial(
            finding
        ):
            is_part = finding.subject.is_part
            self._responder.end_with_error(
                _Reason.ENDS_RUNNERS,
                _QUARANTINED_PART_RETRY_S if is_part else _QUARANTINED_RETRY_S,
            )
            return True
        return False

    async def _find_elsewhere(
        self, found: outcomes.Overloaded | outcomes.Refusal | None
    ) -> bool:
        """Returns whether another instance served what has no runner here."""
        hosts = self._list_helpers(found)
        return hosts is not None and await self._forward(hosts)

    def _list_helpers(self, found: outcomes.Outcome) -> Sequence[str] | None:
        """Returns the hosts that may serve what was found to have no runner.

        Returns:
            The hosts; empty: any that reaches the runners; None: no other
            instance may.
        """
        if self._deps.forwarder is None or self._forwarded is not None:
            return None
        if isinstance(found, outcomes.Full):
            service = self._admitted.demand.service
            owners = self._deps.brittle.list_owners(service)
            # They may be of a build that doesn't keep to a version.
            free = self._pin.version is None
            return owners if owners and free else None
        return () if self._is_unreached(found) else None

    def _is_unreached(self, found: outcomes.Outcome) -> bool:
        """Returns whether runners exist but couldn't be connected to."""
        if isinstance(found, outcomes.Unreachable):
            return True
        tried = self._history.runners_tried
        return found is None and tried > 0 and not self._history.sent

    async def _forward(self, hosts: Sequence[str] = ()) -> bool:
        """Lets another instance serve the request; returns whether one did.

        Args:
            hosts: The hosts that may; none: those that reach the runners.
        """
        ended = await self._ask_helper(hosts, None)
        if ended is None:
            return False
        self._finish_forwarded(ended)
        return True

    async def _ask_helper(
        self, hosts: Sequence[str], claim: Callable[[], bool] | None
    ) -> attempt.AttemptResult | None:
        """Returns another instance's answer; None if nobody helps.

        Args:
            hosts: The hosts that may; none: those that reach the runners.
            claim: Asks whether its answer is the caller's, while a runner's
                may be, too; None: it is.
        """
        forwarder = self._deps.forwarder
        if forwarder is None or self._forwarded is not None:
            return None

        def claim_answer() -> bool:
            if claim is not None and not claim():
                return False
            self._asked = None
            return True

        return await forwarder.forward(
            self._admitted,
            self._history.sent,
            self._relay,
            self._caller.buffers,
            hosts,
            self._pin.version,
            claim_answer,
        )

    def _finish_forwarded(self, ended: attempt.AttemptResult) -> None:
        """Ends a request that another instance has served or refused."""
        self._is_counted = True
        match ended.end:
            case _End.WHOLE:
                self._responder.write_answer(ended)
            case _End.REFUSED:
                self._responder.pass_refusal(forwarding.read_refusal(ended))
            case _:
                self._history.may_have_run = True
                late = self._remaining_s() <= 0
                self._responder.end_with_error(
                    _Reason.TIME_LIMIT if late else _Reason.MAY_HAVE_RUN
                )

    # Attempts.

    def _attach(self, sent: sending.SentAttempt) -> None:
        """Takes the answer from an attempt."""
        self._sent = sent
        self._runner = sent.grant.runner.id
        self._asked = sent.grant.runner
        self._pin.attach(
            sent.grant.runner, sent.opened, sent.receiver.done.done
        )
        self._observer.on_sent(sent.grant)
        self._caller.buffers.attach(
            sent.opened,
            functools.partial(self._on_reading_paused, sent.receiver),
        )

    def _on_first_output(self, grant: outcomes.Grant, sent_at: float) -> None:
        """Records that a runner has started to answer."""
        self._observer.on_first_output(grant, sent_at)
        self._quarantine_check.record_first_output()
        account = self._admitted.account
        if account is not None and not self._has_started:
            self._deps.record_started(account.id)
        self._has_started = True

    def _count_request(self) -> None:
        """Counts the request for the retry budget, once at all instances."""
        if not self._is_counted:
            self._is_counted = True
            self._deps.retry_budget.record_request(
                self._admitted.demand.service, self._deps.loop.time()
            )

    def _remaining_s(self) -> float:
        return self._admitted.deadline - self._deps.loop.time()

    def _finish(self, ended: attempt.AttemptResult) -> None:
        if ended.end is _End.WHOLE:
            self._deliver(ended)
        elif self._remaining_s() <= 0:
            self._responder.end_with_error(_Reason.TIME_LIMIT)
        elif not ended.end.reached_runner:
            self._responder.end_with_error(_Reason.UNREACHABLE)
        elif ended.end.proves_not_run:
            self._responder.end_unless_paused(_Reason.RUNNERS_FULL)
        else:
            self._responder.end_with_error(_Reason.MAY_HAVE_RUN)

    def _deliver(self, ended: attempt.AttemptResult) -> None:
        """Delivers a runner's answer."""
        assert ended.head is not None
        if not self._responder.write_answer(ended):
            return
        self._log.log_answer(
            self._runner,
            ended.head.status,
            self._observer.measure(),
            self._history,
            ended,
        )

    # Streaming to the caller.

    def _start_stream(self, head: messages.ResponseHead) -> None:
        self._observer.on_stream()
        if self._asked is not None:
            self._pin.record_begun(self._asked)
            self._selection.version = self._pin.version
        self._caller.watch_backpressure(self._on_backpressure)
        closing = self._caller.closing
        self._caller.write(
            self._deps.codec.encode_response(head, None, closing)
        )

    def _write_events(self, whole: bytes) -> None:
        assert self._relay is not None
        self._observer.on_events(self._relay.progress.forwarded)
        self._caller.write(b"%x\r\n%b\r\n" % (len(whole), whole))

    def _on_backpressure(self, paused: bool) -> None:
        self._observer.on_backpressure()
        self._caller.buffers.record_full(paused)

    def _on_reading_paused(
        self, receiver: attempt.Attempt, paused: bool
    ) -> None:
        self._observer.on_backpressure()
        receiver.record_paused(paused)
