"""Checks one request against the quarantine, and reports its attempts to it."""

import asyncio
from collections.abc import Sequence
import logging

from pollenfork import ids
from pollenfork import logs
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.gateway.failover import sending
from pollenfork.poison import crashes
from pollenfork.poison import subjects

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
# A part of a prompt crashes runners as they begin to write an answer; one that
# has written for this long, in seconds, shows that no part of it does.
_PART_HARMLESS_AFTER_S = 0.5


class QuarantineCheck:
    """Evaluates one request, and records the results of its attempts."""

    def __init__(
        self, deps: context.Dependencies, admitted: context.AdmittedRequest
    ) -> None:
        """Creates the check of one request.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
        """
        self._deps = deps
        demand = admitted.demand
        self._subjects = subjects.list_subjects(
            admitted.digest, demand.service, demand.shared
        )
        # When the runner that was asked last sent its first output.
        self._first_output_at: float | None = None
        self._clearance: asyncio.TimerHandle | None = None

    async def evaluate(self, is_retry: bool) -> subjects.Finding:
        """Returns whether the request may be sent now.

        If one more attempt may crash a runner beyond the limit, this waits
        until it is known whether the runners have crashed at which the request
        broke here.

        Args:
            is_retry: Whether the request has been sent before.
        """
        started_at = self._deps.loop.time()
        possible = await self._wait_for_probes(is_retry)
        now = self._deps.loop.time()
        verdicts = [
            (each, self._deps.request_quarantine.evaluate(each.digest, now))
            for each in self._subjects
        ]
        for subject, verdict in verdicts:
            count = possible[subject.digest]
            if count:
                self._log_verdict(subject, verdict, count, now - started_at)
        return subjects.find_severest(verdicts)

    async def _wait_for_probes(
        self, is_retry: bool
    ) -> dict[ids.RequestDigest, int]:
        """Waits for the probes at runners that a subject may have crashed.

        Returns:
            How many runners each subject may have crashed, by its digest.
        """
        deps = self._deps
        limit = _RETRY_CRASHES if is_retry else crashes.CRASH_LIMIT
        counts = {}
        for subject in self._subjects:
            possible = deps.request_quarantine.list_possible_crashes(
                subject.digest, deps.loop.time()
            )
            counts[subject.digest] = len(possible)
            if len(possible) >= limit:
                await deps.crash_probes.wait_completed(possible)
        return counts

    def _log_verdict(
        self,
        subject: subjects.Subject,
        verdict: crashes.Verdict,
        possible: int,
        waited_s: float,
    ) -> None:
        """Logs the inputs of the verdict on a request that may crash runners.

        Args:
            subject: The request or part that may be to blame.
            verdict: The verdict.
            possible: Number of runners that it may have crashed.
            waited_s: Seconds for which crash probes were awaited.
        """
        history = self._deps.request_quarantine.tracker.find(subject.digest)
        recorded = history.crashes if history is not None else []
        now = self._deps.loop.time()
        _LOG.info(
            "event=request_judged digest=%016x verdict=%s ends=%d possible=%d "
            "last_ms=%s waited_ms=%d part=%s",
            subject.digest,
            verdict.value,
            len(recorded),
            possible,
            int((now - recorded[-1].crashed_at) * 1000) if recorded else "-",
            waited_s * 1000,
            logs.quote_value(subject.part.decode("latin-1") or "-"),
        )

    async def claim_trial(self, finding: subjects.Finding) -> bool:
        """Returns whether a quarantined request may run this once.

        A request with two quarantined parts would prove nothing of either.
        """
        subject = finding.subject
        if subject.is_part and not finding.is_alone:
            return False
        return await self._deps.claim_trial(subject.digest, subject.is_part)

    def record_first_output(self) -> None:
        """Records that a runner has begun to write an answer."""
        loop = self._deps.loop
        self._first_output_at = loop.time()
        if len(self._subjects) > 1:
            self._clearance = loop.call_later(
                _PART_HARMLESS_AFTER_S, self._clear_parts
            )

    def close(self) -> None:
        """Ends the check, also of a request whose caller has left."""
        if self._clearance is not None:
            self._clearance.cancel()
            self._clearance = None

    def _clear_parts(self) -> None:
        """Records that a runner survived writing on the prompt's parts."""
        now = self._deps.loop.time()
        for subject in self._subjects:
            if subject.is_part:
                self._deps.request_quarantine.record_answer(subject.digest, now)

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
        now = self._deps.loop.time()
        first_at, self._first_output_at = self._first_output_at, None
        self.close()
        if ended.end is fleet_messages.End.WHOLE:
            self._record_answer()
        if not ended.connection_lost:
            return
        is_harmless = is_streaming and now - sent_at > _HARMLESS_AFTER_S
        wrote_s = 0.0 if first_at is None else now - first_at
        suspects = [
            subject
            for subject in self._subjects
            if not is_harmless
            and not (subject.is_part and wrote_s > _PART_HARMLESS_AFTER_S)
        ]
        self._record_broken(runner, sent_at, connected_at, suspects)

    def record_broken(
        self, runner: fleet.Runner, sent_at: float, connected_at: float
    ) -> None:
        """Records a broken attempt beside another one, which goes on.

        Args:
            runner: The runner, as registered when it was chosen.
            sent_at: Monotonic seconds at which the attempt started.
            connected_at: Monotonic seconds at which its connection was opened.
        """
        self._record_broken(runner, sent_at, connected_at, self._subjects)

    def _record_broken(
        self,
        runner: fleet.Runner,
        sent_at: float,
        connected_at: float | None,
        suspects: Sequence[subjects.Subject],
    ) -> None:
        now = self._deps.loop.time()
        for subject in suspects:
            self._deps.request_quarantine.record_broken_connection(
                subject.digest, runner, sent_at, now, connected_at
            )
        self._deps.crash_probes.probe(runner)

    def _record_answer(self) -> None:
        now = self._deps.loop.time()
        for subject in self._subjects:
            self._deps.request_quarantine.record_answer(subject.digest, now)

    def record_survival(self, sent: sending.SentAttempt) -> None:
        """Records an answer that ended with its connection, or a crash.

        A crash looks the same until the runner is connected to again, which
        nobody waits for any longer.

        Args:
            sent: The attempt, which awaits this proof.
        """
        runner = sent.grant.runner
        ended_at = sent.receiver.last_data_at

        def record(is_alive: bool) -> None:
            if is_alive:
                self._record_answer()
                return
            for subject in self._subjects:
                self._deps.request_quarantine.record_broken_connection(
                    subject.digest,
                    runner,
                    sent.begun_at,
                    ended_at,
                    sent.opened.connected_at,
                )

        self._deps.crash_probes.when_known(runner, record)

    async def wait_for_probe(
        self, runner: fleet.Runner, ended: attempt.AttemptResult
    ) -> None:
        """Delays a retry until it is known whether the runner has crashed."""
        if ended.connection_lost:
            probe = self._deps.crash_probes.probe(runner)
            await asyncio.wait({probe.connected}, timeout=_PROBE_WAIT_S)
