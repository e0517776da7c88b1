"""Sends a request to the runner that was chosen for it."""

import asyncio
from collections.abc import Callable
import functools

import msgspec
import result

from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import connection
from pollenfork.gateway import context
from pollenfork.gateway import messages
from pollenfork.gateway import pool
from pollenfork.gateway import retries
from pollenfork.gateway import timeouts
from pollenfork.gateway.connections import view
from pollenfork.ratelimits import parsing

_End = fleet_messages.End


class SentAttempt:
    """A request at one runner, until the attempt is closed.

    Attributes:
        grant: The grant of the runner.
        opened: The connection that carries it.
        receiver: Receives the answer.
        begun_at: Monotonic seconds before the connection was chosen.
        sent_at: Monotonic seconds at which the request was sent.
    """

    def __init__(
        self,
        deps: context.Dependencies,
        grant: outcomes.Grant,
        opened: connection.Connection,
        receiver: attempt.Attempt,
        limits: timeouts.AttemptTimeouts,
        begun_at: float,
    ) -> None:
        """Creates an attempt whose request has been sent.

        Args:
            deps: Dependencies that all exchanges share.
            grant: The grant of the runner.
            opened: The connection to it.
            receiver: Receives the answer.
            limits: When the runner should have sent something.
            begun_at: Monotonic seconds before the connection was chosen.
        """
        self._deps = deps
        self.grant = grant
        self.opened = opened
        self.receiver = receiver
        self._limits = limits
        self.begun_at = begun_at
        self.sent_at = deps.loop.time()
        self._is_closed = False

    @property
    def ended(self) -> attempt.AttemptResult | None:
        """The result, once there is one."""
        done = self.receiver.done
        return done.result() if done.done() else None

    def find_limit(self, now: float) -> float:
        """Returns when the runner should have sent something.

        A runner that goes on after a silence is given the same time again, and
        a silent one from when it was last heard on any connection.
        """
        silence = self.grant.state.silence
        since = silence.resumed_at
        if silence.is_runner_wide(now):
            since = max(since, silence.heard_at)
        return self._limits.find_limit(self.receiver, now, since)

    def is_silent(self, now: float) -> bool:
        """Returns whether the runner should have sent something by now."""
        return not self.receiver.done.done() and now >= self.find_limit(now)

    async def wait(self, seconds: float) -> None:
        """Returns once there is a result, or after some seconds."""
        await asyncio.wait({self.receiver.done}, timeout=max(0.0, seconds))

    def close(self) -> None:
        """Releases the connection, or closes it if the answer isn't over."""
        if self._is_closed:
            return
        self._is_closed = True
        runner = self.grant.runner
        self._deps.pool.mark_done(runner, self.opened)
        is_over = self.receiver.phase is attempt.Phase.ENDED
        if is_over and self.opened.usable:
            self._deps.pool.release(runner, self.opened)
        else:
            self.opened.abort()
        self._deps.chooser.settle(self.grant)


class Callbacks(msgspec.Struct, frozen=True):
    """What an exchange does as its request is sent and answered.

    Attributes:
        count_request: Counts the request for the retry budget.
        on_first_output: Called with the grant of a runner that starts to
            answer, and the monotonic seconds at which the request was sent.
        on_buffered: Called with the size of a piece of an answer that is kept
            until the answer is whole; returns whether there is room for it.
        accepts_peer: Returns whether the process at a new connection to a
            runner may go on with the request.
    """

    count_request: Callable[[], None]
    on_first_output: Callable[[outcomes.Grant, float], None]
    on_buffered: Callable[[int], bool]
    accepts_peer: Callable[[fleet.Runner, connection.Connection], bool]


class Sender:
    """Sends one request, to one runner after the other."""

    def __init__(
        self,
        deps: context.Dependencies,
        admitted: context.AdmittedRequest,
        history: retries.AttemptHistory,
        relay: attempt.StreamRelay | None,
        callbacks: Callbacks,
    ) -> None:
        """Creates a sender of a request that hasn't been sent.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
            history: Its attempts.
            relay: Forwards a stream to the caller; None if it isn't streamed.
            callbacks: What the exchange does meanwhile.
        """
        self._deps = deps
        self._admitted = admitted
        self._history = history
        self._relay = relay
        self._callbacks = callbacks

    async def connect(
        self, grant: outcomes.Grant
    ) -> result.Result[connection.Connection, attempt.AttemptResult]:
        """Returns a connection to a runner that still accepts work.

        The grant is settled if there is none.
        """
        try:
            found = await self._find_connection(grant.runner)
        except BaseException:
            self._deps.chooser.settle(grant)
            raise
        if isinstance(found, result.Err):
            self._deps.chooser.settle(grant)
            refused = found.err_value.connection_refused
            return result.Err(
                attempt.AttemptResult(_End.UNSENT, connection_refused=refused)
            )
        now = self._deps.loop.time()
        if not self._deps.chooser.availability.accepts(grant.runner, now):
            found.ok_value.abort()
            self._deps.chooser.settle(grant)
            return result.Err(attempt.AttemptResult(_End.WITHHELD))
        if not self._callbacks.accepts_peer(grant.runner, found.ok_value):
            self.release(grant, found.ok_value)
            return result.Err(attempt.AttemptResult(_End.WITHHELD))
        return result.Ok(found.ok_value)

    def release(
        self, grant: outcomes.Grant, opened: connection.Connection
    ) -> None:
        """Gives back a connection and a grant that aren't used after all."""
        self._deps.pool.release(grant.runner, opened)
        self._deps.chooser.settle(grant)

    def send(
        self,
        grant: outcomes.Grant,
        opened: connection.Connection,
        begun_at: float,
    ) -> SentAttempt:
        """Sends the request.

        Args:
            grant: The grant of the runner.
            opened: A connection to it.
            begun_at: Monotonic seconds before the connection was chosen.
        """
        deps = self._deps
        now = deps.loop.time()
        self._callbacks.count_request()
        self._history.sent += 1
        deps.reach.record_sent(grant.runner)
        deps.counters.record_attempt()
        limits = timeouts.AttemptTimeouts.for_attempt(
            self._admitted,
            grant.cost,
            retries.may_retry(self._admitted.route, self._history),
        )
        receiver = self._make_receiver(grant)
        sent = SentAttempt(deps, grant, opened, receiver, limits, begun_at)
        try:
            encoded = self._encode(grant)
            deps.pool.mark_busy(grant.runner, opened)
            deps.limit_events.on_sent(grant.runner, now)
            opened.send(encoded, receiver)
        except BaseException:
            sent.close()
            raise
        return sent

    async def _find_connection(
        self, runner: fleet.Runner
    ) -> result.Result[connection.Connection, pool.Unreachable]:
        idempotent = self._admitted.route.idempotent
        freshness = view.Freshness.ANY if idempotent else view.Freshness.RECENT
        pooled = self._deps.pool.acquire(runner, freshness)
        if pooled is not None:
            return result.Ok(pooled)
        return await self._deps.pool.open(runner, max(0.0, self._remaining_s))

    def _make_receiver(self, grant: outcomes.Grant) -> attempt.Attempt:
        deps = self._deps
        now = deps.loop.time()
        return attempt.Attempt(
            deps.loop,
            deps.codec,
            self._admitted.head,
            self._relay,
            functools.partial(self._callbacks.on_first_output, grant, now),
            functools.partial(self._on_head, grant, now),
            functools.partial(deps.runner_notices.on_head, grant.runner),
            self._callbacks.on_buffered,
            functools.partial(deps.crash_probes.when_known, grant.runner),
        )

    def _encode(self, grant: outcomes.Grant) -> bytes:
        admitted = self._admitted
        relay = self._relay
        account = admitted.account
        sending = messages.ForwardContext(
            runner=grant.runner.id,
            remaining_s=self._remaining_s,
            account=account.id if account else None,
            tier=admitted.tier if admitted.head.parts else None,
            last_event=relay.progress.last if relay else None,
            source=grant.source,
        )
        return self._deps.codec.encode_request(admitted.call, sending)

    def _on_head(
        self, grant: outcomes.Grant, sent_at: float, head: messages.ResponseHead
    ) -> None:
        """Applies the rate limits in a response head."""
        if head.displaced:
            return  # Another runner answered at its address.
        read = parsing.parse(head.rates)
        self._deps.limit_events.on_answer(grant.runner, read)
        # A refusal or an error without a rate doesn't lift a limit.
        if read.rate is not None or (head.sealed and head.status < 400):
            self._deps.permits.on_answer(grant, read, sent_at)

    @property
    def _remaining_s(self) -> float:
        return self._admitted.deadline - self._deps.loop.time()
