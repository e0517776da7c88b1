"""Decides which of two attempts at one request goes on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import attempt
from pollenfork.gateway.failover import sending

_End = fleet_messages.End


class Race:
    """Two attempts, one at a silent runner, of which the first to go on stays.

    The decision and the end of the other attempt are one step, so that nothing
    of the other one is forwarded after it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        current: sending.SentAttempt,
        successor: sending.SentAttempt,
        replace: Callable[[attempt.AttemptResult], None],
    ) -> None:
        """Starts the race.

        Args:
            loop: The event loop.
            current: The attempt at the silent runner.
            successor: The attempt at another runner.
            replace: Called with the result of `current` if that one loses.
        """
        self._current = current
        self._successor = successor
        self._replace = replace
        self._winner: sending.SentAttempt | None = None
        self._decided: asyncio.Future[None] = loop.create_future()
        current.receiver.claim = self._claim_for_current
        successor.receiver.claim = self._claim_for_successor

    async def run(self, longest_s: float) -> sending.SentAttempt:
        """Returns the attempt that goes on; the other one is closed.

        Args:
            longest_s: Seconds after which the current attempt is given up.
        """
        awaited: set[asyncio.Future[Any]] = {
            self._decided,
            self._current.receiver.done,
            self._successor.receiver.done,
        }
        try:
            await asyncio.wait(
                awaited,
                timeout=longest_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            self._successor.close()
            raise
        if self._winner is None:
            self._judge()
        assert self._winner is not None
        self._winner.receiver.claim = None
        return self._winner

    def _judge(self) -> None:
        """Decides a race in which no attempt has gone on yet."""
        ended = self._current.ended
        if ended is not None:
            self._decide(ended.end is _End.WHOLE and not ended.is_error)
            return
        # A runner whose answer isn't read can't be found silent.
        has_lost = self._successor.ended is not None
        self._decide(has_lost or self._current.receiver.paused)

    def _claim_for_current(self) -> bool:
        if self._winner is None:
            self._decide(True)
        return self._winner is self._current

    def _claim_for_successor(self) -> bool:
        if self._winner is None and self._successor.receiver.can_follow:
            self._decide(False)
        return self._winner is self._successor

    def _decide(self, for_current: bool) -> None:
        if for_current:
            self._winner = self._current
            self._successor.close()
        else:
            self._winner = self._successor
            silent = attempt.AttemptResult(
                _End.SILENT, run=self._current.receiver.run
            )
            self._replace(self._current.ended or silent)
            self._current.close()
        if not self._decided.done():
            self._decided.set_result(None)


class HelperRace:
    """An attempt at a silent runner beside another instance's help."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        current: sending.SentAttempt,
        replace: Callable[[attempt.AttemptResult], None],
    ) -> None:
        """Starts the race.

        Args:
            loop: The event loop.
            current: The attempt at the silent runner.
            replace: Called with the result of `current` if that one loses.
        """
        self._loop = loop
        self._current = current
        self._replace = replace
        self._is_helped: bool | None = None
        self._asked: asyncio.Future[attempt.AttemptResult | None] | None = None
        self._resumed: asyncio.Future[None] = loop.create_future()
        current.receiver.claim = self._claim_for_current

    @property
    def is_decided(self) -> bool:
        """Whether either goes on with the request."""
        return self._is_helped is not None

    @property
    def has_no_helper(self) -> bool:
        """Whether nobody was sent the request."""
        asked = self._asked
        if asked is None or not asked.done() or asked.cancelled():
            return False
        return asked.result() is None

    @property
    def helper_may_have_run(self) -> bool:
        """Whether a helper whose answer isn't taken may have run the request.

        One that was broken off may have, whether it had been sent it or not.
        """
        asked = self._asked
        if asked is None or not asked.done() or asked.cancelled():
            return asked is not None
        ended = asked.result()
        return ended is not None and not ended.end.proves_not_run

    async def run(
        self, forwarding: Awaitable[attempt.AttemptResult | None]
    ) -> attempt.AttemptResult | None:
        """Returns the helper's answer; None if there is none, or none needed.

        Args:
            forwarding: Asks for help.
        """
        asked = self._asked = asyncio.ensure_future(forwarding)
        awaited: set[asyncio.Future[Any]] = {
            asked,
            self._resumed,
            self._current.receiver.done,
        }
        try:
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            undecided = self._is_helped is None
            if self._is_helped or (undecided and self._has_failed()):
                await asyncio.wait({asked})
        finally:
            self._current.receiver.claim = None
            asked.cancel()
        await asyncio.wait({asked})
        return self._judge(asked)

    def claim_for_helper(self) -> bool:
        """Returns whether the helper's answer is the caller's."""
        if self._is_helped is None:
            self._is_helped = True
            silent = attempt.AttemptResult(
                _End.SILENT, run=self._current.receiver.run
            )
            self._replace(self._current.ended or silent)
            self._current.close()
        return self._is_helped

    def _judge(
        self, asked: asyncio.Future[attempt.AttemptResult | None]
    ) -> attempt.AttemptResult | None:
        if asked.cancelled():
            return None
        ended = asked.result()
        # Otherwise it is a refusal, or broke off before its answer began.
        return ended if self._is_helped else None

    def _claim_for_current(self) -> bool:
        if self._is_helped is None:
            self._is_helped = False
            self._resumed.set_result(None)
        return not self._is_helped

    def _has_failed(self) -> bool:
        """Returns whether the attempt at the runner has broken."""
        ended = self._current.ended
        return ended is not None and (
            ended.end is not _End.WHOLE or ended.is_error
        )
