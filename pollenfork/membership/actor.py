"""The membership actor: owns the core and executes its actions."""

import collections
from collections.abc import Callable
from concurrent import futures
import logging
import math
from typing import Any

import msgspec
import pykka
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import actions
from pollenfork.membership import core
from pollenfork.membership import datagrams
from pollenfork.membership import errors
from pollenfork.membership import messages
from pollenfork.membership import transport
from pollenfork.membership import wire
from pollenfork.store import edges
from pollenfork.store import errors as platform_errors

_TICK_MAX_S = 0.25
_LOG = logging.getLogger(__name__)

Listed = result.Result[
    tuple[edges.ListedInstance, ...], platform_errors.PlatformFailure
]


class Time(msgspec.Struct, frozen=True):
    """Periodic timer message."""


class DatagramHeard(msgspec.Struct, frozen=True):
    """A datagram arrived from `address`."""

    body: bytes
    address: str


class StateFetched(msgspec.Struct, frozen=True):
    """The result of a `FetchState` call to a peer."""

    instance: ids.InstanceId
    answer: transport.Answer


class SummaryAnswered(msgspec.Struct, frozen=True):
    """The result of a summary exchange with another data centre."""

    address: str
    answer: transport.Answer


class ListFetched(msgspec.Struct, frozen=True):
    """The result of reading the platform's list of instances."""

    listed: Listed


class ServeState(msgspec.Struct, frozen=True):
    """A peer requests this instance's full state."""


class ServeExchange(msgspec.Struct, frozen=True):
    """An instance of another data centre sent its summary."""

    body: bytes


class ListMembers(msgspec.Struct, frozen=True):
    """Requests all known members, for operators."""


class CountFailures(msgspec.Struct, frozen=True):
    """Requests the number of failures by kind, for metrics."""


class Leave(msgspec.Struct, frozen=True):
    """Announces that this instance leaves."""


class Edges(msgspec.Struct, frozen=True):
    """The actor's external dependencies."""

    clock: clock.Clock
    datagrams: datagrams.Datagrams
    client: transport.Client
    instance_list: edges.InstanceList
    read_pressure: Callable[[], dispatch_messages.Pressure]
    read_revision: Callable[[], ids.Revision]
    publish: Callable[[messages.Event], None]


class MembershipActor(pykka.ThreadingActor):
    """Serializes all access to one core through its mailbox."""

    def __init__(self, membership: core.Core, outside: Edges) -> None:
        super().__init__()
        self._core = membership
        self._edges = outside
        self._failures: collections.Counter[str] = collections.Counter()
        self._fetcher = futures.ThreadPoolExecutor(1, "instance-list")
        self._fetching = False

    def on_receive(self, message: Any) -> Any:
        """Handles one message; an exception must not stop the actor."""
        try:
            return self._handle(message)
        except Exception as error:
            self._record_exception(error, type(message).__name__)
            return None

    def on_stop(self) -> None:
        """Shuts down the thread that reads the list of instances."""
        self._fetcher.shutdown(wait=False, cancel_futures=True)

    def _handle(self, message: Any) -> Any:
        now = self._edges.clock.monotonic()
        match message:
            case ServeState():
                return result.Ok(wire.encode(self._core.compose_state()))
            case ServeExchange(body):
                return self._serve_exchange(body, now)
            case ListMembers():
                return self._core.view(now)
            case CountFailures():
                return dict(self._failures)
            case _:
                self._receive(message, now)
        return None

    def _receive(self, message: Any, now: float) -> None:
        match message:
            case Time():
                self._handle_time(now)
            case DatagramHeard(body, address):
                self._receive_datagram(body, address, now)
            case StateFetched():
                self._receive_state(message, now)
            case SummaryAnswered():
                self._receive_summary(message, now)
            case ListFetched(listed):
                self._receive_list(listed)
            case Leave():
                self._execute(self._core.leave(now))

    def _handle_time(self, now: float) -> None:
        self._execute(self._core.tick(now))
        # Send on the tick nearest to the due time: ticks divide the period.
        if now + self._edges.datagrams.tick_s / 2 >= self._core.heartbeat_at:
            pressure = self._edges.read_pressure()
            revision = self._edges.read_revision()
            self._execute(self._core.send_heartbeat(now, pressure, revision))
            period_s = self._core.period_s
            ticks = math.ceil(period_s / _TICK_MAX_S)
            self._edges.datagrams.tick_s = period_s / ticks

    def _receive_datagram(self, body: bytes, address: str, now: float) -> None:
        match wire.decode_heartbeat(body):
            case result.Ok(heartbeat):
                planned = self._core.receive_heartbeat(heartbeat, address, now)
                self._execute(planned)
            case result.Err(failure):
                self._record_failure(failure, address)

    def _receive_state(self, message: StateFetched, now: float) -> None:
        answer = message.answer.and_then(wire.decode_heartbeat)
        if answer.is_err():
            self._record_failure(answer.unwrap_err(), message.instance)
        planned = self._core.receive_state(message.instance, answer.ok(), now)
        self._execute(planned)

    def _receive_summary(self, message: SummaryAnswered, now: float) -> None:
        match message.answer.and_then(wire.decode_summary):
            case result.Ok(summary):
                self._execute(self._core.summaries.receive(summary, now))
            case result.Err(failure):
                self._record_failure(failure, message.address)

    def _receive_list(self, listed: Listed) -> None:
        self._fetching = False
        match listed:
            case result.Ok(instances):
                self._core.receive_list(instances)
            case result.Err(failure):
                self._record_failure(failure, "platform")

    def _serve_exchange(self, body: bytes, now: float) -> transport.Answer:
        match wire.decode_summary(body):
            case result.Ok(summary):
                self._execute(self._core.summaries.receive(summary, now))
                answer = self._core.summaries.compose(now)
                return result.Ok(wire.encode(answer))
            case result.Err(failure):
                self._record_failure(failure, "exchange")
                return result.Err(failure)

    def _execute(self, planned: list[actions.Action]) -> None:
        for action in planned:
            match action:
                case actions.Publish(event):
                    self._publish(event)
                case actions.SendHeartbeat(addresses, heartbeat):
                    body = wire.encode(heartbeat)
                    self._edges.datagrams.send(body, addresses)
                case actions.FetchState():
                    self._fetch_state(action)
                case actions.SendSummary():
                    self._send_summary(action)
                case actions.FetchList():
                    self._fetch_list()
                case actions.Report(instance, failure):
                    self._record_failure(failure, instance)

    def _publish(self, event: messages.Event) -> None:
        if not isinstance(event, messages.PressureHeard):
            _LOG.info("event=%s what=%s", type(event).__name__, event)
        try:
            self._edges.publish(event)
        except Exception as error:
            self._record_exception(error, type(event).__name__)

    def _fetch_state(self, action: actions.FetchState) -> None:
        def on_answer(answer: transport.Answer) -> None:
            _tell(self.actor_ref, StateFetched(action.instance, answer))

        self._edges.client.fetch_state(action.address, on_answer)

    def _send_summary(self, action: actions.SendSummary) -> None:
        def on_answer(answer: transport.Answer) -> None:
            _tell(self.actor_ref, SummaryAnswered(action.address, answer))

        body = wire.encode(action.summary)
        self._edges.client.exchange(action.address, body, on_answer)

    def _fetch_list(self) -> None:
        if self._fetching:
            return
        self._fetching = True
        self._fetcher.submit(self._load_list)

    def _load_list(self) -> None:
        try:
            listed = self._edges.instance_list.fetch()
        except Exception as error:
            _LOG.exception("event=list_failed")
            listed = result.Err(platform_errors.Unanswered(detail=str(error)))
        _tell(self.actor_ref, ListFetched(listed))

    def _record_exception(self, error: Exception, during: str) -> None:
        self._failures[type(error).__name__] += 1
        _LOG.exception("event=membership_fault on=%s", during)

    def _record_failure(self, failure: Any, source: str) -> None:
        kind = type(failure).__name__
        self._failures[kind] += 1
        level = logging.INFO
        if isinstance(failure, errors.MissingBase):
            level = logging.DEBUG  # Expected for each peer's first heartbeat.
        _LOG.log(
            level,
            "event=peer_failure kind=%s from=%s detail=%r",
            kind,
            source,
            failure.detail,
        )


def _tell(actor: pykka.ActorRef, message: Any) -> None:
    try:
        actor.tell(message)
    except pykka.ActorDeadError:
        _LOG.debug("event=told_after_stop what=%s", type(message).__name__)
