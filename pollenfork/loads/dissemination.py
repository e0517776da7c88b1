"""What instances tell each other past the relays; sends nothing itself."""

import msgspec

from pollenfork.loads import edges
from pollenfork.loads import findings
from pollenfork.loads import gossip
from pollenfork.loads import members
from pollenfork.loads import messages
from pollenfork.loads import proofs

Outgoing = list[tuple[str, messages.Message]]

# How often one instance near and one far is told a part of all that speaks
# against requests, in seconds: who has missed the news hears it so.
_PAGE_S = 1.0
# An instance that did nothing for this long, in seconds, may have missed news
# and asks for all of it, as one that starts does. Rounds come every 0.05 s.
_ABSENT_S = 1.0
# How often it asks until it is told, and for how long, in seconds.
_ASK_S = 0.25
_ASKING_S = 5.0


class Disseminator:
    """News of the store, and of runners, from instance to instance."""

    def __init__(
        self,
        me: messages.Member,
        roster: members.Roster,
        instance: edges.Instance,
    ) -> None:
        """Starts with nothing told.

        Args:
            me: This instance.
            roster: The members known.
            instance: Is asked and told.
        """
        self._me = me
        self._witness = messages.hash_name(me.host.encode())
        self._instance = instance
        self._roster = roster
        self._gossip = gossip.Gossip(me, roster)
        self._outbox = findings.Outbox()
        self._page_at = 0.0
        self._ticked_at: float | None = None
        self._heard_at: float | None = None
        self._ask_at = 0.0
        self._ask_until = 0.0
        self._asked = False

    def tick(self, now: float) -> Outgoing:
        """Returns what to send in this period, by host."""
        told: Outgoing = []
        told += self._gossip.tick(self._instance.read_store_status(now), now)
        for own in self._instance.take_findings():
            finding = msgspec.structs.replace(
                own, data_centre=self._me.data_centre, observer=self._witness
            )
            self._outbox.take(finding, now)
        found = self._outbox.choose(now)
        if found:
            message = messages.Findings(self._me.data_centre, found)
            told += [(host, message) for host in self._gossip.pick_fanout()]
        return told + self.flush_suspicions(now) + self._catch_up(now)

    def flush_suspicions(self, now: float) -> Outgoing:
        """Returns what to tell at once of requests, by host."""
        news = self._instance.take_suspicions(now)
        return self._address(news, self._gossip.pick_fanout()) if news else []

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to tell news."""
        return self._gossip.pick_fanout()

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one elsewhere."""
        return self._gossip.pick_pair()

    def note_heard(self, host: str, now: float) -> None:
        """Takes a sign of another instance."""
        if self._heard_at is not None and now - self._heard_at > _ABSENT_S:
            self._ask_until = now + _ASKING_S
        self._heard_at = now

    def receive(
        self,
        message: messages.Gossip | messages.Findings | messages.Suspicions,
        host: str,
        now: float,
    ) -> Outgoing:
        """Takes a message; returns what to answer, by host."""
        if isinstance(message, messages.Findings):
            self._take_found(message, now)
            return []
        if isinstance(message, messages.Suspicions):
            return self._take_suspicions(message, host, now)
        proofs.take(self._instance, message.proof, message.echo, host, now)
        proof = self._instance.read_store_status(now)
        answer = self._gossip.answer(message, proof, now)
        return [] if answer is None else [(host, answer)]

    def _take_found(self, message: messages.Findings, now: float) -> None:
        for finding in message.found:
            if self._outbox.take(finding, now):
                self._instance.record_finding(finding, now)

    def _take_suspicions(
        self, message: messages.Suspicions, host: str, now: float
    ) -> Outgoing:
        if message.wants_all:
            told: Outgoing = []
            for page in self._instance.list_suspicions(now):
                told += self._address(page, [host])
            return told
        if self._asked:
            self._ask_until = 0.0
            self._asked = False
        self._instance.record_instance_count(self._roster.size)
        self._instance.record_suspicions(message, host, now)
        # Passed on as it comes, it is everywhere within a few ways.
        return self.flush_suspicions(now)

    def _catch_up(self, now: float) -> Outgoing:
        """Returns what repairs what was missed, here and elsewhere."""
        told: Outgoing = []
        last = self._ticked_at
        self._ticked_at = now
        if last is None or now - last > _ABSENT_S:
            self._ask_until = now + _ASKING_S
        if self._ask_at <= now < self._ask_until:
            self._ask_at = now + _ASK_S
            asking = messages.Suspicions("", wants_all=True)
            hosts = self._gossip.pick_fanout()
            told += self._address(asking, hosts)
            self._asked = bool(hosts)
        if now >= self._page_at:
            self._page_at = now + _PAGE_S
            page = self._instance.take_suspicions_page(now)
            if page is not None:
                told += self._address(page, self._gossip.pick_pair())
        return told

    def _address(
        self, message: messages.Suspicions, hosts: list[str]
    ) -> Outgoing:
        mine = msgspec.structs.replace(
            message, data_centre=self._me.data_centre
        )
        return [(host, mine) for host in hosts]
