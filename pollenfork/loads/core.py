"""Decides what an instance sends to which other; performs no I/O.

Each instance reports its loads to one relay of its data centre. The relays
exchange the sums of their data centres, and each sends its reporters the loads
of all other instances and the state of the store that it knows. At any size an
instance thus receives one datagram a period, only the relays' sums cross
between data centres, and only the relays need to poll the store.
"""

import collections
from collections.abc import Iterable, Sequence

from pollenfork.loads import discovery
from pollenfork.loads import dissemination
from pollenfork.loads import edges
from pollenfork.loads import links
from pollenfork.loads import members
from pollenfork.loads import messages
from pollenfork.loads import store_status
from pollenfork.loads import updates

# Interval at which small changes of loads are sent, in seconds.
PERIOD_S = 0.05
# The least time between two rounds of a relay, for each of its links, in
# seconds. A round costs it about 50 us of processor time for each reporter, so
# this limits it to 3% of a core at any size.
_ROUND_S = 0.002
_MEMBERS_INTERVAL_S = 1.0
# Loads received longer ago than this are dropped, in seconds.
_EXPIRY_S = 1.3
# Messages by which an instance tells what it knows of the store.
_WITH_STATUS = (
    messages.Report,
    messages.DataCentreLoads,
    messages.OtherLoads,
    messages.Gossip,
)


class Exchange:
    """One instance's part in the exchange among all instances."""

    def __init__(
        self,
        me: messages.Address,
        data_centre: str,
        seeds: Iterable[messages.Address],
        instance: edges.Instance,
        capacity: int = 0,
    ) -> None:
        """Starts with no other instance known.

        Args:
            me: Where this instance listens; all instances use the same port.
            data_centre: Where it runs.
            seeds: Instances that may know others.
            instance: The state of this instance.
            capacity: How much it can send, in Mbit/s; 0: unknown.
        """
        self._me = me
        self._data_centre = data_centre
        self._instance = instance
        member = messages.Member(me.host, data_centre)
        self._roster = members.Roster(member, capacity)
        self._disseminator = dissemination.Disseminator(
            member, self._roster, instance
        )
        self._discovery = discovery.Discovery(
            self._roster, data_centre, _EXPIRY_S
        )
        self.set_seeds(seeds)
        self._own: messages.LoadTable = {}
        self._reports: dict[str, links.ReceivedLoads] = {}
        self._sums: dict[str, links.ReceivedLoads] = {}
        self._others = links.ReceivedLoads({}, -_EXPIRY_S)
        self._others_sender = ""
        self._links: dict[str, links.Link] = collections.defaultdict(links.Link)
        # When an instance of a data centre last told what it knows.
        self._status_heard_at: dict[str, float] = {}
        self._members_at = 0.0
        self._urgent = False
        self._round_at = 0.0

    def set_seeds(self, seeds: Iterable[messages.Address]) -> None:
        """Sets the instances to contact while no other is known."""
        hosts = {seed.host for seed in seeds}
        self._discovery.set_seeds(hosts - {self._me.host})

    def prefer_capacity(self, preferred: bool) -> None:
        """Sets whether the instances that can send most relay first."""
        self._roster.prefer_capacity(preferred)

    @property
    def instances(self) -> int:
        """The number of instances known, this one included."""
        return self._roster.size

    def find_relay(self, now: float) -> str | None:
        """Returns the host that relays for this data centre."""
        return self._roster.find_relay(self._data_centre, now)

    def is_relay(self, now: float) -> bool:
        """Returns whether this instance relays for its data centre."""
        return self.find_relay(now) == self._me.host

    def mark_unresponsive(self, host: str, now: float) -> None:
        """Notes that an instance doesn't answer a call."""
        self._roster.mark_unresponsive(host, now)

    def find_store_poller(self, now: float) -> str | None:
        """Returns the host that polls the store on behalf of all instances.

        One relay is enough, and all choose the same one while they know of
        each other; a relay that receives no store status polls by itself.
        """
        data_centres = [self._data_centre, *self._roster.list_elsewhere()]
        relays = [self._roster.find_relay(each, now) for each in data_centres]
        return min(filter(None, relays), default=None)

    def greet_lost(self) -> None:
        """Greets instances that were lost in the next tick."""
        self._discovery.hasten()

    def expects_relays(self, now: float) -> bool:
        """Returns whether other relays that run answer this one at once.

        Within a data centre, instances go on reporting to another relay for
        some seconds, and only gossip reaches one that starts.
        """
        elsewhere = bool(self._roster.ever_elsewhere)
        return self.is_relay(now) and (
            elsewhere or self._discovery.lacks_members
        )

    def hears_others(self, now: float) -> bool:
        """Returns whether this relay hears what instances elsewhere know.

        One other data centre is enough: its relay hears the others. Instances
        that report to a relay hear them through it alone, so this is false for
        them.
        """
        if not self.is_relay(now) or self._discovery.lacks_members:
            return False
        sources = set(self._roster.ever_elsewhere)
        if not sources and self._roster.list_hosts(True):
            sources.add(self._data_centre)
        return not sources or any(
            now - self._status_heard_at.get(each, 0.0) <= _EXPIRY_S
            for each in sources
        )

    def list_candidates(self, now: float) -> list[str]:
        """Returns all hosts in the order of preference for cluster-wide tasks.

        All instances derive the same order while they know of each other.
        """
        hosts = [self._me.host, *self._roster.list_hosts(True)]
        hosts += self._roster.list_hosts(False)
        ranked = sorted(
            hosts, key=lambda host: messages.hash_name(host.encode())
        )
        first = self.find_store_poller(now)
        if first is None:
            return ranked
        return [first, *(host for host in ranked if host != first)]

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all hosts known, or those of a data centre."""
        if data_centre is not None:
            return self._roster.list_hosts_in(data_centre)
        known = self._roster.list_hosts(True) + self._roster.list_hosts(False)
        return [self._me.host, *known]

    def list_members(self) -> dict[str, list[str]]:
        """Returns all hosts known by data centre, this one included."""
        return self._roster.list_by_data_centre()

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to send an update to."""
        return self._disseminator.pick_fanout()

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one of another."""
        return self._disseminator.pick_pair()

    def read_age(self, now: float) -> float | None:
        """Returns the age of the others' loads in seconds; None: unknown.

        For a relay it is the age of the oldest report or sum that it adds up.
        """
        if self.is_relay(now):
            received = [*self._reports.values(), *self._sums.values()]
            return max(
                (now - each.received_at for each in received), default=None
            )
        age_s = now - self._others.received_at
        return None if age_s > _EXPIRY_S else age_s

    def read_others(self, now: float) -> messages.LoadTable:
        """Returns the summed loads of all other instances."""
        if self.is_relay(now):
            return links.subtract(self._add_up(), self._own)
        if now - self._others.received_at > _EXPIRY_S:
            return {}
        return self._others.loads

    @property
    def min_interval_s(self) -> float:
        """The least time between two calls of `tick`, in seconds."""
        return _ROUND_S * max(1, len(self._reports) + len(self._sums))

    def tick(self, now: float, urgent: bool = False) -> list[messages.Send]:
        """Returns what to send; called each period, or for urgent changes.

        Args:
            now: Monotonic seconds.
            urgent: Whether this instance has placed a long prompt.
        """
        self._urgent = self._urgent or urgent
        self._own = self._instance.read_loads()
        placements = self._instance.take_placements()
        own = self._instance.take_updates(now)
        self._expire(now)
        sends = self._send_hellos(now)
        sends += self._address_all(self._disseminator.tick(now))
        relay = self.find_relay(now)
        if relay is not None and relay != self._me.host:
            self._links[relay].add_placements(placements)
            self._links[relay].queue.add(own, now)
            sends += self._report(relay, now)
        else:
            self._queue(placements, own, None, now)
        if not self._acts_as_relay(now):
            self._urgent = False
        elif now >= self._round_at:
            self._round_at = now + self.min_interval_s - _ROUND_S
            sends += self._relay(now)
            self._urgent = False
        return sends

    def receive(
        self, message: messages.Message, host: str, now: float
    ) -> list[messages.Send]:
        """Processes a message; returns what to send in turn."""
        self._disseminator.record_contact(host, now)
        answers = self._process(message, host, now)
        self._record_status_heard(message, host, now)
        self._discovery.record_contact(host, self._sums, now)
        return answers

    def _record_status_heard(
        self, message: messages.Message, host: str, now: float
    ) -> None:
        data_centre = self._roster.find_data_centre(host)
        if data_centre is not None and isinstance(message, _WITH_STATUS):
            self._status_heard_at[data_centre] = now

    def _process(
        self, message: messages.Message, host: str, now: float
    ) -> list[messages.Send]:
        match message:
            case messages.Hello():
                self._record_sighting(host, message.data_centre, now)
                known = messages.Members(self._roster.list_sightings(now))
                return [self._address(host, known)]
            case messages.Members():
                for each in message.members:
                    self._roster.record_sighting(each.member, now - each.age_s)
                    self._roster.record_capacity(
                        each.member.host, each.capacity
                    )
            case messages.Report():
                self._record_sighting(host, message.data_centre, now)
                self._roster.record_capacity(host, message.capacity)
                if host not in self._reports:
                    link = self._links[host]
                    link.placements = self._instance.list_placements()
                received = links.ReceivedLoads(
                    message.loads, now, message.sent_at
                )
                self._reports[host] = links.select_newer(
                    self._reports.get(host), received, _EXPIRY_S
                )
                self._urgent = self._urgent or message.urgent
                self._receive_news(message, host, now)
                self._receive_status(message, host, now)
            case messages.DataCentreLoads():
                self._record_sighting(host, message.data_centre, now)
                self._roster.record_answer(host)
                if host not in self._sums:
                    link = self._links[host]
                    link.placements = self._instance.list_local_placements()
                received = links.ReceivedLoads(
                    message.loads, now, message.sent_at
                )
                self._sums[host] = links.select_newer(
                    self._sums.get(host), received, _EXPIRY_S
                )
                self._receive_news(message, host, now)
                self._receive_status(message, host, now)
            case messages.OtherLoads():
                self._receive_others(message, host, now)
            case (
                messages.Gossip()
                | messages.Findings()
                | messages.Departures()
                | messages.Suspicions()
            ):
                self._record_sighting(host, message.data_centre, now)
                return self._address_all(
                    self._disseminator.receive(message, host, now)
                )
        return []

    def _receive_others(
        self, message: messages.OtherLoads, host: str, now: float
    ) -> None:
        self._roster.record_answer(host)
        received = links.ReceivedLoads(message.loads, now, message.sent_at)
        known = self._others if self._others_sender == host else None
        self._others = links.select_newer(known, received, _EXPIRY_S)
        self._others_sender = host
        self._instance.record_placements(message.placements)
        self._instance.record_updates(updates.limit(message.updates), now)
        self._receive_status(message, host, now)

    def _receive_status(
        self,
        message: messages.Report
        | messages.DataCentreLoads
        | messages.OtherLoads,
        host: str,
        now: float,
    ) -> None:
        store_status.receive(
            self._instance, message.status, message.echo, host, now
        )

    def record_contact(self, data_centre: str, host: str, now: float) -> None:
        """Notes a message of another instance that is handled elsewhere."""
        self._record_sighting(host, data_centre, now)

    def flush_departures(self) -> list[messages.Send]:
        """Returns new announcements of leaving runners, to be sent at once."""
        return self._address_all(self._disseminator.flush_departures())

    def flush_suspicions(self, now: float) -> list[messages.Send]:
        """Returns the new suspicions, to be sent at once."""
        return self._address_all(self._disseminator.flush_suspicions(now))

    # Reporting.

    def _report(self, relay: str, now: float) -> list[messages.Send]:
        link = self._links[relay]
        self._roster.record_request(relay, now)
        if not links.is_due(link, self._own, now):
            return []
        report = messages.Report(
            self._data_centre,
            self._own,
            link.next_placements,
            now,
            self._urgent,
            self._instance.read_store_status(now),
            self._others.sent_at if self._others_sender == relay else 0.0,
            link.queue.take(now),
            self._roster.told_capacity,
        )
        link.record_sent(self._own, now)
        return [self._address(relay, report)]

    # Relaying.

    def _acts_as_relay(self, now: float) -> bool:
        return self.is_relay(now) or bool(self._reports)

    def _relay(self, now: float) -> list[messages.Send]:
        sends = []
        local = self._add_local(now)
        for host in self._list_relays(now):
            self._roster.record_request(host, now)
            sends += self._send_sum(host, local, now)
        total = self._add_up()
        for host in self._reports:
            sends += self._answer_report(host, total, now)
        return sends + self._send_members(now)

    def _send_sum(
        self, host: str, local: messages.LoadTable, now: float
    ) -> list[messages.Send]:
        link = self._links[host]
        status = self._instance.read_store_status(now)
        changed = links.has_new_versions(link, status)
        if not changed and not links.is_due(link, local, now):
            return []
        link.status = status
        received = self._sums.get(host)
        message = messages.DataCentreLoads(
            self._data_centre,
            local,
            link.next_placements,
            self._urgent,
            sent_at=now,
            echo=received.sent_at if received else 0.0,
            status=status,
            updates=link.queue.take(now),
        )
        link.record_sent(local, now)
        return [self._address(host, message)]

    def _answer_report(
        self, host: str, total: messages.LoadTable, now: float
    ) -> list[messages.Send]:
        link = self._links[host]
        others = links.subtract(total, self._reports[host].loads)
        status = self._instance.read_store_status(now)
        changed = links.has_new_versions(link, status)
        if not changed and not links.is_due(link, others, now):
            return []
        link.status = status
        message = messages.OtherLoads(
            others,
            link.next_placements,
            self._reports[host].sent_at,
            status,
            now,
            link.queue.take(now),
        )
        link.record_sent(others, now)
        return [self._address(host, message)]

    def _list_relays(self, now: float) -> list[str]:
        found = {host for host in self._sums if host not in self._reports}
        for data_centre in self._roster.list_elsewhere():
            relay = self._roster.find_relay(data_centre, now)
            if relay is not None:
                found.add(relay)
        return sorted(found)

    def _send_members(self, now: float) -> list[messages.Send]:
        if now < self._members_at:
            return []
        self._members_at = now + _MEMBERS_INTERVAL_S
        message = messages.Members(self._roster.list_sightings(now))
        hosts = {*self._reports, *self._list_relays(now)}
        return [self._address(host, message) for host in sorted(hosts)]

    def _add_local(self, now: float) -> messages.LoadTable:
        """Returns the summed loads of this data centre's instances."""
        tables = [received.loads for received in self._reports.values()]
        # An instance that reports to another relay is counted there.
        if self.is_relay(now):
            tables.append(self._own)
        return links.add(tables)

    def _add_up(self) -> messages.LoadTable:
        """Returns the summed loads of all instances, this one included."""
        tables = [self._own]
        tables += [received.loads for received in self._sums.values()]
        tables += [received.loads for received in self._reports.values()]
        return links.add(tables)

    def _receive_news(
        self,
        message: messages.Report | messages.DataCentreLoads,
        host: str,
        now: float,
    ) -> None:
        received = updates.limit(message.updates)
        self._instance.record_placements(message.placements)
        self._instance.record_updates(received, now)
        self._queue(message.placements, received, host, now)

    def _queue(
        self,
        placements: Sequence[messages.Placement],
        news: messages.Updates,
        sender: str | None,
        now: float,
    ) -> None:
        """Queues placements and updates for all links whose hosts lack them.

        Relays pass on to each other only what comes from their own reporters,
        so that nothing circulates between them.
        """
        if not placements and news == updates.NONE:
            return
        hosts = set(self._reports)
        if sender is None or sender in self._reports:
            hosts.update(self._sums)
        hosts.discard(sender or "")
        for host in hosts:
            self._links[host].add_placements(placements)
            self._links[host].queue.add(news, now)

    # Sending.

    def _send_hellos(self, now: float) -> list[messages.Send]:
        if not self._discovery.is_due(now):
            return []
        hosts = self._discovery.choose(self.is_relay(now), self._sums, now)
        hello = messages.Hello(self._data_centre)
        return [self._address(host, hello) for host in hosts]

    def _address_all(
        self, outgoing: dissemination.Outgoing
    ) -> list[messages.Send]:
        return [self._address(host, message) for host, message in outgoing]

    def _address(self, host: str, message: messages.Message) -> messages.Send:
        return messages.Send(messages.Address(host, self._me.port), message)

    def _record_sighting(self, host: str, data_centre: str, now: float) -> None:
        self._roster.record_sighting(messages.Member(host, data_centre), now)

    def _expire(self, now: float) -> None:
        for received in (self._reports, self._sums):
            for host, each in list(received.items()):
                if now - each.received_at > _EXPIRY_S:
                    del received[host]
        self._roster.expire(now)
