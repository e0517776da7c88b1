"""Timeouts after which an attempt is abandoned."""

import asyncio
from typing import Self

import msgspec

from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import attempt
from pollenfork.gateway import context

# A runner that hasn't responded after this many latency targets is considered
# unreachable or overloaded, and a request that may run twice is retried
# elsewhere. Half of the answers arrive within a third of their target.
_FIRST_RESPONSE_FACTOR = 2.0
_MIN_FIRST_RESPONSE_S = 0.3
# The same for a gap between events, in multiples of the route's gap target.
_GAP_FACTOR = 3.0
_MIN_GAP_S = 0.8


class AttemptTimeouts(msgspec.Struct, frozen=True):
    """Timeouts of one attempt.

    Attributes:
        deadline: Monotonic seconds from which on the answer is useless.
        first_s: Seconds to the first response data; None: no limit.
        gap_s: Seconds between events; None: no limit.
    """

    deadline: float
    first_s: float | None = None
    gap_s: float | None = None

    @classmethod
    def for_attempt(
        cls,
        admitted: context.AdmittedRequest,
        expected_s: float,
        may_retry: bool,
    ) -> Self:
        """Returns the timeouts of a request's next attempt.

        Args:
            admitted: The request.
            expected_s: Seconds after which the answer is expected to start.
            may_retry: Whether the request may be retried; if not, abandoning
                the attempt early doesn't help.
        """
        route = admitted.route
        if not may_retry:
            return cls(admitted.deadline)
        first_s = max(
            _MIN_FIRST_RESPONSE_S, route.target_s * _FIRST_RESPONSE_FACTOR
        )
        first_s += expected_s * _FIRST_RESPONSE_FACTOR
        gap_s = max(_MIN_GAP_S, route.gap_s * _GAP_FACTOR)
        return cls(admitted.deadline, first_s, gap_s)

    async def wait(
        self, running: attempt.Attempt, loop: asyncio.AbstractEventLoop
    ) -> attempt.AttemptResult:
        """Returns the result of an attempt, at its timeout at the latest."""
        while not running.done.done():
            now = loop.time()
            limit = self.find_limit(running, now)
            if now >= limit:
                return attempt.AttemptResult(
                    fleet_messages.End.SILENT, run=running.run
                )
            await asyncio.wait([running.done], timeout=limit - now)
        return running.done.result()

    def find_limit(
        self, running: attempt.Attempt, now: float, heard_at: float = 0.0
    ) -> float:
        """Returns when the answer should have gone on, in monotonic seconds.

        Args:
            running: The attempt.
            now: Monotonic seconds.
            heard_at: When its runner was heard, if that counts for it.
        """
        flowing = running.phase is attempt.Phase.STREAMING
        pause_s = self.gap_s if flowing else self.first_s
        if pause_s is None:
            return self.deadline
        # A runner whose answer isn't read can't be found silent.
        last_at = now if running.paused else running.last_data_at
        return min(self.deadline, max(last_at, heard_at) + pause_s)
