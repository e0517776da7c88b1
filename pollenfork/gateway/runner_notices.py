"""Applies what runners announce about themselves in their answers' heads."""

import collections
from collections.abc import Callable, Iterable
import logging

from pollenfork.fleet import model as fleet
from pollenfork.fleet import pauses
from pollenfork.fleet import registry
from pollenfork.gateway import brittle_runners
from pollenfork.gateway import messages

_LOG = logging.getLogger(__name__)


class RunnerNotices:
    """Receives the heads of all answers of runners.

    Attributes:
        counts: The number of heads by what they announce.
    """

    def __init__(
        self,
        runners: registry.Registry,
        requested_pauses: pauses.Pauses,
        clock: Callable[[], float],
        brittle: brittle_runners.BrittleRunners,
    ) -> None:
        """Creates an instance that has received no head.

        Args:
            runners: The runners of all services.
            requested_pauses: Receives the pauses that they request.
            clock: Returns monotonic seconds.
            brittle: Receives what they state about their brittleness.
        """
        self._brittle = brittle
        self._runners = runners
        self._pauses = requested_pauses
        self._clock = clock
        runners.when_restarted(
            lambda runner: requested_pauses.forget(runner.incarnation)
        )
        self._on_announced: list[Callable[[], None]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def on_head(
        self, runner: fleet.Runner, head: messages.ResponseHead
    ) -> None:
        """Handles the head of an answer.

        Args:
            runner: The runner that the request was sent to.
            head: The head.
        """
        if head.displaced:
            return  # Another runner answered at its address.
        self._brittle.record_statement(runner, head.brittle)
        if head.leaving:
            self._record_leaving(runner, head)
        pause = head.pause
        if not pause.well_formed:
            _LOG.warning(
                "event=pause_irregular runner=%s stated=%s",
                runner.id,
                _format(head.retry_after),
            )
        now = self._clock()
        if pause.seconds:
            self._record_pause(runner, pause.seconds, now)
        else:
            self._pauses.record_accepted(runner.incarnation, now)

    def when_announced(self, call: Callable[[], None]) -> None:
        """Registers a callback for runners that newly announce to leave."""
        self._on_announced.append(call)

    def record_departures(self, announced: Iterable[int]) -> None:
        """Applies the announcements that peers have received.

        Args:
            announced: Hashes of the runners' incarnations.
        """
        for each in announced:
            runner = self._runners.record_departure(each)
            if runner is not None:
                _LOG.info(
                    "event=leaving_announced runner=%s status=- way=peer",
                    runner,
                )

    def _record_leaving(
        self, runner: fleet.Runner, head: messages.ResponseHead
    ) -> None:
        self.counts["leaving"] += 1
        if not self._runners.announce_leaving(runner):
            return
        _LOG.info(
            "event=leaving_announced runner=%s status=%d way=answer",
            runner.id,
            head.status,
        )
        for call in self._on_announced:
            call()

    def _record_pause(
        self, runner: fleet.Runner, seconds: float, now: float
    ) -> None:
        self.counts["pause"] += 1
        known = self._runners.find(runner.id)
        if known is not None and known.is_restart_of(runner):
            return  # The answer is of an earlier incarnation.
        self._pauses.record(runner.incarnation, seconds, now)
        _LOG.info(
            "event=pause_requested runner=%s for_ms=%d",
            runner.id,
            seconds * 1000,
        )


def _format(stated: tuple[float | None, ...]) -> str:
    return ",".join("-" if each is None else f"{each:g}" for each in stated)
