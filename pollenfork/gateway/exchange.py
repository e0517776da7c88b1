"""One caller's request, from its route to its final answer."""

import asyncio
import logging

import result

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.gateway import attempt
from pollenfork.gateway import callers
from pollenfork.gateway import connection
from pollenfork.gateway import context
from pollenfork.gateway import events
from pollenfork.gateway import holding
from pollenfork.gateway import messages
from pollenfork.gateway import patience
from pollenfork.gateway import pool
from pollenfork.gateway import replies
from pollenfork.routes import model as routes

_LOG = logging.getLogger(__name__)

_End = fleet_messages.End
_Reason = replies.Reason

# Runners that could not be reached don't count as attempts, but the search
# for one that can must end.
_LARGEST_SEARCH = 4
# When to come back after a refusal, in seconds: a little longer than a burst
# of the more urgent or the loss of a runner usually takes to be known.
_COME_BACK_S = 0.15
_SERVER_ERROR = 500


class Exchange:
    """Serves one admitted request."""

    def __init__(
        self,
        tools: context.Tools,
        admitted: context.Admitted,
        caller: callers.CallerConnection,
    ) -> None:
        self._tools = tools
        self._admitted = admitted
        self._caller = caller
        self._relay: attempt.Relay | None = None
        self._avoid: set[ids.EndpointId] = set()
        self._sent = 0
        self._searched = 0
        self._may_have_run = False
        self._first_s: float | None = None
        self._gap_s = 0.0
        self._event_at = 0.0
        self._current: connection.Connection | None = None
        if admitted.route.kind is routes.Kind.STREAM:
            self._relay = attempt.Relay(
                events.EventCutter(), self._begin_stream, self._write_events
            )

    async def run(self) -> None:
        """Serves the request; returns when the caller has its answer."""
        tools = self._tools
        tools.repeats.note_request(
            self._admitted.demand.service, tools.loop.time()
        )
        while True:
            if self._left() <= 0:
                self._give_up(_Reason.TIME_LIMIT)
                return
            grant = await self._choose()
            if grant is None:
                self._give_up(_Reason.NO_RUNNER)
                return
            self._log_choice(grant)
            ended = await self._try(grant)
            self._note(grant, ended)
            if not self._goes_on(ended):
                self._finish(ended)
                return

    # Attempts.

    async def _choose(self) -> choice.Grant | None:
        """Returns a runner, once what is more urgent leaves room for it."""
        admitted = self._admitted
        while True:
            now = self._tools.loop.time()
            found = self._tools.chooser.choose(
                admitted.demand,
                self._avoid,
                now,
                admitted.holding.find_backlog(now),
            )
            if not isinstance(found, choice.Busy):
                return found
            # Unlike pauses, so that those who wait for one runner don't all
            # see it free at once.
            pause_s = holding.LOOK_S * self._tools.rng.uniform(0.5, 1.5)
            await asyncio.sleep(pause_s)

    def _log_choice(self, grant: choice.Grant) -> None:
        _LOG.info(
            "event=chosen request=%s route=%s runner=%s cost_ms=%d unread=%d "
            "holders=%d kept_cost_ms=%d crowd_ms=%d own=%d parts=%d "
            "left_ms=%d",
            self._admitted.head.attempt,
            self._admitted.route.name,
            grant.runner.id,
            grant.cost * 1000,
            grant.unread,
            grant.holders,
            grant.kept_cost * 1000,
            grant.crowd_s * 1000,
            grant.reading - grant.unread,
            len(self._admitted.head.parts),
            self._left() * 1000,
        )

    async def _try(self, grant: choice.Grant) -> attempt.Ended:
        """Sends the request to one runner and waits for the end of it."""
        try:
            found = await self._connect(grant.runner)
            if found is None:
                return attempt.Ended(_End.UNSENT)
            self._sent += 1
            self._tools.counters.note_sent()
            return await self._exchange(grant, found)
        finally:
            self._tools.chooser.settle(grant)

    async def _connect(
        self, runner: fleet.Runner
    ) -> connection.Connection | None:
        idempotent = self._admitted.route.idempotent
        care = pool.Care.ANY if idempotent else pool.Care.SURE
        kept = self._tools.pool.take(runner, care)
        if kept is not None:
            return kept
        opened = await self._tools.pool.open(runner, max(0.0, self._left()))
        return opened.ok_value if isinstance(opened, result.Ok) else None

    async def _exchange(
        self, grant: choice.Grant, found: connection.Connection
    ) -> attempt.Ended:
        admitted = self._admitted
        receiver = attempt.Attempt(
            self._tools.loop,
            self._tools.codec,
            admitted.head,
            self._relay,
            grant.note_first,
        )
        self._current = found
        found.send(self._write_call(grant.runner), receiver)
        limits = patience.Patience.of(admitted, grant.cost, self._may_repeat())
        try:
            ended = await limits.wait(receiver, self._tools.loop)
        except asyncio.CancelledError:
            found.abort()
            raise
        finally:
            self._current = None
        if receiver.phase is attempt.Phase.ENDED and found.usable:
            self._tools.pool.give_back(grant.runner, found)
        else:
            found.abort()
        return ended

    def _write_call(self, runner: fleet.Runner) -> bytes:
        admitted = self._admitted
        relay = self._relay
        begun = relay is not None and relay.begun
        account = admitted.account
        sending = messages.Sending(
            runner=runner.id,
            left_s=self._left(),
            account=account.id if account else None,
            tier=admitted.tier if admitted.head.parts else None,
            last_event=relay.cutter.last if relay and begun else None,
        )
        if relay is not None:
            relay.cutter.restart()
        return self._tools.codec.write_call(admitted.call, sending)

    def _left(self) -> float:
        return self._admitted.until - self._tools.loop.time()

    # What an end proves, and what follows.

    def _note(self, grant: choice.Grant, ended: attempt.Ended) -> None:
        now = self._tools.loop.time()
        failed = ended.end is _End.WHOLE and _is_error(ended)
        grant.standing.note_end(ended.end, failed, now)
        self._avoid.add(grant.runner.id)
        self._searched += 1
        if failed or ended.end in (_End.BROKEN, _End.SILENT):
            self._may_have_run = True
        if ended.end is not _End.WHOLE or failed:
            _LOG.info(
                "event=attempt_failed request=%s runner=%s end=%s breach=%s "
                "status=%s route=%s left_ms=%d sent=%d",
                self._admitted.head.attempt,
                grant.runner.id,
                ended.end.value,
                ended.breach.value if ended.breach else "-",
                ended.head.status if ended.head else "-",
                self._admitted.route.name,
                self._left() * 1000,
                self._sent,
            )

    def _goes_on(self, ended: attempt.Ended) -> bool:
        """Returns whether a further attempt follows; takes it if so."""
        if ended.end is _End.WHOLE and not _is_error(ended):
            return False
        harmless = ended.end in (_End.UNSENT, _End.REFUSED)
        if not harmless and not self._admitted.route.idempotent:
            return False
        if not self._may_go_on():
            return False
        # What was never sent is not a repeat.
        if ended.end is not _End.UNSENT and not self._take_repeat():
            return False
        self._tools.counters.note_repeat(ended.end)
        return True

    def _take_repeat(self) -> bool:
        now = self._tools.loop.time()
        return self._tools.repeats.take(self._admitted.demand.service, now)

    def _finish(self, ended: attempt.Ended) -> None:
        if ended.end is _End.WHOLE:
            self._deliver(ended)
        elif self._left() <= 0:
            self._give_up(_Reason.TIME_LIMIT)
        elif ended.end is _End.UNSENT:
            self._give_up(_Reason.UNREACHABLE)
        elif ended.end is _End.REFUSED:
            self._give_up(_Reason.RUNNERS_FULL)
        else:
            self._give_up(_Reason.MAY_HAVE_RUN)

    def _deliver(self, ended: attempt.Ended) -> None:
        """Hands the rest of a whole answer to the caller."""
        assert ended.head is not None
        if self._relay is None or not self._relay.begun:
            written = self._tools.codec.write_answer(
                ended.head, len(ended.body), self._caller.closing
            )
            self._caller.write(written + ended.body)
        elif _is_error(ended):
            self._give_up(_Reason.MAY_HAVE_RUN)
            return
        else:
            self._caller.write(b"0\r\n\r\n")
        self._tools.counters.note_served(self._admitted.route, self._took())
        _LOG.info(
            "event=answered request=%s route=%s status=%d took_ms=%d "
            "first_ms=%d gap_ms=%d sent=%d",
            self._admitted.head.attempt,
            self._admitted.route.name,
            ended.head.status,
            self._took() * 1000,
            (self._first_s or self._took()) * 1000,
            self._gap_s * 1000,
            self._sent,
        )

    def _may_repeat(self) -> bool:
        """Whether a further attempt may follow the one that begins."""
        route = self._admitted.route
        return route.idempotent and self._sent < route.attempts

    def _may_go_on(self) -> bool:
        return (
            self._sent < self._admitted.route.attempts
            and self._searched < _LARGEST_SEARCH
            and self._left() > 0
        )

    def _give_up(self, reason: _Reason) -> None:
        """Gives the caller its final answer at once."""
        self._tools.counters.note_refused(reason)
        _LOG.info(
            "event=given_up request=%s route=%s reason=%s may_have_run=%s "
            "sent=%d took_ms=%d",
            self._admitted.head.attempt,
            self._admitted.route.name,
            reason.value,
            self._may_have_run,
            self._sent,
            self._took() * 1000,
        )
        if self._relay is not None and self._relay.begun:
            self._caller.break_off()
            return
        if self._may_have_run:
            status = 504 if reason is _Reason.TIME_LIMIT else 502
            refusal = replies.Refusal(status, reason)
        else:
            refusal = replies.Refusal(503, reason, _COME_BACK_S)
        self._caller.write(replies.write_refusal(refusal, self._caller.closing))

    def _took(self) -> float:
        return self._tools.loop.time() - self._admitted.call.arrived

    # The caller's side of a stream.

    def _begin_stream(self, head: messages.AnswerHead) -> None:
        self._first_s = self._took()
        self._caller.watch_pressure(self._press)
        closing = self._caller.closing
        self._caller.write(self._tools.codec.write_answer(head, None, closing))

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


def _is_error(ended: attempt.Ended) -> bool:
    return ended.head is not None and ended.head.status >= _SERVER_ERROR
