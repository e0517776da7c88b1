"""One caller's request, from its route to its final answer."""

import asyncio
import functools

import result

from pollenfork import ids
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import callers
from pollenfork.gateway import connection
from pollenfork.gateway import context
from pollenfork.gateway import counters
from pollenfork.gateway import events
from pollenfork.gateway import messages
from pollenfork.gateway import pool
from pollenfork.gateway import quarantine_check
from pollenfork.gateway import replies
from pollenfork.gateway import request_log
from pollenfork.gateway import retries
from pollenfork.gateway import selection
from pollenfork.gateway import timeouts
from pollenfork.poison import cases
from pollenfork.ratelimits import figures
from pollenfork.routes import model as routes

_End = fleet_messages.End
_Reason = replies.Reason
_Sequel = retries.RetryDecision

# When to come back after a refusal, in seconds: a little longer than a burst
# of the more urgent or the loss of a runner usually takes to be known.
_COME_BACK_S = 0.15
# The same for a request that is kept back, in seconds: it stays so until an
# operator or a runner's answer clears it.
_KEPT_BACK_S = 60.0
# The same for one that may have ended as many runners, in seconds: until then
# the registry tells of a runner's new start.
_DOUBTED_S = 1.0
# Callers wait no longer than a third of their time, 2.7 s for the longest.
_LONGEST_COME_BACK_S = 2.5
# A backlog that takes limited runners longer than this, in seconds, is unlikely
# to come back whole.
_LONGEST_LIMITED_S = 10.0


class Exchange:
    """Serves one admitted request."""

    def __init__(
        self,
        tools: context.Dependencies,
        admitted: context.AdmittedRequest,
        caller: callers.CallerConnection,
    ) -> None:
        self._tools = tools
        self._admitted = admitted
        self._caller = caller
        self._relay: attempt.StreamRelay | None = None
        self._log = request_log.RequestLog(
            tools.loop, tools.counters, tools.read_loads_age, admitted
        )
        self._quarantine_check = quarantine_check.QuarantineCheck(
            tools, admitted.digest
        )
        self._selection = selection.RunnerSelector(tools, admitted)
        self._history = retries.AttemptHistory()
        self._runner: ids.EndpointId | None = None
        self._first_s: float | None = None
        self._gap_s = 0.0
        self._event_at = 0.0
        self._current: connection.Connection | None = None
        self._made_at: float | None = None
        self._has_run = False
        if admitted.route.kind is routes.Kind.STREAM:
            self._relay = attempt.StreamRelay(
                events.EventSplitter(), self._begin_stream, self._write_events
            )

    async def run(self) -> None:
        """Serves the request; returns when the caller has its answer."""
        try:
            await self._serve()
        except asyncio.CancelledError:
            begun = self._relay is not None and self._relay.begun
            self._log.log_caller_gone(self._runner, begun, self._history)
            raise
        except Exception:
            # The fault is this program's; the caller must not wait for it.
            self._log.log_internal_error()
            self._give_up(_Reason.FAULT)

    async def _serve(self) -> None:
        tools = self._tools
        tools.retry_budget.note_request(
            self._admitted.demand.service, tools.loop.time()
        )
        while True:
            if self._left() <= 0:
                self._give_up(_Reason.TIME_LIMIT)
                return
            verdict = await self._quarantine_check.evaluate(
                bool(self._history.runners_tried)
            )
            if (
                verdict is cases.Verdict.KEPT_BACK
                and not await self._quarantine_check.claim_trial()
            ):
                self._give_up(_Reason.ENDS_RUNNERS, _KEPT_BACK_S)
                return
            if verdict is cases.Verdict.DOUBTED:
                self._give_up(_Reason.ENDS_RUNNERS, _DOUBTED_S)
                return
            grant = await self._selection.find(
                verdict is not cases.Verdict.CLEAR,
                bool(self._history.runners_tried),
            )
            if not isinstance(grant, outcomes.Grant):
                self._refuse(grant)
                return
            self._runner = grant.runner.id
            if not self._history.runners_tried:
                self._selection.record_admission()
            self._log.log_choice(grant, self._history)
            sent_at = tools.loop.time()
            ended = await self._try(grant)
            flows = self._first_s is not None
            self._quarantine_check.record_attempt(
                grant.runner, ended, sent_at, self._made_at, flows
            )
            if self._note(grant, ended) is not _Sequel.RETRIED:
                self._finish(ended)
                return
            await self._quarantine_check.wait_for_probe(grant.runner, ended)

    def _refuse(
        self,
        found: outcomes.Overloaded
        | outcomes.OutOfReach
        | outcomes.Limited
        | None,
    ) -> None:
        """Tells the caller why no runner takes its request."""
        match found:
            case outcomes.Overloaded():
                wait_s = min(found.wait_s, _LONGEST_COME_BACK_S)
                self._give_up(_Reason.OVERLOADED, wait_s)
            case outcomes.Limited():
                admitted = self._admitted
                wait_s = self._tools.permits.find_return(
                    admitted.demand.service, admitted.tier, found
                )
                wait_s = min(wait_s, _LONGEST_LIMITED_S)
                self._give_up(_Reason.RUNNERS_LIMITED, wait_s)
            case outcomes.OutOfReach():
                self._give_up(_Reason.UNREACHABLE)
            case None:
                self._give_up(_Reason.NO_RUNNER)

    # Attempts.

    async def _try(self, grant: outcomes.Grant) -> attempt.AttemptResult:
        """Sends the request to one runner and waits for the end of it."""
        try:
            found = await self._connect(grant.runner)
            if isinstance(found, result.Err):
                refused = found.err_value.connection_refused
                return attempt.AttemptResult(
                    _End.UNSENT, connection_refused=refused
                )
            self._history.sent += 1
            self._tools.counters.note_sent()
            return await self._exchange(grant, found.ok_value)
        finally:
            self._tools.chooser.settle(grant)

    async def _connect(
        self, runner: fleet.Runner
    ) -> result.Result[connection.Connection, pool.Unreachable]:
        idempotent = self._admitted.route.idempotent
        freshness = pool.Freshness.ANY if idempotent else pool.Freshness.RECENT
        kept = self._tools.pool.acquire(runner, freshness)
        if kept is not None:
            return result.Ok(kept)
        return await self._tools.pool.open(runner, max(0.0, self._left()))

    async def _exchange(
        self, grant: outcomes.Grant, found: connection.Connection
    ) -> attempt.AttemptResult:
        admitted = self._admitted
        receiver = attempt.Attempt(
            self._tools.loop,
            self._tools.codec,
            admitted.head,
            self._relay,
            lambda: self._note_first(grant),
            functools.partial(self._on_head, grant, self._tools.loop.time()),
        )
        self._current = found
        self._made_at = found.connected_at
        self._tools.pool.mark_busy(grant.runner, found)
        self._tools.limit_events.on_sent(grant.runner, self._tools.loop.time())
        found.send(self._write_call(grant), receiver)
        limits = timeouts.AttemptTimeouts.for_attempt(
            admitted,
            grant.cost,
            retries.may_retry(admitted.route, self._history),
        )
        try:
            ended = await limits.wait(receiver, self._tools.loop)
        except asyncio.CancelledError:
            found.abort()
            raise
        finally:
            self._current = None
            self._tools.pool.mark_done(grant.runner, found)
        if receiver.phase is attempt.Phase.ENDED and found.usable:
            self._tools.pool.release(grant.runner, found)
        else:
            found.abort()
        return ended

    def _write_call(self, grant: outcomes.Grant) -> bytes:
        admitted = self._admitted
        relay = self._relay
        begun = relay is not None and relay.begun
        account = admitted.account
        sending = messages.ForwardContext(
            runner=grant.runner.id,
            remaining_s=self._left(),
            account=account.id if account else None,
            tier=admitted.tier if admitted.head.parts else None,
            last_event=relay.splitter.last if relay and begun else None,
            source=grant.source,
        )
        if relay is not None:
            relay.splitter.restart()
        return self._tools.codec.encode_request(admitted.call, sending)

    def _on_head(
        self, grant: outcomes.Grant, sent_at: float, head: messages.ResponseHead
    ) -> None:
        """Reads what the runner asks of all instances."""
        if head.displaced:
            return  # Another runner answers at its address.
        read = figures.interpret(head.rates)
        self._tools.limit_events.on_answer(grant.runner, read)
        # A refusal or an error without a figure doesn't end a limit.
        if read.rate is not None or (head.sealed and head.status < 400):
            self._tools.permits.on_answer(grant, read, sent_at)

    def _note_first(self, grant: outcomes.Grant) -> None:
        """Notes that a runner has begun to answer."""
        grant.note_first()
        account = self._admitted.account
        if account is not None and not self._has_run:
            self._tools.record_started(account.id)
        self._has_run = True

    def _left(self) -> float:
        return self._admitted.deadline - self._tools.loop.time()

    # What an end proves, and what follows.

    def _note(
        self, grant: outcomes.Grant, ended: attempt.AttemptResult
    ) -> retries.RetryDecision:
        """Takes the end of an attempt; returns what follows."""
        admitted = self._admitted
        self._selection.tried.add(grant.runner.id)
        self._history.note(ended)
        self._note_standing(grant, ended)
        sequel = retries.decide(
            ended, admitted.route, self._history, self._left(), self._take_retry
        )
        if sequel is not _Sequel.ANSWERED:
            self._log.log_failed_attempt(grant, ended, sequel, self._history)
        return sequel

    def _note_standing(
        self, grant: outcomes.Grant, ended: attempt.AttemptResult
    ) -> None:
        """Updates what is believed of the runner."""
        seen = grant.standing
        failures = seen.failures
        now = self._tools.loop.time()
        seen.note_end(ended.end, retries.is_error(ended), now)
        self._log.log_standing_change(grant, ended, failures)
        if ended.sign is not None:
            self._tools.evidence.note(grant.runner, ended.sign)
        if not seen.reachable:
            self._tools.prober.watch(grant.runner, seen)

    def _take_retry(self) -> bool:
        now = self._tools.loop.time()
        return self._tools.retry_budget.take(self._admitted.demand.service, now)

    def _finish(self, ended: attempt.AttemptResult) -> None:
        if ended.end is _End.WHOLE:
            self._deliver(ended)
        elif self._left() <= 0:
            self._give_up(_Reason.TIME_LIMIT)
        elif ended.end is _End.UNSENT:
            self._give_up(_Reason.UNREACHABLE)
        elif ended.end.proves_not_run:
            self._give_up(_Reason.RUNNERS_FULL)
        else:
            self._give_up(_Reason.MAY_HAVE_RUN)

    def _deliver(self, ended: attempt.AttemptResult) -> None:
        """Hands the rest of a whole answer to the caller."""
        assert ended.head is not None
        if self._relay is None or not self._relay.begun:
            written = self._tools.codec.encode_response(
                ended.head, len(ended.body), self._caller.closing
            )
            self._caller.write(written + ended.body)
        elif retries.is_error(ended):
            self._give_up(_Reason.MAY_HAVE_RUN)
            return
        else:
            self._caller.write(b"0\r\n\r\n")
        took_s = self._log.took_s
        first_s = took_s if self._first_s is None else self._first_s
        served = counters.Served(took_s, first_s, self._gap_s)
        self._log.log_answer(
            self._runner, ended.head.status, served, self._history
        )

    def _give_up(self, reason: _Reason, wait_s: float = _COME_BACK_S) -> None:
        """Gives the caller its final answer at once.

        Args:
            reason: Why.
            wait_s: Seconds until another try is likely to be served.
        """
        may_have_run = self._history.may_have_run
        # A fault of this program proves nothing about what it has sent.
        if reason is _Reason.FAULT and self._history.sent:
            may_have_run = True
        self._log.log_refusal(reason, may_have_run, self._history)
        if self._relay is not None and self._relay.begun:
            self._caller.abort()
            return
        if may_have_run:
            status = 504 if reason is _Reason.TIME_LIMIT else 502
            refusal = replies.Refusal(status, reason)
        else:
            wait_s = max(wait_s, _COME_BACK_S)
            refusal = replies.Refusal(503, reason, wait_s)
        self._caller.write(replies.write_refusal(refusal, self._caller.closing))

    # The caller's side of a stream.

    def _begin_stream(self, head: messages.ResponseHead) -> None:
        self._first_s = self._log.took_s
        self._caller.watch_backpressure(self._press)
        closing = self._caller.closing
        self._caller.write(
            self._tools.codec.encode_response(head, None, closing)
        )

    def _write_events(self, whole: bytes) -> None:
        now = self._tools.loop.time()
        if self._event_at:
            self._gap_s = max(self._gap_s, now - self._event_at)
        self._event_at = now
        self._caller.write(b"%x\r\n%b\r\n" % (len(whole), whole))

    def _press(self, paused: bool) -> None:
        current = self._current
        if current is None:
            return
        if paused:
            current.pause()
        else:
            current.resume()
