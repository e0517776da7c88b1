"""Exchanges datagrams with other instances."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
import logging
from typing import Any, cast

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import evidence
from pollenfork.gateway import cluster_state
from pollenfork.gateway import runner_notices
from pollenfork.gateway import settings
from pollenfork.gateway import updates
from pollenfork.loads import core
from pollenfork.loads import limit_messages
from pollenfork.loads import messages
from pollenfork.loads import reach_messages
from pollenfork.loads import room_messages
from pollenfork.loads import stream_messages
from pollenfork.poison import quarantine

_LOG = logging.getLogger(__name__)

_NONE = messages.Load()

# Messages for other parts of an instance than the exchange of loads.
_Handed = (
    messages.Tally
    | messages.HolderNotice
    | reach_messages.ReachMessage
    | room_messages.RoomUpdates
    | stream_messages.StreamMessage
    | limit_messages.LimitMessage
)

DutyMessage = messages.Tally | messages.HolderNotice


class LocalInstance:
    """This instance, as the peer exchange sees it."""

    def __init__(
        self,
        chooser: choice.Chooser,
        state: cluster_state.ClusterState,
        findings: evidence.Evidence,
        notices: runner_notices.RunnerNotices,
        request_quarantine: quarantine.Quarantine,
        data_centre: ids.DataCentre,
        update_exchange: updates.UpdateExchange,
    ) -> None:
        self._updates = update_exchange
        self._notices = notices
        self._quarantine = request_quarantine
        self._chooser = chooser
        self._state = state
        self._evidence = findings
        self._data_centre = data_centre

    def read_loads(self) -> messages.LoadTable:
        """Returns the load that this instance puts on runners."""
        return self._chooser.list_loads()

    def take_placements(self) -> list[messages.Placement]:
        """Returns the prompt parts placed on runners since the last call."""
        return self._chooser.take_placements()

    def record_placements(self, placed: Iterable[messages.Placement]) -> None:
        """Records the prompt parts that other instances have placed."""
        self._chooser.caches.apply(placed)

    def take_updates(self, now: float) -> messages.Updates:
        """Returns this instance's paces and planned returns to send now."""
        return self._updates.take(now)

    def record_updates(self, received: messages.Updates, now: float) -> None:
        """Records paces and planned returns of other instances."""
        self._updates.receive(received, now)

    def list_placements(self) -> list[messages.Placement]:
        """Returns all prompt parts that runners are believed to cache."""
        return self._chooser.caches.list_cached()

    def list_local_placements(self) -> list[messages.Placement]:
        """Returns the same for the runners of this data centre."""
        return self._chooser.list_cached_in(self._data_centre)

    def read_store_status(self, now: float) -> messages.StoreStatus | None:
        """Returns the known versions of the tables and how old they are."""
        return self._state.make_store_status(now)

    def record_store_status(
        self, status: messages.StoreStatus, moment: float, sender: str
    ) -> None:
        """Records the versions that a relay has proven to be current."""
        self._state.record_store_status(status, moment, sender)

    def record_store_answer(self, moment: float) -> None:
        """Records roughly when the store answered another instance."""
        self._state.record_store_answer(moment)

    def record_store_versions(
        self, status: messages.StoreStatus, sender: str
    ) -> None:
        """Records the versions that a reporter has read."""
        self._state.record_store_versions(status, sender)

    def take_findings(self) -> list[messages.Finding]:
        """Returns its findings about runners since the last call."""
        return self._evidence.take_findings()

    def record_finding(self, finding: messages.Finding, now: float) -> None:
        """Records another instance's finding about a runner."""
        self._evidence.receive(finding, now)

    def take_departures(self) -> list[int]:
        """Returns the runners newly known to leave, by incarnation hash."""
        return self._state.runners.take_departures()

    def list_departures(self) -> list[int]:
        """Returns those known to leave only by their own announcement."""
        return self._state.runners.list_departures()

    def record_departures(self, announced: Iterable[int]) -> None:
        """Records runners that announced to a peer that they leave."""
        self._notices.record_departures(announced)

    def take_suspicions(self, now: float) -> messages.Suspicions | None:
        """Returns new suspicions of requests that crash runners, if any."""
        return self._quarantine.take_updates(now)

    def take_suspicions_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next page of all its suspicions, if there are any."""
        return self._quarantine.take_page(now)

    def list_suspicions(self, now: float) -> list[messages.Suspicions]:
        """Returns all its suspicions, split into datagrams."""
        return self._quarantine.list_all(now)

    def record_suspicions(
        self, suspicions: messages.Suspicions, host: str, now: float
    ) -> None:
        """Records another instance's suspicions."""
        self._quarantine.receive_suspicions(suspicions, host, now)

    def record_instance_count(self, count: int) -> None:
        """Records how many instances are known, including this one."""
        self._quarantine.set_peer_count(count - 1)


class Peers(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of the exchange with other instances."""

    def __init__(
        self,
        instance: LocalInstance,
        config: settings.GatewaySettings,
        me: messages.Address,
    ) -> None:
        """Creates the exchange; `run` starts its periods.

        Args:
            instance: Provides and receives the state that is exchanged.
            config: The settings.
            me: The address at which datagrams arrive.
        """
        self._loop = asyncio.get_running_loop()
        self._exchange = core.Exchange(
            me,
            config.data_centre,
            config.seeds,
            instance,
            int(config.link_mbps),
        )
        self._me = me
        self._transport: asyncio.DatagramTransport | None = None
        self._others: messages.LoadTable = {}
        self._loads_received_at: float | None = None
        self._instances = 1
        self._relay: str | None = me.host
        self._ticked_at = 0.0
        self._urgent = False
        self._early_tick: asyncio.TimerHandle | None = None
        self._on_tick: list[Callable[[], None]] = []
        self._on_duty: list[Callable[[DutyMessage, str], None]] = []
        self._on_reach: list[
            Callable[[reach_messages.ReachMessage, str], None]
        ] = []
        self._on_rooms: list[
            Callable[[room_messages.RoomUpdates, str], None]
        ] = []
        self._on_limits: list[
            Callable[[limit_messages.LimitMessage, str], None]
        ] = []
        self._on_streams: list[
            Callable[[stream_messages.StreamMessage, str], None]
        ] = []

    def on_reach(
        self, callback: Callable[[reach_messages.ReachMessage, str], None]
    ) -> None:
        """Calls `callback` with queries for help and offers, and their host."""
        self._on_reach.append(callback)

    def on_rooms(
        self, callback: Callable[[room_messages.RoomUpdates, str], None]
    ) -> None:
        """Calls `callback` with refusals of brittle runners, and their host."""
        self._on_rooms.append(callback)

    def on_streams(
        self, callback: Callable[[stream_messages.StreamMessage, str], None]
    ) -> None:
        """Calls `callback` with messages about streams, and their host."""
        self._on_streams.append(callback)

    def set_seeds(self, seeds: Iterable[messages.Address]) -> None:
        """Sets the instances to contact while no other is known."""
        self._exchange.set_seeds(seeds)

    def prefer_capacity(self, preferred: bool) -> None:
        """Sets whether the instances that can send most relay first."""
        self._exchange.prefer_capacity(preferred)

    def when_ticked(self, callback: Callable[[], None]) -> None:
        """Calls `callback` each period."""
        self._on_tick.append(callback)

    def when_duty(self, callback: Callable[[DutyMessage, str], None]) -> None:
        """Calls `callback` with messages about duties, and their host."""
        self._on_duty.append(callback)

    def on_limits(
        self, callback: Callable[[limit_messages.LimitMessage, str], None]
    ) -> None:
        """Calls `callback` with messages about rate limits, and their host."""
        self._on_limits.append(callback)

    def send(self, host: str, message: messages.Message) -> None:
        """Sends one instance a message."""
        to = messages.Address(host, self._me.port)
        self._send_all([messages.Send(to, message)])

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all known hosts, or those of one data centre."""
        return self._exchange.list_hosts(data_centre)

    def list_members(self) -> dict[str, list[str]]:
        """Returns all known hosts by data centre, this one included."""
        return self._exchange.list_members()

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to send updates to."""
        return self._exchange.pick_fanout()

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one elsewhere."""
        return self._exchange.pick_pair()

    def list_candidates(self) -> list[str]:
        """Returns all hosts in the order of candidates for duty holder."""
        return self._exchange.list_candidates(self._loop.time())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        # The event loop's class isn't derived from the declared type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handles a datagram."""
        message = messages.decode(data)
        if message is None:
            _LOG.warning("event=datagram_unreadable host=%s", address[0])
            return
        now = self._loop.time()
        if self._hand_over(message, address[0], now):
            return
        self._send_all(self._exchange.receive(message, address[0], now))
        if isinstance(message, messages.OtherLoads):
            self._read_exchange(now)
        elif (
            isinstance(message, messages.Report | messages.DataCentreLoads)
            and message.urgent
        ):
            self._schedule_early_tick()

    def _hand_over(
        self, message: messages.Message, host: str, now: float
    ) -> bool:
        """Returns whether a message was for another part of this instance."""
        listeners = self._find_listeners(message)
        if listeners is None:
            return False
        for listener in listeners:
            listener(message, host)
        data_centre = cast(_Handed, message).data_centre
        self._exchange.record_contact(data_centre, host, now)
        return True

    def _find_listeners(
        self, message: messages.Message
    ) -> Sequence[Callable[[Any, str], None]] | None:
        """Returns who receives a message; None: the exchange itself does."""
        match message:
            case messages.Tally() | messages.HolderNotice():
                return self._on_duty
            case reach_messages.HelpQuery() | reach_messages.HelpOffer():
                return self._on_reach
            case room_messages.RoomUpdates():
                return self._on_rooms
            case _ if isinstance(message, stream_messages.StreamMessage):
                return self._on_streams
            case _ if isinstance(message, limit_messages.LimitMessage):
                return self._on_limits
        return None

    def error_received(self, error: Exception) -> None:
        """Ignores unreachable peers; the exchange times them out."""

    async def run(self) -> None:
        """Runs the periods of the exchange until cancelled."""
        while True:
            await asyncio.sleep(core.PERIOD_S)
            self._tick()
            for notify in self._on_tick:
                notify()

    def announce_soon(self) -> None:
        """Announces early that a long prompt was placed."""
        self._urgent = True
        self._schedule_early_tick()

    def flush_departures(self) -> None:
        """Sends new announcements of leaving runners immediately."""
        self._send_all(self._exchange.flush_departures())

    def flush_suspicions(self) -> None:
        """Sends suspicions of requests that crash runners immediately."""
        self._send_all(self._exchange.flush_suspicions(self._loop.time()))

    def _schedule_early_tick(self) -> None:
        """Starts a round as soon as the spacing of rounds allows."""
        if self._early_tick is not None:
            return
        due_at = self._ticked_at + self._exchange.min_interval_s
        self._early_tick = self._loop.call_at(due_at, self._tick)

    def _tick(self) -> None:
        if self._early_tick is not None:
            self._early_tick.cancel()
            self._early_tick = None
        now = self._ticked_at = self._loop.time()
        urgent, self._urgent = self._urgent, False
        self._send_all(self._exchange.tick(now, urgent))
        self._read_exchange(now)
        self._log_changes(now)

    def read_others(self, runner: int) -> messages.Load:
        """Returns the load that other instances put on a runner."""
        return self._others.get(runner, _NONE)

    @property
    def relays(self) -> bool:
        """Whether this instance is the relay of its data centre."""
        return self._relay == self._me.host

    def find_store_poller(self, now: float) -> messages.Address | None:
        """Returns another instance that polls the store for all, if any."""
        return self.locate(self._exchange.find_store_poller(now))

    @property
    def instances(self) -> int:
        """How many instances are known, including this one."""
        return self._exchange.instances

    def hears_others(self, now: float) -> bool:
        """Returns whether this relay hears what instances elsewhere know."""
        return self._exchange.hears_others(now)

    def expects_relays(self, now: float) -> bool:
        """Returns whether other relays that run answer this one at once."""
        return self._exchange.expects_relays(now)

    def greet_lost(self) -> None:
        """Greets instances that were lost in the next period."""
        self._exchange.greet_lost()

    def find_relay(self, now: float) -> messages.Address | None:
        """Returns the relay of this data centre; None for this instance."""
        return self.locate(self._exchange.find_relay(now))

    def pass_over(self, host: str) -> None:
        """Skips an instance that doesn't answer as a relay."""
        self._exchange.mark_unresponsive(host, self._loop.time())

    def locate(self, host: str | None) -> messages.Address | None:
        """Returns another instance's address; None for this one or no host."""
        if not host or host == self._me.host:
            return None
        return messages.Address(host, self._me.port)

    def read_age(self) -> float | None:
        """Returns the age of other instances' loads in seconds, if known."""
        if self._loads_received_at is None:
            return None
        return self._loop.time() - self._loads_received_at

    def _read_exchange(self, now: float) -> None:
        self._others = self._exchange.read_others(now)
        age_s = self._exchange.read_age(now)
        self._loads_received_at = None if age_s is None else now - age_s

    def _log_changes(self, now: float) -> None:
        if self._exchange.instances != self._instances:
            self._instances = self._exchange.instances
            _LOG.info("event=peers_known instances=%d", self._instances)
        relay = self._exchange.find_relay(now)
        if relay != self._relay:
            self._relay = relay
            _LOG.info("event=relay_changed relay=%s", relay or "-")

    def _send_all(self, sends: list[messages.Send]) -> None:
        if self._transport is None:
            return
        for each in sends:
            self._transport.sendto(messages.encode(each.message), each.to)
