"""Admission and dispatch composed: from a request to a granted slot."""

import concurrent.futures
import random
from typing import Any

import pykka

from pollenfork import clock
from pollenfork import ids
from pollenfork import timers
from pollenfork.admission import core as admission_core
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import core as dispatch_core
from pollenfork.dispatch import messages
from pollenfork.settings import messages as settings_messages

Decision = messages.Grant | admission_messages.Refused
Pending = concurrent.futures.Future[Decision]

_TICK_S = 0.1


class Scheduler:
    """The thread-safe front: requests go in, grants and refusals come out."""

    def __init__(
        self,
        instance: ids.InstanceId,
        now: clock.Clock,
        rng: random.Random,
        timer: timers.Timers,
    ) -> None:
        del rng
        self._instance = instance
        self._clock = now
        self._timers = timer
        self._actor: pykka.ActorRef | None = None

    def start(self) -> None:
        """Starts the actor that decides."""
        self._actor = _Actor.start(self._instance, self._clock)
        self._timers.every(_TICK_S, lambda: self.report(_Tick()))

    def stop(self) -> None:
        """Refuses what still waits and ends the actor."""
        if self._actor:
            self._actor.stop()

    def submit(self, ask: admission_messages.Ask) -> Pending:
        """Asks for a slot; the future gets exactly one decision."""
        pending: Pending = concurrent.futures.Future()
        self.report(_Submit(ask, pending))
        return pending

    def ask_again(self, again: messages.AskAgain) -> Pending:
        """Asks for another endpoint for an admitted request."""
        pending: Pending = concurrent.futures.Future()
        self.report(_Again(again, pending))
        return pending

    def report(self, event: Any) -> None:
        """Tells of an event; returns at once."""
        if self._actor:
            self._actor.tell(event)

    def read_pressure(self) -> messages.Pressure:
        """Returns what peers should know of this instance's load."""
        if not self._actor:
            return messages.Pressure(self._instance)
        pressure = self._actor.ask(_ReadPressure())
        assert isinstance(pressure, messages.Pressure)
        return pressure


class _Tick:
    pass


class _ReadPressure:
    pass


class _Submit:
    def __init__(self, ask: admission_messages.Ask, pending: Pending) -> None:
        self.ask = ask
        self.pending = pending


class _Again:
    def __init__(self, again: messages.AskAgain, pending: Pending) -> None:
        self.again = again
        self.pending = pending


class _Actor(pykka.ThreadingActor):
    def __init__(self, instance: ids.InstanceId, now: clock.Clock) -> None:
        super().__init__()
        self._instance = instance
        self._clock = now
        self._queue = admission_core.Queue()
        self._endpoints = dispatch_core.Endpoints(instance)
        self._pending: dict[ids.RequestId, Pending] = {}
        self._admitted: dict[ids.RequestId, admission_messages.Ask] = {}

    def on_receive(self, message: Any) -> Any:
        match message:
            case _Submit():
                self._submit(message)
            case _Again():
                self._ask_again(message)
            case messages.AttemptEnded():
                self._endpoints.end(message)
            case messages.RequestClosed():
                self._admitted.pop(message.request, None)
            case admission_messages.Withdrawn():
                self._withdraw(message)
            case messages.EndpointNotice():
                self._endpoints.note_state(message)
            case settings_messages.TreeInForce():
                self._endpoints.apply_tree(message.tree)
            case _ReadPressure():
                occupancies = self._endpoints.list_occupancies()
                return messages.Pressure(
                    self._instance, occupancies=occupancies
                )
        self._grant_waiting()
        return None

    def on_stop(self) -> None:
        reason = admission_messages.RefusalReason.STOPPING
        for request in list(self._pending):
            self._refuse(
                admission_messages.Refused(request=request, reason=reason)
            )

    def _submit(self, message: _Submit) -> None:
        ask = message.ask
        self._pending[ask.request] = message.pending
        refused: admission_messages.Refused | None
        if not self._endpoints.is_served(ask):
            reason = admission_messages.RefusalReason.NO_ENDPOINT
            refused = admission_messages.Refused(
                request=ask.request, reason=reason
            )
        else:
            refused = self._queue.add(ask)
        if refused:
            self._refuse(refused)

    def _ask_again(self, message: _Again) -> None:
        request = message.again.request
        ask = self._admitted.get(request)
        grant = ask and self._endpoints.grant(ask, message.again.avoid)
        if grant:
            message.pending.set_result(grant)
            return
        reason = admission_messages.RefusalReason.NO_ENDPOINT
        message.pending.set_result(
            admission_messages.Refused(request=request, reason=reason)
        )

    def _withdraw(self, message: admission_messages.Withdrawn) -> None:
        if self._queue.remove(message.request):
            reason = admission_messages.RefusalReason.CALLER_GONE
            self._refuse(
                admission_messages.Refused(
                    request=message.request, reason=reason
                )
            )

    def _grant_waiting(self) -> None:
        for refused in self._queue.take_expired(self._clock.monotonic()):
            self._refuse(refused)
        for ask in self._queue.list_in_order():
            grant = self._endpoints.grant(ask)
            if grant:
                self._queue.remove(ask.request)
                self._admitted[ask.request] = ask
                self._pending.pop(ask.request).set_result(grant)

    def _refuse(self, refused: admission_messages.Refused) -> None:
        self._pending.pop(refused.request).set_result(refused)
