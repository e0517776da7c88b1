"""The thread-safe front of admission and dispatch, and the actor behind."""

import concurrent.futures
import logging
import random
from typing import Any

import msgspec
import pykka

from pollenfork import clock
from pollenfork import decisions
from pollenfork import ids
from pollenfork import timers
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import budget
from pollenfork.dispatch import messages

_LOG = logging.getLogger(__name__)
_TICK_S = 0.05
_WAITING = 256

Pending = concurrent.futures.Future[decisions.Decision]
Counters = budget.Counters


class Scheduler:
    """Requests go in, grants and refusals come out; safe from any thread."""

    def __init__(
        self,
        instance: ids.InstanceId,
        now: clock.Clock,
        rng: random.Random,
        timer: timers.Timers,
        waiting: int = _WAITING,
    ) -> None:
        self._clock = now
        self._timers = timer
        self._core = decisions.Decisions(instance, rng, waiting)
        self._published = _Published(messages.Pressure(instance), Counters())
        self._actor: pykka.ActorRef[_Actor] | None = None

    def start(self) -> None:
        """Starts the actor that decides."""
        self._actor = _Actor.start(self._core, self._clock, self._published)
        self._timers.every(_TICK_S, lambda: self.report(_Tick()))

    def drain(self) -> None:
        """Refuses new requests; those that wait or run go on."""
        self.report(_Drain())

    def stop(self) -> None:
        """Refuses what still waits and ends the actor."""
        if self._actor:
            self._actor.stop()

    def submit(self, ask: admission_messages.Ask) -> Pending:
        """Asks for a slot; the future gets exactly one decision."""
        return self._send(ask.request, ask)

    def ask_again(self, again: messages.AskAgain) -> Pending:
        """Asks for another attempt for an admitted request."""
        return self._send(again.request, again)

    def report(self, event: Any) -> None:
        """Tells of an event; returns at once."""
        if self._actor is None:
            return
        try:
            self._actor.tell(event)
        except pykka.ActorDeadError:
            _LOG.debug("event=report_after_stop kind=%s", type(event).__name__)

    def read_pressure(self) -> messages.Pressure:
        """Returns what peers should know, as of the last tick."""
        return self._published.pressure

    def read_counters(self) -> Counters:
        """Returns a copy of the counters, as of the last tick."""
        return self._published.counters

    def _send(
        self,
        request: ids.RequestId,
        asked: admission_messages.Ask | messages.AskAgain,
    ) -> Pending:
        pending: Pending = concurrent.futures.Future()
        stopped = admission_messages.Refused(
            request=request, reason=admission_messages.RefusalReason.STOPPING
        )
        if self._actor is None:
            pending.set_result(stopped)
            return pending
        try:
            self._actor.tell(_Asked(asked, pending))
        except pykka.ActorDeadError:
            pending.set_result(stopped)
        return pending


class _Published:
    """What any thread may read; each attribute is replaced whole."""

    def __init__(self, pressure: messages.Pressure, counters: Counters) -> None:
        self.pressure = pressure
        self.counters = counters


class _Tick:
    """Time has passed."""


class _Drain:
    """New requests are refused from now on."""


class _Asked:
    """A request or its wish for another attempt, and who waits for it."""

    def __init__(
        self,
        asked: admission_messages.Ask | messages.AskAgain,
        pending: Pending,
    ) -> None:
        self.asked = asked
        self.pending = pending


class _Actor(pykka.ThreadingActor):
    """Owns the core; answers each future exactly once."""

    use_daemon_thread = True

    def __init__(
        self,
        core: decisions.Decisions,
        now: clock.Clock,
        published: _Published,
    ) -> None:
        super().__init__()
        self._core = core
        self._clock = now
        self._published = published
        self._pending: dict[ids.RequestId, Pending] = {}

    def on_receive(self, message: Any) -> None:
        """Takes one message and carries out what the core decides.

        An exception would end the actor, and with it the instance's service:
        a message that the core fails on is logged and left.
        """
        try:
            self._take(message, self._clock.monotonic())
        except Exception:
            kind = type(message).__name__
            _LOG.exception("event=scheduler_failed message=%s", kind)

    def _take(self, message: Any, now: float) -> None:
        match message:
            case _Asked():
                self._take_asked(message, now)
            case _Tick():
                self._answer(self._core.tick(now))
                self._publish(now)
            case _Drain():
                self._core.drain()
            case _:
                self._answer(self._core.report(message, now))

    def on_stop(self) -> None:
        """Refuses what still waits."""
        self._answer(self._core.refuse_all())

    def _take_asked(self, message: _Asked, now: float) -> None:
        asked = message.asked
        if asked.request in self._pending:
            _refuse_twin(asked.request, message.pending)
            return
        self._pending[asked.request] = message.pending
        try:
            self._answer(self._ask_core(asked, now))
        except Exception:
            self._answer(self._core.abandon(asked.request))
            raise

    def _ask_core(
        self, asked: admission_messages.Ask | messages.AskAgain, now: float
    ) -> list[decisions.Decision]:
        if isinstance(asked, admission_messages.Ask):
            return self._core.submit(asked, now)
        return self._core.ask_again(asked, now)

    def _answer(self, decided: list[decisions.Decision]) -> None:
        for decision in decided:
            pending = self._pending.pop(decision.request, None)
            if pending is not None:
                pending.set_result(decision)

    def _publish(self, now: float) -> None:
        self._published.pressure = self._core.read_pressure(now)
        self._published.counters = msgspec.structs.replace(
            self._core.counters,
            refusals=dict(self._core.counters.refusals),
            retries=dict(self._core.counters.retries),
        )


def _refuse_twin(request: ids.RequestId, pending: Pending) -> None:
    """Refuses a second wish while the first one is still open."""
    pending.set_result(
        admission_messages.Refused(
            request=request,
            reason=admission_messages.RefusalReason.HEDGE_UNWANTED,
        )
    )
