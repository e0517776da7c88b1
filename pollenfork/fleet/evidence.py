"""Failures of runners that instances observe and share with each other.

A crashed runner announces nothing, and its registry entry expires only seconds
later. Without sharing, each instance discovers the crash with its own callers'
requests: when a quarter of 59 runners crashed and 195 instances used them, 104
sends per crashed runner failed.
"""

import collections
from collections.abc import Callable
import logging

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import runner_state
from pollenfork.loads import messages

_LOG = logging.getLogger(__name__)

# How long other runners are preferred after another instance reported a runner
# unreachable, in seconds. The next instance to try it reports it again, so this
# costs a few sends per second whatever the number of instances, and a runner
# that recovers soon gets work again.
_AVOID_S = 0.8
# A connection timeout is believed if several instances report it within this
# time, in seconds: a lost packet makes one connection fail, rarely two to the
# same runner.
_AGREEMENT_S = 1.0
_MIN_REPORTS = 2
# The maximum number of own findings waiting to be sent, which is also what is
# kept if there is no peer to send them to. A busy instance has a few per second
# while runners are down.
_MAX_UNSENT = 200

Symptom = messages.Symptom


class Evidence:
    """Applies findings, and queues those of this instance for sending."""

    def __init__(
        self,
        runners: registry.Registry,
        get_state: Callable[[ids.EndpointId], runner_state.RunnerState],
        data_centre: ids.DataCentre,
    ) -> None:
        """Creates an empty queue of findings.

        Args:
            runners: The runners of all services.
            get_state: Returns this instance's state of a runner.
            data_centre: Where this instance runs.
        """
        self._runners = runners
        self._get_state = get_state
        self._data_centre = data_centre
        self._unsent: collections.deque[messages.Finding] = collections.deque(
            maxlen=_MAX_UNSENT
        )
        # Reports of connection timeouts and their times, by runner hash.
        self._timeouts: dict[int, dict[messages.Finding, float]] = {}
        self.counts: collections.Counter[Symptom] = collections.Counter()
        self._on_ended: list[Callable[[int, bool], None]] = []

    def when_ended(self, call: Callable[[int, bool], None]) -> None:
        """Registers a callback for runners that have ended.

        Either its address refuses connections or another runner answers there.
        The callback gets the runner's hash and whether this instance observed
        the end itself.
        """
        self._on_ended.append(call)

    def record(self, runner: model.Runner, symptom: Symptom) -> None:
        """Records a finding of this instance."""
        runner_hash = hash_runner(runner)
        self._unsent.append(messages.Finding(runner_hash, symptom))
        self._notify_ended(runner_hash, symptom, local=True)
        if symptom is Symptom.DISPLACED:
            self._get_state(runner.id).displaced_from = runner.address

    def take_findings(self) -> list[messages.Finding]:
        """Returns this instance's findings since the last call."""
        findings = list(self._unsent)
        self._unsent.clear()
        return findings

    def receive(self, finding: messages.Finding, now: float) -> None:
        """Applies a finding of another instance.

        Args:
            finding: What the other instance observed, and how long ago.
            now: Monotonic seconds.
        """
        self._notify_ended(finding.runner_hash, finding.symptom, local=False)
        runner = self._find_runner(finding.runner_hash)
        if runner is None:
            return
        if finding.symptom is Symptom.SILENT and not self._is_corroborated(
            finding, now
        ):
            return
        state = self._get_state(runner.id)
        before = state.avoid_until, state.displaced_from
        if finding.symptom is Symptom.DISPLACED:
            state.displaced_from = runner.address
        else:
            until = now - finding.age_s + _AVOID_S
            state.avoid_until = max(state.avoid_until, until)
        if before == (state.avoid_until, state.displaced_from):
            return
        self.counts[finding.symptom] += 1
        _LOG.info(
            "event=runner_found runner=%s sign=%s data_centre=%s age_ms=%d",
            runner.id,
            finding.symptom.name.lower(),
            finding.data_centre,
            finding.age_s * 1000,
        )

    def _notify_ended(
        self, runner_hash: int, symptom: Symptom, local: bool
    ) -> None:
        if symptom is not Symptom.SILENT:
            for call in self._on_ended:
                call(runner_hash, local)

    def _is_corroborated(self, finding: messages.Finding, now: float) -> bool:
        """Returns whether a timeout is due to the runner, not a network path.

        Two reporters in this data centre suffice, as they share this instance's
        network paths. Otherwise two data centres must agree, so that a single
        partitioned one isn't believed.
        """
        self._drop_expired(now)
        reports = self._timeouts.setdefault(finding.runner_hash, {})
        for earlier in [
            each for each in reports if each.observer == finding.observer
        ]:
            del reports[earlier]
        reports[finding] = now - finding.age_s
        local = [
            each for each in reports if each.data_centre == self._data_centre
        ]
        data_centres = {each.data_centre for each in reports}
        return len(local) >= _MIN_REPORTS or len(data_centres) >= _MIN_REPORTS

    def _drop_expired(self, now: float) -> None:
        for runner_hash, reports in list(self._timeouts.items()):
            for report, at in list(reports.items()):
                if now - at > _AGREEMENT_S:
                    del reports[report]
            if not reports:
                del self._timeouts[runner_hash]

    def _find_runner(self, runner_hash: int) -> model.Runner | None:
        for runner in self._runners.list_all():
            if hash_runner(runner) == runner_hash:
                return runner
        return None


def hash_runner(runner: model.Runner) -> int:
    """Returns the hash of a runner's incarnation and its address.

    Findings about an earlier address thus don't apply to a runner that has
    moved.
    """
    address = f" {runner.host}:{runner.port}".encode()
    return messages.hash_name(runner.incarnation.name + address)
