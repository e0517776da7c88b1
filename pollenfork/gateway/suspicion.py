"""What one request's attempts show of the runners that end under it."""

import asyncio

from pollenfork import ids
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.poison import cases

# A repeat waits this long at most, in seconds, to hear whether the runner has
# ended; a connection there takes 1 to 3 ms to be made or refused. Else a second
# runner ends before the first is known to have.
_ENDING_S = 0.05
# An answer that has flowed for this long, in seconds, shows that its request
# isn't what ended the runner: one that is does so within a second.
_RAN_WELL_S = 5.0


class Suspicion:
    """Asks and tells what is known of one request."""

    def __init__(self, tools: context.Tools, digest: ids.RequestDigest) -> None:
        """Takes what it needs.

        Args:
            tools: What all exchanges share.
            digest: The request's.
        """
        self._tools = tools
        self._digest = digest

    def judge(self) -> cases.Verdict:
        """Returns what may be done with the request now."""
        now = self._tools.loop.time()
        return self._tools.suspected.judge(self._digest, now)

    async def may_try(self) -> bool:
        """Returns whether a request that is kept back may run this once."""
        return await self._tools.claim_trial(self._digest)

    def note(
        self,
        runner: fleet.Runner,
        ended: attempt.Ended,
        sent_at: float,
        made_at: float | None,
        flows: bool,
    ) -> None:
        """Takes the end of an attempt.

        Args:
            runner: Where it was, as it was when chosen.
            ended: How it ended.
            sent_at: Monotonic seconds at which it began.
            made_at: The same of its connection.
            flows: Whether events of its answer have come.
        """
        tools = self._tools
        now = tools.loop.time()
        if ended.end is fleet_messages.End.WHOLE:
            tools.suspected.note_answered(self._digest, now)
        if not ended.is_cut:
            return
        if not (flows and now - sent_at > _RAN_WELL_S):
            tools.suspected.note_broken(
                self._digest, runner, sent_at, now, made_at
            )
        tools.endings.try_runner(runner)

    async def await_end(
        self, runner: fleet.Runner, ended: attempt.Ended
    ) -> None:
        """Lets a repeat wait until it is known whether the runner has ended."""
        if ended.is_cut:
            trying = self._tools.endings.try_runner(runner)
            await asyncio.wait({trying}, timeout=_ENDING_S)
