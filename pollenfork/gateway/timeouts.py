"""How long an attempt may stay silent before something is done about it."""

import asyncio
from typing import Self

import msgspec

from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import attempt
from pollenfork.gateway import context

# A runner that has not answered after this many targets is held to be dark or
# overloaded, and a request that may run twice goes to another. Half of the
# answers are there within a third of their target.
_FIRST_RESPONSE_FACTOR = 2.0
_SHORTEST_S = 0.3
# A pause in a stream this many times longer than the longest in time.
_GAP_FACTOR = 3.0
_SHORTEST_GAP_S = 0.8


class AttemptTimeouts(msgspec.Struct, frozen=True):
    """Limits on one attempt.

    Attributes:
        deadline: Monotonic seconds at which the answer is of no use.
        first_s: Seconds to the first sign of an answer; None: no limit.
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
        may_repeat: bool,
    ) -> Self:
        """Returns the limits of a request's next attempt.

        Args:
            admitted: The request.
            expected_s: Seconds after which the answer is expected to begin.
            may_repeat: Whether giving up early helps: it may run again.
        """
        route = admitted.route
        if not may_repeat:
            return cls(admitted.deadline)
        first_s = max(_SHORTEST_S, route.target_s * _FIRST_RESPONSE_FACTOR)
        first_s += expected_s * _FIRST_RESPONSE_FACTOR
        gap_s = max(_SHORTEST_GAP_S, route.gap_s * _GAP_FACTOR)
        return cls(admitted.deadline, first_s, gap_s)

    async def wait(
        self, running: attempt.Attempt, loop: asyncio.AbstractEventLoop
    ) -> attempt.AttemptResult:
        """Returns how the attempt ended, at the latest at its limits."""
        while not running.done.done():
            now = loop.time()
            limit = self._find_limit(running)
            if now >= limit:
                return attempt.AttemptResult(fleet_messages.End.SILENT)
            await asyncio.wait([running.done], timeout=limit - now)
        return running.done.result()

    def _find_limit(self, running: attempt.Attempt) -> float:
        flowing = running.phase is attempt.Phase.STREAMING
        pause_s = self.gap_s if flowing else self.first_s
        if pause_s is None:
            return self.deadline
        return min(self.deadline, running.heard_at + pause_s)
