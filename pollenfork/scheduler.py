"""Thread-safe interface to admission and dispatch, run by an actor."""

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
_DEFAULT_WAITING_LIMIT = 256

Pending = concurrent.futures.Future[decisions.Decision]
Counters = budget.Counters


class Scheduler:
    """Grants or refuses requests; thread-safe."""

    def __init__(
        self,
        instance: ids.InstanceId,
        now: clock.Clock,
        rng: random.Random,
        timer: timers.Timers,
        waiting: int = _DEFAULT_WAITING_LIMIT,
    ) -> None:
        self._clock = now
        self._timers = timer
        self._core = decisions.DecisionCore(instance, rng, waiting)
        self._snapshot = _Snapshot(messages.Pressure(instance), Counters())
        self._actor: pykka.ActorRef[_Actor] | None = None

    def start(self) -> None:
        """Starts the actor that makes the decisions."""
        self._actor = _Actor.start(self._core, self._clock, self._snapshot)
        self._timers.every(_TICK_S, lambda: self.report(_Tick()))

    def drain(self) -> None:
        """Refuses new requests; waiting and running ones continue."""
        self.report(_Drain())

    def stop(self) -> None:
        """Refuses the requests still waiting and stops the actor."""
        if self._actor:
            self._actor.stop()

    def submit(self, ask: admission_messages.Ask) -> Pending:
        """Requests a slot; the future receives exactly one decision."""
        return self._send(ask.request, ask)

    def ask_again(self, again: messages.AskAgain) -> Pending:
        """Requests another attempt for an admitted request."""
        return self._send(again.request, again)

    def report(self, event: Any) -> None:
        """Reports an event without blocking."""
        if self._actor is None:
            return
        try:
            self._actor.tell(event)
        except pykka.ActorDeadError:
            _LOG.debug("event=report_after_stop kind=%s", type(event).__name__)

    def read_pressure(self) -> messages.Pressure:
        """Returns the load to send to peers, as of the last tick."""
        return self._snapshot.pressure

    def read_counters(self) -> Counters:
        """Returns a copy of the counters, as of the last tick."""
        return self._snapshot.counters

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


class _Snapshot:
    """State readable from any thread; attributes are replaced, not changed."""

    def __init__(self, pressure: messages.Pressure, counters: Counters) -> None:
        self.pressure = pressure
        self.counters = counters


class _Tick:
    """Sent periodically so that the core handles the passage of time."""


class _Drain:
    """From this message on, new requests are refused."""


class _Asked:
    """A request for a first or further attempt, with its future."""

    def __init__(
        self,
        asked: admission_messages.Ask | messages.AskAgain,
        pending: Pending,
    ) -> None:
        self.asked = asked
        self.pending = pending


class _Actor(pykka.ThreadingActor):
    """Owns the core; resolves each future exactly once."""

    use_daemon_thread = True

    def __init__(
        self,
        core: decisions.DecisionCore,
        now: clock.Clock,
        snapshot: _Snapshot,
    ) -> None:
        super().__init__()
        self._core = core
        self._clock = now
        self._snapshot = snapshot
        self._pending: dict[ids.RequestId, Pending] = {}

    def on_receive(self, message: Any) -> None:
        """Handles a message and resolves the futures that the core decides.

        An exception would stop the actor, and with it the whole instance, so
        messages that make the core fail are logged and dropped.
        """
        try:
            self._handle(message, self._clock.monotonic())
        except Exception:
            kind = type(message).__name__
            _LOG.exception("event=scheduler_failed message=%s", kind)

    def _handle(self, message: Any, now: float) -> None:
        match message:
            case _Asked():
                self._handle_asked(message, now)
            case _Tick():
                self._resolve(self._core.tick(now))
                self._update_snapshot(now)
            case _Drain():
                self._core.drain()
            case _:
                self._resolve(self._core.report(message, now))

    def on_stop(self) -> None:
        """Refuses the requests still waiting."""
        self._resolve(self._core.refuse_all())

    def _handle_asked(self, message: _Asked, now: float) -> None:
        asked = message.asked
        if asked.request in self._pending:
            _refuse_duplicate(asked.request, message.pending)
            return
        self._pending[asked.request] = message.pending
        try:
            self._resolve(self._decide(asked, now))
        except Exception:
            self._resolve(self._core.abandon(asked.request))
            raise

    def _decide(
        self, asked: admission_messages.Ask | messages.AskAgain, now: float
    ) -> list[decisions.Decision]:
        if isinstance(asked, admission_messages.Ask):
            return self._core.submit(asked, now)
        return self._core.ask_again(asked, now)

    def _resolve(self, decisions_made: list[decisions.Decision]) -> None:
        for decision in decisions_made:
            pending = self._pending.pop(decision.request, None)
            if pending is not None:
                pending.set_result(decision)

    def _update_snapshot(self, now: float) -> None:
        self._snapshot.pressure = self._core.read_pressure(now)
        self._snapshot.counters = msgspec.structs.replace(
            self._core.counters,
            refusals=dict(self._core.counters.refusals),
            retries=dict(self._core.counters.retries),
        )


def _refuse_duplicate(request: ids.RequestId, pending: Pending) -> None:
    """Refuses a second attempt requested while the first is pending."""
    pending.set_result(
        admission_messages.Refused(
            request=request,
            reason=admission_messages.RefusalReason.HEDGE_UNWANTED,
        )
    )
