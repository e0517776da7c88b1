"""The attempts of one request: sent, resumed, continued, ended."""

import threading

import result

from pollenfork import failures
from pollenfork.answers import cancels
from pollenfork.answers import core
from pollenfork.answers import edges
from pollenfork.answers import engine
from pollenfork.answers import errors
from pollenfork.answers import events
from pollenfork.answers import hedge
from pollenfork.answers import kept
from pollenfork.answers import messages
from pollenfork.answers import slot
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import edges as endpoint_edges

_Cause = errors.Cause
_End = dispatch_messages.AttemptEnd
_OK = 200

_Tried = result.Result[engine.Head, errors.Cause]


class Attempts:
    """Carries out what the core decides over one request.

    Attributes:
        reader: Checks the events, across the attempts.
        kept: What was relayed.
        exchange: The connection in use.
        slot: The slot in use.
        first: The first bytes of a second copy.
    """

    def __init__(
        self,
        call: messages.Call,
        grant: dispatch_messages.Grant,
        caller: edges.Caller,
        tools: slot.Tools,
    ) -> None:
        self.caller = caller
        self.tools = tools
        self.reader = events.EventReader(tools.limits.event)
        keep = call.streamed and call.continuable and call.idempotent
        self.kept = kept.KeptAnswer(tools.limits.kept if keep else 0)
        self.slot = slot.Slot(grant, tools, call.engine)
        self.exchange = engine.Exchange(grant.address, tools.limits)
        self._call = call
        self._recovery = core.Recovery(
            streamed=call.streamed and call.engine,
            idempotent=call.idempotent,
            give_up_at=call.give_up_at,
            limits=tools.limits,
        )
        self._began_at = 0
        self._saved = 0  # Counted once the answer is whole.
        self._gone = threading.Event()
        self._second: Attempts | None = None
        self.first: engine.First | None = None
        caller.on_disconnect(self.interrupt)

    def open(self) -> result.Result[engine.First, errors.AnswerFailure]:
        """Returns the head and first bytes, from whichever endpoint."""
        after_s = self.slot.grant.hedge_after_s
        begun = self._try_first() if after_s is None else self._race(after_s)
        while begun.is_err():
            recovered = self._recover(begun.unwrap_err(), relayed=False)
            if recovered.is_err():
                return result.Err(recovered.unwrap_err())
            begun = self._read_first(recovered.unwrap())
        return result.Ok(begun.unwrap())

    def recover(
        self, cause: errors.Cause
    ) -> result.Result[None, errors.AnswerFailure]:
        """Finds another source for the rest of a broken answer."""
        return self._recover(cause, relayed=True).map(lambda _: None)

    def finish(self, tokens: int | None = None) -> None:
        """Ends the request after its last byte."""
        self.exchange.close()
        generated = self._count_generated() if tokens is None else tokens
        self.slot.end(_End.FINISHED, generated)
        self.tools.counters.add_saved(self._saved)
        self._close(finished=True)

    def abandon(self) -> None:
        """Ends the request of a caller that went away."""
        self.exchange.close()
        self.slot.cancel_soon(
            cancels.CancelReason.CALLER_GONE,
            _End.CANCELLED,
            self._count_generated(),
        )
        self._close(finished=False)

    def note_progress(self) -> None:
        """Reports how far the attempt in use has come; from any thread."""
        self.slot.note_progress(self._count_generated())

    def interrupt(self) -> None:
        """Ends what another thread waits for, now or later: it's unwanted."""
        self._gone.set()
        self.slot.note_gone()
        self.exchange.interrupt()
        if self._second:
            self._second.interrupt()

    def ask(self, reason: dispatch_messages.RetryReason) -> bool:
        """Waits for another slot; False when there is none."""
        if not self.slot.ask_again(reason):
            return False
        grant = self.slot.grant
        self.exchange = engine.Exchange(grant.address, self.tools.limits)
        return True

    def run(self) -> bool:
        """Sends a second copy; returns whether its first bytes came."""
        begun = self._try_first()
        self.first = begun.ok()
        return self.first is not None

    def lose(self) -> None:
        """Cancels a copy that isn't wanted."""
        self.exchange.close()
        self.slot.cancel_soon(
            cancels.CancelReason.HEDGE_LOST,
            _End.CANCELLED,
            self._count_generated(),
        )

    def _race(
        self, after_s: float
    ) -> result.Result[engine.First, errors.Cause]:
        """Sends, and a second copy after a while; the first answer wins."""
        second = Attempts(
            self._call, self.slot.grant, edges.PresentCaller(), self.tools
        )
        second.slot = self.slot.fork()
        self._second = second
        counted = self.tools.counters
        race = hedge.Hedge(second, self.exchange.interrupt, counted)
        race.start(after_s)
        begun = self._try_first()
        if not race.settle(begun.is_ok()) or second.first is None:
            return begun
        if begun.is_err() and begun.unwrap_err() in core.PROVED_NOT_RUN:
            self.slot.end(slot.describe_end(begun.unwrap_err()), 0)
        self.lose()
        self.slot = second.slot
        self.exchange = second.exchange
        self.reader = second.reader
        self.kept = second.kept
        return result.Ok(second.first)

    def _is_gone(self) -> bool:
        return self._gone.is_set() or self.caller.is_disconnected()

    def _try_first(self) -> result.Result[engine.First, errors.Cause]:
        return self._send(self._call.body).and_then(self._read_first)

    def _send(self, body: bytes) -> _Tried:
        if self._is_gone():
            return result.Err(_Cause.CALLER_GONE)
        return self.exchange.send(
            self._call, self.slot.grant, body, self._limit_head()
        )

    def _limit_head(self) -> float:
        """Returns the seconds that the answer's head may take."""
        call, limits = self._call, self.tools.limits
        if not (call.streamed and call.engine and call.idempotent):
            return call.timeout_s or limits.head_s
        left_s = call.first_token_due - self.tools.clock.monotonic()
        return min(limits.head_s, max(left_s, 0.0) + limits.late_s)

    def _read_first(
        self, head: engine.Head
    ) -> result.Result[engine.First, errors.Cause]:
        if not (self._call.streamed and head.is_event_stream):
            body = self.exchange.read_whole()
            return body.map(lambda whole: engine.First(head, whole, True))
        self.exchange.begin_stream()
        while True:
            data = self.exchange.take_buffered()
            try:
                data = data or self.exchange.read()
            except TimeoutError:
                return result.Err(_Cause.STALLED)
            passed = self.reader.feed(data) if data else self.reader.end()
            if passed:
                self.slot.note_first()
                self.kept.add(passed)
                return result.Ok(engine.First(head, passed, False))
            if self.reader.fault or not data:
                return result.Err(self.reader.fault or _Cause.CLOSED)

    def _recover(
        self, cause: errors.Cause, *, relayed: bool
    ) -> result.Result[engine.Head, errors.AnswerFailure]:
        while True:
            self.exchange.close()
            if self._is_gone():
                cause = _Cause.CALLER_GONE
            progress = core.Progress(
                relayed=relayed,
                position=self.reader.position,
                numbered=self.reader.numbered,
                kept=not self.kept.lost,
            )
            now = self.tools.clock.monotonic()
            action = self._recovery.decide(cause, progress, now)
            tried = self._act(action, cause)
            if isinstance(tried, errors.AnswerFailure):
                return result.Err(tried)
            if tried.is_ok():
                return result.Ok(tried.unwrap())
            cause = tried.unwrap_err()

    def _act(
        self, action: core.Action, cause: errors.Cause
    ) -> _Tried | errors.AnswerFailure:
        match action:
            case core.Resume():
                return self._resume(action.position, cause)
            case core.Restart():
                return self._restart(action.reason, cause)
            case core.Continue():
                return self._continue(cause)
            case core.GiveUp():
                return self._give_up(action.cause)

    def _resume(self, position: int, cause: errors.Cause) -> _Tried:
        counted = self.tools.counters
        counted.count(counted.resumes, cause.value)
        self.reader.restart(resumed=True)
        grant = self.slot.grant
        self.exchange = engine.Exchange(grant.address, self.tools.limits)
        if self._is_gone():
            return result.Err(_Cause.CALLER_GONE)
        resumed = self.exchange.resume(grant.attempt, position)
        # Before the first byte the stream begins once its head is passed on.
        if resumed.is_ok() and self.reader.events:
            self.exchange.begin_stream()
        return resumed

    def _restart(
        self, reason: dispatch_messages.RetryReason, cause: errors.Cause
    ) -> _Tried | errors.AnswerFailure:
        self._end_failed(cause, cancels.CancelReason.BROKEN_BEFORE_FIRST)
        if not self.ask(reason):
            return self._fail(cause)
        counted = self.tools.counters
        counted.count(counted.retries, reason.value)
        self.reader = events.EventReader(self.tools.limits.event)
        return self._send(self._call.body)

    def _continue(self, cause: errors.Cause) -> _Tried | errors.AnswerFailure:
        position = self.reader.position
        text = self.kept.read_text()
        body = kept.write_continuation(self._call.body, text, position)
        if body is None:
            return self._give_up(cause)
        self._end_failed(cause, cancels.CancelReason.CONTINUED_ELSEWHERE)
        if not self.ask(dispatch_messages.RetryReason.CONTINUE_ELSEWHERE):
            return self._fail(cause)
        counted = self.tools.counters
        counted.count(counted.continuations, cause.value)
        self._began_at = position
        self.reader.restart(resumed=False)
        sent = self._send(body)
        if sent.is_err():
            return sent
        head = sent.unwrap()
        if head.status != _OK or not head.is_event_stream:
            return result.Err(_Cause.NOT_CONTINUED)
        self.exchange.begin_stream()
        self._saved += position
        return sent

    def _give_up(self, cause: errors.Cause) -> errors.AnswerFailure:
        if cause is _Cause.CALLER_GONE:
            self._end_failed(cause, cancels.CancelReason.CALLER_GONE)
        elif self.reader.events:
            self._end_failed(cause, cancels.CancelReason.GIVEN_UP)
        else:
            if self._recovery.in_doubt:
                self._prove_not_run(cause)
            self._end_failed(cause, None)
        return self._fail(cause)

    def _prove_not_run(self, cause: errors.Cause) -> None:
        """Cancels the last attempt, which may prove that it never ran."""
        if cause in core.PROVED_NOT_RUN:
            return
        said = self.slot.cancel(cancels.CancelReason.GIVEN_UP)
        if said is endpoint_edges.CancelOutcome.NOT_RUN:
            self._recovery.prove_not_run()

    def _fail(self, cause: errors.Cause) -> errors.AnswerFailure:
        outcome = self._recovery.outcome
        if self.reader.events:
            outcome = failures.Outcome.UNKNOWN
        self._close(finished=False)
        if cause is _Cause.CALLER_GONE:
            return errors.CallerGone(outcome=outcome, cause=cause)
        counted = self.tools.counters
        if self.reader.events:
            counted.count(counted.broken, cause.value)
            return errors.AnswerBroken(
                outcome=outcome,
                cause=cause,
                position=self.reader.tokens,
                detail=f"The answer broke ({cause.value}); it is not whole.",
            )
        counted.count(counted.failed, cause.value)
        detail = f"No endpoint gave an answer ({cause.value})."
        if self._call.idempotent:
            return errors.NoOtherEndpoint(
                outcome=outcome, cause=cause, detail=detail
            )
        return errors.EndpointLost(outcome=outcome, cause=cause, detail=detail)

    def _end_failed(
        self, cause: errors.Cause, cancel: cancels.CancelReason | None
    ) -> None:
        """Ends the attempt in use, which failed or broke."""
        how = slot.describe_end(cause, midway=self.slot.first_seen)
        generated = self._count_generated()
        if cancel is None or cause in core.PROVED_NOT_RUN:
            self.slot.end(how, generated)
        else:
            self.slot.cancel_soon(cancel, how, generated)

    def _count_generated(self) -> int:
        """Returns the tokens that the attempt in use generated."""
        return max(0, self.reader.tokens - self._began_at)

    def _close(self, *, finished: bool) -> None:
        self.tools.counters.add_answer(
            finished=finished,
            tokens=self.reader.tokens,
            repeats=self.reader.duplicates,
        )
        self.slot.close()
