"""Decides which instance tells which other what; sends nothing itself.

Each instance reports to one relay of its data centre; the relays exchange
their sums, and each tells its reporters what all others have under way, and
how fresh its own knowledge of the configuration is. So an instance hears one
datagram a period at any size, only the relays' sums cross between data
centres, and only the relays need ask the store again and again.
"""

import collections
from collections.abc import Iterable

from pollenfork.loads import discovery
from pollenfork.loads import dissemination
from pollenfork.loads import edges
from pollenfork.loads import links
from pollenfork.loads import members
from pollenfork.loads import messages
from pollenfork.loads import proofs

# How often small changes of loads are told, in seconds.
PERIOD_S = 0.05
# The least time between two rounds of a relay, for each reporter, in seconds.
# A round costs it about 50 us of processor time a reporter, so this keeps it
# under 3% of a core at any size.
_ROUND_S = 0.002
_MEMBERS_S = 1.0
# What was told this long ago no longer counts, in seconds.
_EXPIRY_S = 1.3


class Exchange:
    """The exchange among instances, at one of them."""

    def __init__(
        self,
        me: messages.Address,
        data_centre: str,
        seeds: Iterable[messages.Address],
        instance: edges.Instance,
    ) -> None:
        """Starts alone.

        Args:
            me: Where this instance listens; ports are alike everywhere.
            data_centre: Where it runs.
            seeds: Instances that may know others.
            instance: Is asked and told.
        """
        self._me = me
        self._data_centre = data_centre
        self._instance = instance
        member = messages.Member(me.host, data_centre)
        self._roster = members.Roster(member)
        self._rumours = dissemination.Disseminator(
            member, self._roster, instance
        )
        self._greetings = discovery.Discovery(
            self._roster, data_centre, _EXPIRY_S
        )
        self.set_seeds(seeds)
        self._own: messages.LoadTable = {}
        self._reports: dict[str, links.ReceivedLoads] = {}
        self._sums: dict[str, links.ReceivedLoads] = {}
        self._others = links.ReceivedLoads({}, -_EXPIRY_S)
        self._others_teller = ""
        self._lines: dict[str, links.Link] = collections.defaultdict(links.Link)
        self._members_at = 0.0
        self._urgent = False
        self._round_at = 0.0

    def set_seeds(self, seeds: Iterable[messages.Address]) -> None:
        """Sets the instances to ask while no other is known."""
        hosts = {seed.host for seed in seeds}
        self._greetings.set_seeds(hosts - {self._me.host})

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
        """Takes that an instance doesn't answer a call."""
        self._roster.mark_unresponsive(host, now)

    def find_store_poller(self, now: float) -> str | None:
        """Returns the host that proves the configuration for all.

        One relay is enough, and all choose the same while they know of each
        other; one that hears of no proof proves for itself.
        """
        data_centres = [self._data_centre, *self._roster.list_elsewhere()]
        relays = [self._roster.find_relay(each, now) for each in data_centres]
        return min(filter(None, relays), default=None)

    def list_candidates(self, now: float) -> list[str]:
        """Returns all hosts in the order in which they should act for all.

        It is the same everywhere while all know of each other.
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

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to tell news."""
        return self._rumours.pick_fanout()

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one elsewhere."""
        return self._rumours.pick_pair()

    def read_age(self, now: float) -> float | None:
        """Returns how old the others' loads are in seconds; None: unknown.

        A relay's are as old as the oldest report or sum that it adds up.
        """
        if self.is_relay(now):
            heard = [*self._reports.values(), *self._sums.values()]
            return max((now - each.at for each in heard), default=None)
        age_s = now - self._others.at
        return None if age_s > _EXPIRY_S else age_s

    def read_others(self, now: float) -> messages.LoadTable:
        """Returns what all other instances have under way."""
        if self.is_relay(now):
            return links.subtract(self._add_up(), self._own)
        if now - self._others.at > _EXPIRY_S:
            return {}
        return self._others.loads

    @property
    def min_interval_s(self) -> float:
        """The least time between two calls of `tick`, in seconds."""
        return _ROUND_S * max(1, len(self._reports) + len(self._sums))

    def tick(self, now: float, urgent: bool = False) -> list[messages.Send]:
        """Returns what to send; call it once a period, or for urgent news.

        Args:
            now: Monotonic seconds.
            urgent: Whether this instance has placed a long prompt.
        """
        self._urgent = self._urgent or urgent
        self._own = self._instance.read_loads()
        placed = self._instance.take_placements()
        self._expire(now)
        sends = self._greet(now)
        sends += self._address_all(self._rumours.tick(now))
        relay = self.find_relay(now)
        if relay is not None and relay != self._me.host:
            sends += self._report(relay, placed, now)
        elif placed:
            self._spread(placed, None)
        if not self._relays(now):
            self._urgent = False
        elif now >= self._round_at:
            self._round_at = now + self.min_interval_s - _ROUND_S
            sends += self._relay(now)
            self._urgent = False
        return sends

    def receive(
        self, message: messages.Message, host: str, now: float
    ) -> list[messages.Send]:
        """Takes a message; returns what to answer."""
        self._rumours.note_heard(host, now)
        answers = self._take(message, host, now)
        self._greetings.note_heard(host, self._sums, now)
        return answers

    def _take(
        self, message: messages.Message, host: str, now: float
    ) -> list[messages.Send]:
        match message:
            case messages.Hello():
                self._note(host, message.data_centre, now)
                known = messages.Members(self._roster.list_sightings(now))
                return [self._address(host, known)]
            case messages.Members():
                for each in message.members:
                    self._roster.note(each.member, now - each.age_s)
            case messages.Report():
                self._note(host, message.data_centre, now)
                if host not in self._reports:
                    line = self._lines[host]
                    line.placed = self._instance.list_placements()
                heard = links.ReceivedLoads(message.loads, now, message.sent_at)
                self._reports[host] = heard
                self._urgent = self._urgent or message.urgent
                self._take_placed(message.placed, host)
                self._take_proof(message, host, now)
            case messages.DataCentreLoads():
                self._note(host, message.data_centre, now)
                self._roster.note_answer(host)
                if host not in self._sums:
                    line = self._lines[host]
                    line.placed = self._instance.list_local_placements()
                heard = links.ReceivedLoads(message.loads, now, message.sent_at)
                self._sums[host] = heard
                self._take_placed(message.placed, host)
                self._take_proof(message, host, now)
            case messages.OtherLoads():
                self._take_others(message, host, now)
            case (
                messages.Gossip() | messages.Findings() | messages.Suspicions()
            ):
                self._note(host, message.data_centre, now)
                return self._address_all(
                    self._rumours.receive(message, host, now)
                )
        return []

    def _take_others(
        self, message: messages.OtherLoads, host: str, now: float
    ) -> None:
        self._roster.note_answer(host)
        self._others = links.ReceivedLoads(message.loads, now, message.sent_at)
        self._others_teller = host
        self._instance.record_placements(message.placed)
        self._take_proof(message, host, now)

    def _take_proof(
        self,
        message: messages.Report
        | messages.DataCentreLoads
        | messages.OtherLoads,
        host: str,
        now: float,
    ) -> None:
        proofs.take(self._instance, message.proof, message.echo, host, now)

    def record_contact(self, data_centre: str, host: str, now: float) -> None:
        """Takes a sign of another instance beside the exchange."""
        self._note(host, data_centre, now)

    def flush_suspicions(self, now: float) -> list[messages.Send]:
        """Returns what to send at once of requests that end runners."""
        return self._address_all(self._rumours.flush_suspicions(now))

    # Reporting.

    def _report(
        self, relay: str, placed: list[messages.Placement], now: float
    ) -> list[messages.Send]:
        line = self._lines[relay]
        line.add_placed(placed)
        self._roster.note_asked(relay, now)
        if not links.is_due(line, self._own, now):
            return []
        report = messages.Report(
            self._data_centre,
            self._own,
            line.next_placed,
            now,
            self._urgent,
            self._instance.read_store_status(now),
            self._others.sent_at if self._others_teller == relay else 0.0,
        )
        line.note_told(self._own, now)
        return [self._address(relay, report)]

    # Relaying.

    def _relays(self, now: float) -> bool:
        return self.is_relay(now) or bool(self._reports)

    def _relay(self, now: float) -> list[messages.Send]:
        sends = []
        here = self._sum_here(now)
        for host in self._list_relays(now):
            self._roster.note_asked(host, now)
            sends += self._tell_sum(host, here, now)
        everyone = self._add_up()
        for host in self._reports:
            sends += self._answer_report(host, everyone, now)
        return sends + self._tell_members(now)

    def _tell_sum(
        self, host: str, here: messages.LoadTable, now: float
    ) -> list[messages.Send]:
        line = self._lines[host]
        proof = self._instance.read_store_status(now)
        news = links.has_news(line, proof)
        if not news and not links.is_due(line, here, now):
            return []
        line.proof = proof
        heard = self._sums.get(host)
        total = messages.DataCentreLoads(
            self._data_centre,
            here,
            line.next_placed,
            self._urgent,
            sent_at=now,
            echo=heard.sent_at if heard else 0.0,
            proof=proof,
        )
        line.note_told(here, now)
        return [self._address(host, total)]

    def _answer_report(
        self, host: str, total: messages.LoadTable, now: float
    ) -> list[messages.Send]:
        line = self._lines[host]
        others = links.subtract(total, self._reports[host].loads)
        proof = self._instance.read_store_status(now)
        news = links.has_news(line, proof)
        if not news and not links.is_due(line, others, now):
            return []
        line.proof = proof
        told = messages.OtherLoads(
            others,
            line.next_placed,
            self._reports[host].sent_at,
            proof,
            now,
        )
        line.note_told(others, now)
        return [self._address(host, told)]

    def _list_relays(self, now: float) -> list[str]:
        found = {host for host in self._sums if host not in self._reports}
        for data_centre in self._roster.list_elsewhere():
            relay = self._roster.find_relay(data_centre, now)
            if relay is not None:
                found.add(relay)
        return sorted(found)

    def _tell_members(self, now: float) -> list[messages.Send]:
        if now < self._members_at:
            return []
        self._members_at = now + _MEMBERS_S
        told = messages.Members(self._roster.list_sightings(now))
        hosts = {*self._reports, *self._list_relays(now)}
        return [self._address(host, told) for host in sorted(hosts)]

    def _sum_here(self, now: float) -> messages.LoadTable:
        tables = [heard.loads for heard in self._reports.values()]
        # An instance that reports elsewhere is counted there.
        if self.is_relay(now):
            tables.append(self._own)
        return links.add(tables)

    def _add_up(self) -> messages.LoadTable:
        """Returns what all instances have under way, this one included."""
        tables = [self._own]
        tables += [heard.loads for heard in self._sums.values()]
        tables += [heard.loads for heard in self._reports.values()]
        return links.add(tables)

    def _take_placed(
        self, placed: tuple[messages.Placement, ...], host: str
    ) -> None:
        if placed:
            self._instance.record_placements(placed)
            self._spread(placed, host)

    def _spread(
        self, placed: Iterable[messages.Placement], teller: str | None
    ) -> None:
        """Keeps placements for whoever hasn't heard of them.

        Relays tell each other only of their own reporters, so nothing goes
        round between them.
        """
        hosts = set(self._reports)
        if teller is None or teller in self._reports:
            hosts.update(self._sums)
        hosts.discard(teller or "")
        for host in hosts:
            self._lines[host].add_placed(placed)

    # Sending.

    def _greet(self, now: float) -> list[messages.Send]:
        if not self._greetings.is_due(now):
            return []
        hosts = self._greetings.choose(self.is_relay(now), self._sums, now)
        hello = messages.Hello(self._data_centre)
        return [self._address(host, hello) for host in hosts]

    def _address_all(self, told: dissemination.Outgoing) -> list[messages.Send]:
        return [self._address(host, message) for host, message in told]

    def _address(self, host: str, message: messages.Message) -> messages.Send:
        return messages.Send(messages.Address(host, self._me.port), message)

    def _note(self, host: str, data_centre: str, now: float) -> None:
        self._roster.note(messages.Member(host, data_centre), now)

    def _expire(self, now: float) -> None:
        for heard in (self._reports, self._sums):
            for host, each in list(heard.items()):
                if now - each.at > _EXPIRY_S:
                    del heard[host]
        self._roster.forget(now)
