"""What instances have found out of runners by themselves, told to all.

A runner that crashes says nothing, and its entry lapses seconds later. Without
this each instance finds out at its own callers' expense: where a quarter of 59
runners crashed before 195 instances, 104 sends a runner came to nothing.
"""

import collections
from collections.abc import Callable
import logging

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import standing
from pollenfork.loads import messages

_LOG = logging.getLogger(__name__)

# Others go first for this long after a runner was found unreachable elsewhere,
# in seconds. Whoever tries it then tells all again, so it costs a few sends a
# second whatever the number of instances; one that is back soon takes work.
_PAUSE_S = 0.8
# Silence proves something where witnesses agree within this time, in seconds:
# a lost packet makes one connection fail, rarely two to the same runner.
_AGREED_S = 1.0
_WITNESSES = 2
# Own findings that wait to be told; where nobody is there to be told, as many
# stay. A busy instance makes a few a second while runners are down.
_FOUND_LIMIT = 200

Symptom = messages.Symptom


class Evidence:
    """Takes findings, and keeps those of this instance to be told."""

    def __init__(
        self,
        runners: registry.Registry,
        find_standing: Callable[[ids.EndpointId], standing.Standing],
        data_centre: ids.DataCentre,
    ) -> None:
        """Starts with nothing found.

        Args:
            runners: The runners of all services.
            find_standing: Returns what is known of a runner.
            data_centre: Where this instance runs.
        """
        self._runners = runners
        self._find_standing = find_standing
        self._data_centre = data_centre
        self._found: collections.deque[messages.Finding] = collections.deque(
            maxlen=_FOUND_LIMIT
        )
        # Who found a runner silent, and when, by its place.
        self._silent: dict[int, dict[messages.Finding, float]] = {}
        self.counts: collections.Counter[Symptom] = collections.Counter()
        self._on_ended: list[Callable[[int, bool], None]] = []

    def when_ended(self, call: Callable[[int, bool], None]) -> None:
        """Calls `call` with the mark of each runner that has ended.

        Nobody listens where it was, or another one answers there. The second
        argument is whether that was found here, and not told.
        """
        self._on_ended.append(call)

    def note(self, runner: model.Runner, sign: Symptom) -> None:
        """Takes what this instance has found."""
        place = mark(runner)
        self._found.append(messages.Finding(place, sign))
        self._tell_ended(place, sign, here=True)
        if sign is Symptom.DISPLACED:
            self._find_standing(runner.id).displaced_from = runner.address

    def take_findings(self) -> list[messages.Finding]:
        """Returns what this instance has found since the last call."""
        found = list(self._found)
        self._found.clear()
        return found

    def take(self, finding: messages.Finding, now: float) -> None:
        """Takes what another instance has found.

        Args:
            finding: What, and how long ago.
            now: Monotonic seconds.
        """
        self._tell_ended(finding.runner_hash, finding.symptom, here=False)
        runner = self._find_runner(finding.runner_hash)
        if runner is None:
            return
        if finding.symptom is Symptom.SILENT and not self._is_agreed(
            finding, now
        ):
            return
        seen = self._find_standing(runner.id)
        before = seen.shunned_until, seen.displaced_from
        if finding.symptom is Symptom.DISPLACED:
            seen.displaced_from = runner.address
        else:
            until = now - finding.age_s + _PAUSE_S
            seen.shunned_until = max(seen.shunned_until, until)
        if before == (seen.shunned_until, seen.displaced_from):
            return
        self.counts[finding.symptom] += 1
        _LOG.info(
            "event=runner_found runner=%s sign=%s data_centre=%s age_ms=%d",
            runner.id,
            finding.symptom.name.lower(),
            finding.data_centre,
            finding.age_s * 1000,
        )

    def _tell_ended(self, place: int, sign: Symptom, here: bool) -> None:
        if sign is not Symptom.SILENT:
            for call in self._on_ended:
                call(place, here)

    def _is_agreed(self, finding: messages.Finding, now: float) -> bool:
        """Returns whether a runner's silence isn't that of one way alone.

        Two witnesses of this data centre have the same ways as this instance;
        of others, two data centres must agree, so that one that is cut off
        doesn't speak for all.
        """
        self._forget_old(now)
        witnesses = self._silent.setdefault(finding.runner_hash, {})
        for known in [
            each for each in witnesses if each.observer == finding.observer
        ]:
            del witnesses[known]
        witnesses[finding] = now - finding.age_s
        near = [
            each for each in witnesses if each.data_centre == self._data_centre
        ]
        centres = {each.data_centre for each in witnesses}
        return len(near) >= _WITNESSES or len(centres) >= _WITNESSES

    def _forget_old(self, now: float) -> None:
        for place, witnesses in list(self._silent.items()):
            for known, at in list(witnesses.items()):
                if now - at > _AGREED_S:
                    del witnesses[known]
            if not witnesses:
                del self._silent[place]

    def _find_runner(self, place: int) -> model.Runner | None:
        for runner in self._runners.list_all():
            if mark(runner) == place:
                return runner
        return None


def mark(runner: model.Runner) -> int:
    """Returns what stands for a runner's start at its address.

    One that has moved isn't meant by what was found at its address before.
    """
    address = f" {runner.host}:{runner.port}".encode()
    return messages.hash_name(runner.incarnation.name + address)
