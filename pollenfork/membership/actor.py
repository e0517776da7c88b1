"""The membership actor: owns the core and carries out its actions."""

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
    """Time has passed."""


class DatagramHeard(msgspec.Struct, frozen=True):
    """A datagram arrived from `address`."""

    body: bytes
    address: str


class StateFetched(msgspec.Struct, frozen=True):
    """A peer answered `FetchState`, or failed to."""

    instance: ids.InstanceId
    answer: transport.Answer


class SummaryAnswered(msgspec.Struct, frozen=True):
    """An instance of another data centre answered, or failed to."""

    address: str
    answer: transport.Answer


class ListFetched(msgspec.Struct, frozen=True):
    """The platform answered with its list, or failed to."""

    listed: Listed


class ServeState(msgspec.Struct, frozen=True):
    """A peer asks for the whole state."""


class ServeExchange(msgspec.Struct, frozen=True):
    """An instance of another data centre sent its summary."""

    body: bytes


class ListMembers(msgspec.Struct, frozen=True):
    """An operator asks who is there."""


class CountFailures(msgspec.Struct, frozen=True):
    """The metrics ask how often each kind of failure was met."""


class Leave(msgspec.Struct, frozen=True):
    """This instance stops."""


class Edges(msgspec.Struct, frozen=True):
    """What the actor reaches the world with."""

    clock: clock.Clock
    datagrams: datagrams.Datagrams
    client: transport.Client
    instance_list: edges.InstanceList
    read_pressure: Callable[[], dispatch_messages.Pressure]
    read_revision: Callable[[], ids.Revision]
    publish: Callable[[messages.Event], None]


class MembershipActor(pykka.ThreadingActor):
    """Owns one core; every entry to it is a message."""

    def __init__(self, membership: core.Core, outside: Edges) -> None:
        super().__init__()
        self._core = membership
        self._edges = outside
        self._failures: collections.Counter[str] = collections.Counter()
        self._fetcher = futures.ThreadPoolExecutor(1, "instance-list")
        self._fetching = False

    def on_receive(self, message: Any) -> Any:
        """Handles one message; a fault in one must not end the actor."""
        try:
            return self._handle(message)
        except Exception as error:
            self._count_fault(error, type(message).__name__)
            return None

    def on_stop(self) -> None:
        """Lets go of the thread that asks for the list."""
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
                self._hear(message, now)
        return None

    def _hear(self, message: Any, now: float) -> None:
        match message:
            case Time():
                self._spend_time(now)
            case DatagramHeard(body, address):
                self._hear_datagram(body, address, now)
            case StateFetched():
                self._hear_state(message, now)
            case SummaryAnswered():
                self._hear_summary(message, now)
            case ListFetched(listed):
                self._hear_list(listed)
            case Leave():
                self._carry_out(self._core.leave(now))

    def _spend_time(self, now: float) -> None:
        self._carry_out(self._core.tick(now))
        # The tick nearest to the due time sends; ticks divide the period.
        if now + self._edges.datagrams.tick_s / 2 >= self._core.heartbeat_at:
            pressure = self._edges.read_pressure()
            revision = self._edges.read_revision()
            self._carry_out(self._core.send_heartbeat(now, pressure, revision))
            period_s = self._core.period_s
            ticks = math.ceil(period_s / _TICK_MAX_S)
            self._edges.datagrams.tick_s = period_s / ticks

    def _hear_datagram(self, body: bytes, address: str, now: float) -> None:
        match wire.decode_heartbeat(body):
            case result.Ok(heartbeat):
                found = self._core.receive_heartbeat(heartbeat, address, now)
                self._carry_out(found)
            case result.Err(failure):
                self._count(failure, address)

    def _hear_state(self, message: StateFetched, now: float) -> None:
        answer = message.answer.and_then(wire.decode_heartbeat)
        if answer.is_err():
            self._count(answer.unwrap_err(), message.instance)
        found = self._core.receive_state(message.instance, answer.ok(), now)
        self._carry_out(found)

    def _hear_summary(self, message: SummaryAnswered, now: float) -> None:
        match message.answer.and_then(wire.decode_summary):
            case result.Ok(summary):
                self._carry_out(self._core.summaries.receive(summary, now))
            case result.Err(failure):
                self._count(failure, message.address)

    def _hear_list(self, listed: Listed) -> None:
        self._fetching = False
        match listed:
            case result.Ok(instances):
                self._core.receive_list(instances)
            case result.Err(failure):
                self._count(failure, "platform")

    def _serve_exchange(self, body: bytes, now: float) -> transport.Answer:
        match wire.decode_summary(body):
            case result.Ok(summary):
                self._carry_out(self._core.summaries.receive(summary, now))
                answer = self._core.summaries.compose(now)
                return result.Ok(wire.encode(answer))
            case result.Err(failure):
                self._count(failure, "exchange")
                return result.Err(failure)

    def _carry_out(self, found: list[actions.Action]) -> None:
        for action in found:
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
                    self._count(failure, instance)

    def _publish(self, event: messages.Event) -> None:
        if not isinstance(event, messages.PressureHeard):
            _LOG.info("event=%s what=%s", type(event).__name__, event)
        try:
            self._edges.publish(event)
        except Exception as error:
            self._count_fault(error, type(event).__name__)

    def _fetch_state(self, action: actions.FetchState) -> None:
        def hand_on(answer: transport.Answer) -> None:
            _tell(self.actor_ref, StateFetched(action.instance, answer))

        self._edges.client.fetch_state(action.address, hand_on)

    def _send_summary(self, action: actions.SendSummary) -> None:
        def hand_on(answer: transport.Answer) -> None:
            _tell(self.actor_ref, SummaryAnswered(action.address, answer))

        body = wire.encode(action.summary)
        self._edges.client.exchange(action.address, body, hand_on)

    def _fetch_list(self) -> None:
        if self._fetching:
            return
        self._fetching = True
        self._fetcher.submit(self._ask_platform)

    def _ask_platform(self) -> None:
        try:
            listed = self._edges.instance_list.fetch()
        except Exception as error:
            _LOG.exception("event=list_failed")
            listed = result.Err(platform_errors.Unanswered(detail=str(error)))
        _tell(self.actor_ref, ListFetched(listed))

    def _count_fault(self, error: Exception, during: str) -> None:
        self._failures[type(error).__name__] += 1
        _LOG.exception("event=membership_fault on=%s", during)

    def _count(self, failure: Any, whose: str) -> None:
        kind = type(failure).__name__
        self._failures[kind] += 1
        level = logging.INFO
        if isinstance(failure, errors.MissingBase):
            level = logging.DEBUG  # Each peer's first heartbeat has none.
        _LOG.log(
            level,
            "event=peer_failure kind=%s from=%s detail=%r",
            kind,
            whose,
            failure.detail,
        )


def _tell(actor: pykka.ActorRef, message: Any) -> None:
    try:
        actor.tell(message)
    except pykka.ActorDeadError:
        _LOG.debug("event=told_after_stop what=%s", type(message).__name__)
