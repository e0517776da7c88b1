"""The attempts of one request: sends, resumes, continues and ends them."""

import threading

import result

from pollenfork import failures
from pollenfork.answers import answer_buffer
from pollenfork.answers import cancels
from pollenfork.answers import core
from pollenfork.answers import edges
from pollenfork.answers import engine
from pollenfork.answers import errors
from pollenfork.answers import events
from pollenfork.answers import hedge
from pollenfork.answers import messages
from pollenfork.answers import slot
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import edges as endpoint_edges

_Cause = errors.Cause
_End = dispatch_messages.AttemptEnd
_OK = 200

_HeadResult = result.Result[engine.ResponseHead, errors.Cause]


class AttemptSequence:
    """Executes the recovery decisions for one request.

    Attributes:
        reader: Checks the events' order across the attempts.
        buffer: The bytes relayed so far.
        exchange: The connection of the current attempt.
        slot: The slot of the current attempt.
        response_start: The first bytes of the response, for a hedged copy.
    """

    def __init__(
        self,
        call: messages.Call,
        grant: dispatch_messages.Grant,
        caller: edges.Caller,
        deps: slot.Dependencies,
    ) -> None:
        self.caller = caller
        self.deps = deps
        self.reader = events.EventReader(deps.limits.max_event)
        keep = call.streamed and call.continuable and call.idempotent
        self.buffer = answer_buffer.AnswerBuffer(
            deps.limits.max_buffer if keep else 0
        )
        self.slot = slot.Slot(grant, deps, call.engine)
        self.exchange = engine.Exchange(grant.address, deps.limits)
        self._call = call
        self._recovery = core.Recovery(
            streamed=call.streamed and call.engine,
            idempotent=call.idempotent,
            give_up_at=call.give_up_at,
            limits=deps.limits,
        )
        self._start_position = 0
        self._saved_tokens = 0  # Counted only if the answer completes.
        # Of the engine that began the answer.
        self._software_version = ""
        self._disconnected = threading.Event()
        self._hedge_copy: AttemptSequence | None = None
        self.response_start: engine.ResponseStart | None = None
        caller.on_disconnect(self.interrupt)

    def open(self) -> result.Result[engine.ResponseStart, errors.AnswerFailure]:
        """Returns the head and first bytes, from any endpoint."""
        after_s = self.slot.grant.hedge_after_s
        opened = (
            self._try_first() if after_s is None else self._send_hedged(after_s)
        )
        while opened.is_err():
            recovered = self._recover(opened.unwrap_err(), relayed=False)
            if recovered.is_err():
                return result.Err(recovered.unwrap_err())
            opened = self._read_first(recovered.unwrap())
        return result.Ok(opened.unwrap())

    def recover(
        self, cause: errors.Cause
    ) -> result.Result[None, errors.AnswerFailure]:
        """Reconnects for the rest of a broken answer, here or elsewhere."""
        return self._recover(cause, relayed=True).map(lambda _: None)

    def finish(self, tokens: int | None = None) -> None:
        """Ends the request after its last byte."""
        self.exchange.close()
        generated = self._count_generated() if tokens is None else tokens
        self.slot.end(_End.FINISHED, generated)
        self.deps.counters.add_saved(self._saved_tokens)
        self._close(finished=True)

    def abandon(self) -> None:
        """Ends the request after its caller disconnected."""
        self.exchange.close()
        self.slot.cancel_in_background(
            cancels.CancelReason.CALLER_GONE,
            _End.CANCELLED,
            self._count_generated(),
        )
        self._close(finished=False)

    def report_progress(self) -> None:
        """Reports the tokens generated so far; callable from any thread."""
        self.slot.report_progress(self._count_generated())

    def interrupt(self) -> None:
        """Ends current and later waits of other threads on this request."""
        self._disconnected.set()
        self.slot.interrupt_wait()
        self.exchange.interrupt()
        if self._hedge_copy:
            self._hedge_copy.interrupt()

    def request_slot(self, reason: dispatch_messages.RetryReason) -> bool:
        """Waits for another slot; returns False if none is granted."""
        if not self.slot.ask_again(reason):
            return False
        grant = self.slot.grant
        self.exchange = engine.Exchange(grant.address, self.deps.limits)
        return True

    def send_copy(self) -> bool:
        """Sends a hedged copy; returns whether its first bytes arrived."""
        opened = self._try_first()
        self.response_start = opened.ok()
        return self.response_start is not None

    def cancel_copy(self) -> None:
        """Cancels the copy that lost the hedging."""
        self.exchange.close()
        self.slot.cancel_in_background(
            cancels.CancelReason.HEDGE_LOST,
            _End.CANCELLED,
            self._count_generated(),
        )

    def _send_hedged(
        self, after_s: float
    ) -> result.Result[engine.ResponseStart, errors.Cause]:
        """Sends the request and, after `after_s`, a copy; the faster wins."""
        copy = AttemptSequence(
            self._call, self.slot.grant, edges.PresentCaller(), self.deps
        )
        copy.slot = self.slot.fork()
        self._hedge_copy = copy
        counters = self.deps.counters
        hedging = hedge.Hedge(copy, self.exchange.interrupt, counters)
        hedging.start(after_s)
        opened = self._try_first()
        if not hedging.resolve(opened.is_ok()) or copy.response_start is None:
            return opened
        if opened.is_err() and opened.unwrap_err() in core.PROVED_NOT_RUN:
            self.slot.end(slot.get_attempt_end(opened.unwrap_err()), 0)
        self.cancel_copy()
        self.slot = copy.slot
        self.exchange = copy.exchange
        self.reader = copy.reader
        self.buffer = copy.buffer
        self._software_version = copy.response_start.head.software_version
        return result.Ok(copy.response_start)

    def _is_disconnected(self) -> bool:
        return self._disconnected.is_set() or self.caller.is_disconnected()

    def _try_first(self) -> result.Result[engine.ResponseStart, errors.Cause]:
        return self._send(self._call.body).and_then(self._read_first)

    def _send(self, body: bytes) -> _HeadResult:
        if self._is_disconnected():
            return result.Err(_Cause.CALLER_GONE)
        return self.exchange.send(
            self._call, self.slot.grant, body, self._get_head_timeout()
        )

    def _get_head_timeout(self) -> float:
        """Returns how many seconds to wait for the answer's head."""
        call, limits = self._call, self.deps.limits
        if not (call.streamed and call.engine and call.idempotent):
            return call.timeout_s or limits.head_s
        left_s = call.first_token_due - self.deps.clock.monotonic()
        return min(limits.head_s, max(left_s, 0.0) + limits.head_grace_s)

    def _read_first(
        self, head: engine.ResponseHead
    ) -> result.Result[engine.ResponseStart, errors.Cause]:
        if not (self._call.streamed and head.is_event_stream):
            body = self.exchange.read_whole()
            return body.map(
                lambda whole: engine.ResponseStart(head, whole, True)
            )
        self.exchange.begin_stream()
        while True:
            data = self.exchange.take_buffered()
            try:
                data = data or self.exchange.read()
            except TimeoutError:
                return result.Err(_Cause.STALLED)
            accepted = self.reader.feed(data) if data else self.reader.end()
            if accepted:
                self._software_version = head.software_version
                self.slot.report_first_token()
                self.buffer.add(accepted)
                return result.Ok(engine.ResponseStart(head, accepted, False))
            if self.reader.fault or not data:
                return result.Err(self.reader.fault or _Cause.CLOSED)

    def _recover(
        self, cause: errors.Cause, *, relayed: bool
    ) -> result.Result[engine.ResponseHead, errors.AnswerFailure]:
        while True:
            self.exchange.close()
            if self._is_disconnected():
                cause = _Cause.CALLER_GONE
            progress = core.Progress(
                relayed=relayed,
                position=self.reader.position,
                numbered=self.reader.numbered,
                text_available=not self.buffer.lost,
            )
            now = self.deps.clock.monotonic()
            action = self._recovery.decide(cause, progress, now)
            attempted = self._execute(action, cause)
            if isinstance(attempted, errors.AnswerFailure):
                return result.Err(attempted)
            if attempted.is_ok():
                return result.Ok(attempted.unwrap())
            cause = attempted.unwrap_err()

    def _execute(
        self, action: core.Action, cause: errors.Cause
    ) -> _HeadResult | errors.AnswerFailure:
        match action:
            case core.Resume():
                return self._resume(action.position, cause)
            case core.Restart():
                return self._restart(action.reason, cause)
            case core.Continue():
                return self._continue(cause)
            case core.GiveUp():
                return self._give_up(action.cause)

    def _resume(self, position: int, cause: errors.Cause) -> _HeadResult:
        counters = self.deps.counters
        counters.count(counters.resumes, cause.value)
        self.reader.reconnect(resumed=True)
        grant = self.slot.grant
        self.exchange = engine.Exchange(grant.address, self.deps.limits)
        if self._is_disconnected():
            return result.Err(_Cause.CALLER_GONE)
        resumed = self.exchange.resume(grant.attempt, position)
        if resumed.is_ok() and self._is_other_version(resumed.unwrap()):
            return result.Err(_Cause.OTHER_VERSION)
        # Without events so far, `_read_first` starts the stream later.
        if resumed.is_ok() and self.reader.events:
            self.exchange.begin_stream()
        return resumed

    def _is_other_version(self, head: engine.ResponseHead) -> bool:
        """Returns whether an engine restarted with another version."""
        begun = self.reader.events > 0
        return begun and head.software_version != self._software_version

    def _restart(
        self, reason: dispatch_messages.RetryReason, cause: errors.Cause
    ) -> _HeadResult | errors.AnswerFailure:
        self._end_failed(cause, cancels.CancelReason.BROKEN_BEFORE_FIRST)
        if not self.request_slot(reason):
            return self._fail(cause)
        counters = self.deps.counters
        counters.count(counters.retries, reason.value)
        self.reader = events.EventReader(self.deps.limits.max_event)
        return self._send(self._call.body)

    def _continue(
        self, cause: errors.Cause
    ) -> _HeadResult | errors.AnswerFailure:
        position = self.reader.position
        text = self.buffer.read_text()
        body = answer_buffer.build_continuation(self._call.body, text, position)
        if body is None:
            return self._give_up(cause)
        self._end_failed(cause, cancels.CancelReason.CONTINUED_ELSEWHERE)
        if not self.request_slot(
            dispatch_messages.RetryReason.CONTINUE_ELSEWHERE
        ):
            return self._fail(cause)
        counters = self.deps.counters
        counters.count(counters.continuations, cause.value)
        self._start_position = position
        self.reader.reconnect(resumed=False)
        sent = self._send(body)
        if sent.is_err():
            return sent
        head = sent.unwrap()
        if head.status != _OK or not head.is_event_stream:
            return result.Err(_Cause.NOT_CONTINUED)
        if head.software_version != self._software_version:
            # What two versions generate doesn't fit together.
            return result.Err(_Cause.OTHER_VERSION)
        self.exchange.begin_stream()
        self._saved_tokens += position
        return sent

    def _give_up(self, cause: errors.Cause) -> errors.AnswerFailure:
        if cause is _Cause.CALLER_GONE:
            self._end_failed(cause, cancels.CancelReason.CALLER_GONE)
        elif self.reader.events:
            self._end_failed(cause, cancels.CancelReason.GIVEN_UP)
        else:
            if self._recovery.in_doubt:
                self._check_not_run(cause)
            self._end_failed(cause, None)
        return self._fail(cause)

    def _check_not_run(self, cause: errors.Cause) -> None:
        """Cancels the last attempt; the reply may prove that it didn't run."""
        if cause in core.PROVED_NOT_RUN:
            return
        outcome = self.slot.cancel(cancels.CancelReason.GIVEN_UP)
        if outcome is endpoint_edges.CancelOutcome.NOT_RUN:
            self._recovery.record_not_run()

    def _fail(self, cause: errors.Cause) -> errors.AnswerFailure:
        outcome = self._recovery.outcome
        if self.reader.events:
            outcome = failures.Outcome.UNKNOWN
        self._close(finished=False)
        if cause is _Cause.CALLER_GONE:
            return errors.CallerGone(outcome=outcome, cause=cause)
        counters = self.deps.counters
        if self.reader.events:
            counters.count(counters.broken, cause.value)
            return errors.AnswerBroken(
                outcome=outcome,
                cause=cause,
                position=self.reader.tokens,
                detail=f"The answer broke ({cause.value}); it is not whole.",
            )
        counters.count(counters.failed, cause.value)
        detail = f"No endpoint gave an answer ({cause.value})."
        if self._call.idempotent:
            return errors.NoOtherEndpoint(
                outcome=outcome, cause=cause, detail=detail
            )
        return errors.EndpointLost(outcome=outcome, cause=cause, detail=detail)

    def _end_failed(
        self, cause: errors.Cause, cancel: cancels.CancelReason | None
    ) -> None:
        """Ends the current attempt, which failed or broke."""
        how = slot.get_attempt_end(cause, midway=self.slot.first_seen)
        generated = self._count_generated()
        if cancel is None or cause in core.PROVED_NOT_RUN:
            self.slot.end(how, generated)
        else:
            self.slot.cancel_in_background(cancel, how, generated)

    def _count_generated(self) -> int:
        """Returns the number of tokens that the current attempt generated."""
        return max(0, self.reader.tokens - self._start_position)

    def _close(self, *, finished: bool) -> None:
        self.deps.counters.add_answer(
            finished=finished,
            tokens=self.reader.tokens,
            duplicates=self.reader.duplicates,
        )
        self.slot.close()
