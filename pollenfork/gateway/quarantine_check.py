"""Checks one request against the quarantine, and reports its attempts to it."""

import asyncio
import logging

from pollenfork import ids
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.poison import crashes

_LOG = logging.getLogger(__name__)

# A retry waits this long at most, in seconds, to learn whether the runner has
# crashed; a connection takes 1 to 3 ms to be established or refused. Without
# the wait, a second runner crashes before the first crash is known.
_PROBE_WAIT_S = 0.05
# A retry waits for proof if the request broke at this many runners, one of
# which has crashed or may have: the caller's first attempt may have crashed
# another.
_RETRY_CRASHES = 2
# A stream that has run for this long, in seconds, shows that its request didn't
# crash the runner: requests that do so crash it within a second.
_HARMLESS_AFTER_S = 5.0


class QuarantineCheck:
    """Evaluates one request, and records the results of its attempts."""

    def __init__(
        self, deps: context.Dependencies, digest: ids.RequestDigest
    ) -> None:
        """Creates the check of one request.

        Args:
            deps: Dependencies that all exchanges share.
            digest: The request's digest.
        """
        self._deps = deps
        self._digest = digest

    async def evaluate(self, is_retry: bool) -> crashes.Verdict:
        """Returns whether the request may be sent now.

        If one more attempt may crash a runner beyond the limit, this waits
        until it is known whether the runners have crashed at which the request
        broke here.

        Args:
            is_retry: Whether the request has been sent before.
        """
        deps = self._deps
        started_at = deps.loop.time()
        possible = deps.request_quarantine.list_possible_crashes(
            self._digest, started_at
        )
        if len(possible) >= (
            _RETRY_CRASHES if is_retry else crashes.CRASH_LIMIT
        ):
            await deps.crash_probes.wait_completed(possible)
        now = deps.loop.time()
        verdict = deps.request_quarantine.evaluate(self._digest, now)
        if possible:
            self._log_verdict(verdict, len(possible), now - started_at)
        return verdict

    def _log_verdict(
        self, verdict: crashes.Verdict, possible: int, waited_s: float
    ) -> None:
        """Logs the inputs of the verdict on a request that may crash runners.

        Args:
            verdict: The verdict.
            possible: Number of runners that the request may have crashed.
            waited_s: Seconds for which crash probes were awaited.
        """
        history = self._deps.request_quarantine.tracker.find(self._digest)
        recorded = history.crashes if history is not None else []
        now = self._deps.loop.time()
        _LOG.info(
            "event=request_judged digest=%016x verdict=%s ends=%d possible=%d "
            "last_ms=%s waited_ms=%d",
            self._digest,
            verdict.value,
            len(recorded),
            possible,
            int((now - recorded[-1].crashed_at) * 1000) if recorded else "-",
            waited_s * 1000,
        )

    async def claim_trial(self) -> bool:
        """Returns whether a quarantined request may run this once."""
        return await self._deps.claim_trial(self._digest)

    def record_attempt(
        self,
        runner: fleet.Runner,
        ended: attempt.AttemptResult,
        sent_at: float,
        connected_at: float | None,
        is_streaming: bool,
    ) -> None:
        """Records the result of an attempt.

        Args:
            runner: The runner, as registered when it was chosen.
            ended: The result.
            sent_at: Monotonic seconds at which the attempt started.
            connected_at: Monotonic seconds at which its connection was opened.
            is_streaming: Whether events of its answer have arrived.
        """
        deps = self._deps
        now = deps.loop.time()
        if ended.end is fleet_messages.End.WHOLE:
            deps.request_quarantine.record_answer(self._digest, now)
        if not ended.connection_lost:
            return
        if not (is_streaming and now - sent_at > _HARMLESS_AFTER_S):
            deps.request_quarantine.record_broken_connection(
                self._digest, runner, sent_at, now, connected_at
            )
        deps.crash_probes.probe(runner)

    async def wait_for_probe(
        self, runner: fleet.Runner, ended: attempt.AttemptResult
    ) -> None:
        """Delays a retry until it is known whether the runner has crashed."""
        if ended.connection_lost:
            probe = self._deps.crash_probes.probe(runner)
            await asyncio.wait({probe.connected}, timeout=_PROBE_WAIT_S)
