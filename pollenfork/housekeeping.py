"""Slow work that comes round again, off the timers' thread."""

from collections.abc import Callable
import logging

import pykka

from pollenfork import timers

_LOG = logging.getLogger(__name__)


class _Due:
    pass


class Housekeeper:
    """Runs one blocking call again and again, never twice at once."""

    def __init__(
        self,
        timer: timers.Timers,
        period_s: float,
        call: Callable[[], object],
    ) -> None:
        self._timers = timer
        self._period_s = period_s
        self._call = call
        self._actor: pykka.ActorRef[_Keeper] | None = None

    def start(self) -> None:
        """Starts the actor; the first call comes after one period."""
        self._actor = _Keeper.start(self._call)
        self._timers.every(self._period_s, self._tell, self._period_s)

    def stop(self) -> None:
        """Ends the actor after the call under way."""
        if self._actor:
            self._actor.stop()

    def _tell(self) -> None:
        # A mailbox with a message in it means that a call is under way.
        if self._actor and self._actor.actor_inbox.empty():
            self._actor.tell(_Due())


class _Keeper(pykka.ThreadingActor):
    use_daemon_thread = True

    def __init__(self, call: Callable[[], object]) -> None:
        super().__init__()
        self._call = call

    def on_receive(self, message: object) -> None:
        """Makes the call."""
        del message
        try:
            self._call()
        except Exception:
            _LOG.exception("event=housekeeping_failed")
