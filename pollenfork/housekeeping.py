"""Runs slow periodic work outside the timers' thread."""

from collections.abc import Callable
import logging

import pykka

from pollenfork import timers

_LOG = logging.getLogger(__name__)


class _Run:
    pass


class Housekeeper:
    """Runs a blocking call periodically, never two at a time."""

    def __init__(
        self,
        timer: timers.Timers,
        period_s: float,
        call: Callable[[], object],
    ) -> None:
        self._timers = timer
        self._period_s = period_s
        self._call = call
        self._actor: pykka.ActorRef[_Runner] | None = None

    def start(self) -> None:
        """Starts the actor; the first call is made after one period."""
        self._actor = _Runner.start(self._call)
        self._timers.every(self._period_s, self._trigger, self._period_s)

    def stop(self) -> None:
        """Stops the actor after the current call."""
        if self._actor:
            self._actor.stop()

    def _trigger(self) -> None:
        # A message in the mailbox means that the current call is still running.
        if self._actor and self._actor.actor_inbox.empty():
            self._actor.tell(_Run())


class _Runner(pykka.ThreadingActor):
    use_daemon_thread = True

    def __init__(self, call: Callable[[], object]) -> None:
        super().__init__()
        self._call = call

    def on_receive(self, message: object) -> None:
        """Runs the call; exceptions are logged."""
        del message
        try:
            self._call()
        except Exception:
            _LOG.exception("event=housekeeping_failed")
