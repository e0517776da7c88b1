"""What one request's attempts show of the runners that end under it."""

import asyncio
import logging

from pollenfork import ids
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.poison import cases

_LOG = logging.getLogger(__name__)

# A repeat waits this long at most, in seconds, to hear whether the runner has
# ended; a connection there takes 1 to 3 ms to be made or refused. Else a second
# runner ends before the first is known to have.
_ENDING_S = 0.05
# A repeat waits for proof where the request broke at this many runners, one of
# which has ended or may have: a caller's first attempt may have ended another.
_REPEATED_ENDS = 2
# An answer that has flowed for this long, in seconds, shows that its request
# isn't what ended the runner: one that is does so within a second.
_RAN_WELL_S = 5.0


class QuarantineCheck:
    """Asks and tells what is known of one request."""

    def __init__(
        self, tools: context.Dependencies, digest: ids.RequestDigest
    ) -> None:
        """Takes what it needs.

        Args:
            tools: What all exchanges share.
            digest: The request's.
        """
        self._tools = tools
        self._digest = digest

    async def evaluate(self, repeats: bool) -> cases.Verdict:
        """Returns what may be done with the request now.

        Where one more send may end a runner too many, it waits until it is
        known whether the runners have ended at which the request broke here.

        Args:
            repeats: Whether the request has been sent before.
        """
        tools = self._tools
        begun_at = tools.loop.time()
        possible = tools.request_quarantine.list_possible_ends(
            self._digest, begun_at
        )
        if len(possible) >= (_REPEATED_ENDS if repeats else cases.ENDS_ALLOWED):
            await tools.crash_probes.wait_completed(possible)
        now = tools.loop.time()
        verdict = tools.request_quarantine.judge(self._digest, now)
        if possible:
            self._log_verdict(verdict, len(possible), now - begun_at)
        return verdict

    def _log_verdict(
        self, verdict: cases.Verdict, possible: int, waited_s: float
    ) -> None:
        """Tells what a send of a request that may end runners was decided by.

        Args:
            verdict: What may be done with it.
            possible: Runners that it may have ended.
            waited_s: Seconds for which proof was waited for.
        """
        case = self._tools.request_quarantine.book.find(self._digest)
        ends = case.ends if case is not None else []
        now = self._tools.loop.time()
        _LOG.info(
            "event=request_judged digest=%016x verdict=%s ends=%d possible=%d "
            "last_ms=%s waited_ms=%d",
            self._digest,
            verdict.value,
            len(ends),
            possible,
            int((now - ends[-1].ended_at) * 1000) if ends else "-",
            waited_s * 1000,
        )

    async def claim_trial(self) -> bool:
        """Returns whether a request that is kept back may run this once."""
        return await self._tools.claim_trial(self._digest)

    def record_attempt(
        self,
        runner: fleet.Runner,
        ended: attempt.AttemptResult,
        sent_at: float,
        connected_at: float | None,
        flows: bool,
    ) -> None:
        """Takes the end of an attempt.

        Args:
            runner: Where it was, as it was when chosen.
            ended: How it ended.
            sent_at: Monotonic seconds at which it began.
            connected_at: The same of its connection.
            flows: Whether events of its answer have come.
        """
        tools = self._tools
        now = tools.loop.time()
        if ended.end is fleet_messages.End.WHOLE:
            tools.request_quarantine.note_answered(self._digest, now)
        if not ended.connection_lost:
            return
        if not (flows and now - sent_at > _RAN_WELL_S):
            tools.request_quarantine.note_broken(
                self._digest, runner, sent_at, now, connected_at
            )
        tools.crash_probes.probe(runner)

    async def wait_for_probe(
        self, runner: fleet.Runner, ended: attempt.AttemptResult
    ) -> None:
        """Lets a repeat wait until it is known whether the runner has ended."""
        if ended.connection_lost:
            probe = self._tools.crash_probes.probe(runner)
            await asyncio.wait({probe.connected}, timeout=_ENDING_S)
