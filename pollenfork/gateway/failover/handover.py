"""Awaits the answer to one request, at another runner if its own is silent.

A silent runner may be hung, or go on a moment later. An attempt at it is kept
until another one goes on with the request, and for as long as nothing can.
"""

from collections.abc import Awaitable, Callable, Sequence

import msgspec
import result

from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.gateway import quarantine_check
from pollenfork.gateway import retries
from pollenfork.gateway import selection
from pollenfork.gateway.failover import race
from pollenfork.gateway.failover import recording
from pollenfork.gateway.failover import sending
from pollenfork.poison import crashes

_End = fleet_messages.End

# How long two runners may work on a request, in seconds. The platform allows
# 0.4 s; a full runner refuses a request within a round trip.
_OVERLAP_S = 0.3
# The pause before a request looks for another runner again, in seconds. It
# doubles each time that there is none, since a choice compares all runners.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8

# Asks another instance to serve the request, with what asks whether it may
# answer; returns its answer, or None if nobody helps.
Forward = Callable[
    [Sequence[str], Callable[[], bool]],
    Awaitable[attempt.AttemptResult | None],
]


class Answered(msgspec.Struct, frozen=True):
    """The end of the last attempt at a request.

    Attributes:
        ended: How it ended.
        sent: The attempt; None: another instance served the request.
    """

    ended: attempt.AttemptResult
    sent: sending.SentAttempt | None


class Callbacks(msgspec.Struct, frozen=True):
    """What an exchange does as attempts replace each other.

    Attributes:
        attach: Called with the attempt that the caller's answer comes from.
        is_streaming: Returns whether the caller has got the head of a stream.
        list_helpers: Returns the hosts that may serve a request for which this
            was found here; empty: any that reaches the runners; None: no other
            instance may.
        forward: Asks another instance to serve the request.
    """

    attach: Callable[[sending.SentAttempt], None]
    is_streaming: Callable[[], bool]
    list_helpers: Callable[[outcomes.Outcome], Sequence[str] | None]
    forward: Forward


class Handover:
    """Awaits the answer to one request."""

    def __init__(
        self,
        deps: context.Dependencies,
        admitted: context.AdmittedRequest,
        history: retries.AttemptHistory,
        sender: sending.Sender,
        selector: selection.RunnerSelector,
        check: quarantine_check.QuarantineCheck,
        recorder: recording.AttemptRecorder,
        callbacks: Callbacks,
    ) -> None:
        """Creates an object that awaits nothing yet.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
            history: Its attempts.
            sender: Sends it.
            selector: Chooses runners for it.
            check: Tells whether it may crash runners.
            recorder: Records how its attempts end.
            callbacks: What the exchange does meanwhile.
        """
        self._deps = deps
        self._admitted = admitted
        self._history = history
        self._sender = sender
        self._selection = selector
        self._quarantine_check = check
        self._recorder = recorder
        self._callbacks = callbacks
        self._pause_s = _FIRST_PAUSE_S

    async def await_answer(self, first: sending.SentAttempt) -> Answered:
        """Returns the last attempt and how it ended; all are closed then."""
        loop = self._deps.loop
        current = first
        self._callbacks.attach(current)
        try:
            while True:
                now = loop.time()
                if current.ended is not None:
                    return Answered(current.ended, current)
                if now >= self._admitted.deadline:
                    silent = attempt.AttemptResult(
                        _End.SILENT, run=current.receiver.run
                    )
                    return Answered(silent, current)
                if not current.is_silent(now):
                    await current.wait(current.find_limit(now) - now)
                    continue
                gone_on = await self._hand_over(current)
                if isinstance(gone_on, attempt.AttemptResult):
                    return Answered(gone_on, None)
                current = gone_on
        finally:
            current.close()

    async def _hand_over(
        self, current: sending.SentAttempt
    ) -> sending.SentAttempt | attempt.AttemptResult:
        """Lets the request go on elsewhere if possible, or waits for a while.

        Returns:
            The attempt that goes on, or another instance's answer.
        """
        now = self._deps.loop.time()
        left_s = self._admitted.deadline - now
        is_runner_silent = self._recorder.record_silence(current)
        if not retries.may_retry(self._admitted.route, self._history):
            await current.wait(min(left_s, _LONGEST_PAUSE_S))
            return current
        service = self._admitted.demand.service
        silence = current.grant.state.silence
        if not self._deps.retry_budget.has_left(service, now) or (
            is_runner_silent and not silence.take_turn(now)
        ):
            await current.wait(min(left_s, _FIRST_PAUSE_S))
            return current
        self._selection.tried.add(current.grant.runner.id)
        gone_on: sending.SentAttempt | attempt.AttemptResult | None = None
        try:
            gone_on = await self._try_elsewhere(current)
        finally:
            if is_runner_silent and gone_on in (None, current):
                silence.return_turn()
        if gone_on is not None:
            return gone_on
        await current.wait(min(left_s, self._pause_s))
        self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)
        return current

    async def _try_elsewhere(
        self, current: sending.SentAttempt
    ) -> sending.SentAttempt | attempt.AttemptResult | None:
        """Returns what goes on with the request, None if nothing else can."""
        finding = await self._quarantine_check.evaluate(True)
        if finding.verdict not in (
            crashes.Verdict.CLEAR,
            crashes.Verdict.SUSPECT,
        ):
            return None
        if self._deps.reach.is_lost(self._admitted.demand.service):
            return await self._ask_helper(current, outcomes.Unreachable())
        is_clear = finding.verdict is crashes.Verdict.CLEAR
        found = await self._selection.find(
            None if is_clear else finding.subject.digest, True
        )
        if isinstance(found, outcomes.Grant):
            return await self._try_runner(current, found)
        return await self._ask_helper(current, found)

    async def _try_runner(
        self, current: sending.SentAttempt, grant: outcomes.Grant
    ) -> sending.SentAttempt | None:
        loop = self._deps.loop
        self._recorder.record_choice(grant)
        begun_at = loop.time()
        opened = await self._sender.connect(grant)
        if isinstance(opened, result.Err):
            self._recorder.record_unsent(grant, opened.err_value)
            return None
        is_needed = current.is_silent(loop.time())
        if not is_needed or not self._recorder.take_retry():
            self._sender.release(grant, opened.ok_value)
            return current if not is_needed else None
        successor = self._sender.send(grant, opened.ok_value, begun_at)

        def replace(ended: attempt.AttemptResult) -> None:
            self._replace(current, ended)
            self._callbacks.attach(successor)

        rivals = race.Race(loop, current, successor, replace)
        winner = await rivals.run(_OVERLAP_S)
        if winner is current:
            self._recorder.record_dropped(successor)
        return winner

    async def _ask_helper(
        self, current: sending.SentAttempt, found: outcomes.Outcome
    ) -> sending.SentAttempt | attempt.AttemptResult | None:
        """Asks another instance to go on with the request.

        Returns:
            Its answer; `current` if that goes on; None if nobody helps.
        """
        hosts = self._callbacks.list_helpers(found)
        if hosts is None or not self._recorder.take_retry():
            return None
        rivals = race.HelperRace(
            self._deps.loop,
            current,
            lambda ended: self._replace(current, ended),
        )
        ended = await rivals.run(
            self._callbacks.forward(hosts, rivals.claim_for_helper)
        )
        if ended is not None:
            return ended
        if rivals.has_no_helper:
            self._recorder.give_back_retry()
        if rivals.helper_may_have_run:
            self._recorder.record_helper_dropped()
        self._callbacks.attach(current)
        self._pause_s = _LONGEST_PAUSE_S
        return current if rivals.is_decided else None

    def _replace(
        self, replaced: sending.SentAttempt, ended: attempt.AttemptResult
    ) -> None:
        self._recorder.record_replaced(
            replaced, ended, self._callbacks.is_streaming()
        )
