"""Spreads updates from instance to instance, without the relays.

Decides what to send to whom; performs no I/O.
"""

from collections.abc import Callable

import msgspec

from pollenfork.loads import departures
from pollenfork.loads import edges
from pollenfork.loads import findings
from pollenfork.loads import gossip
from pollenfork.loads import members
from pollenfork.loads import messages
from pollenfork.loads import store_status

# Messages with the hosts to send them to.
Outgoing = list[tuple[str, messages.Message]]

# The least time between two forwardings of received suspicions, in seconds.
_FORWARD_SPACING_S = 0.02
# Interval, in seconds, at which one host of this data centre and one elsewhere
# receive a page of all known suspicions, in case they missed an update.
_PAGE_S = 1.0
# An instance that did nothing for this long, in seconds, may have missed
# updates and requests all suspicions, as it does at its start. Ticks come every
# 0.05 s.
_ABSENT_S = 1.0
# How often it repeats the request until it is answered, and for how long, in
# seconds.
_ASK_S = 0.25
_MAX_ASK_S = 5.0


class Disseminator:
    """Spreads the store's status, findings, departures and suspicions."""

    def __init__(
        self,
        me: messages.Member,
        roster: members.Roster,
        instance: edges.Instance,
    ) -> None:
        """Starts with nothing sent.

        Args:
            me: This instance.
            roster: The known members.
            instance: The state of this instance.
        """
        self._me = me
        self._observer = messages.hash_name(me.host.encode())
        self._instance = instance
        self._roster = roster
        self._gossip = gossip.Gossip(me, roster)
        self._outbox = findings.Outbox()
        self._departures = departures.Outbox(instance)
        self._page_at = 0.0
        self._ticked_at: float | None = None
        self._forwarded_at = 0.0
        self._received_at: float | None = None
        self._ask_at = 0.0
        self._ask_until = 0.0
        self._asked = False

    def tick(self, now: float) -> Outgoing:
        """Returns what to send in this tick."""
        outgoing: Outgoing = []
        outgoing += self._gossip.tick(
            self._instance.read_store_status(now), now
        )
        for own in self._instance.take_findings():
            finding = msgspec.structs.replace(
                own, data_centre=self._me.data_centre, observer=self._observer
            )
            self._outbox.take(finding, now)
        due = self._outbox.choose(now)
        if due:
            message = messages.Findings(self._me.data_centre, due)
            outgoing += [(host, message) for host in self._gossip.pick_fanout()]
        outgoing += self._spread_departures(now)
        return outgoing + self.flush_suspicions(now) + self._catch_up(now)

    def flush_departures(self) -> Outgoing:
        """Returns new announcements of leaving runners, to be sent at once."""
        return self._address_departures(
            self._departures.take_recent(), self._gossip.pick_fanout
        )

    def _spread_departures(self, now: float) -> Outgoing:
        due = self._departures.tick(now)
        return self._address_departures(
            due.recent, self._gossip.pick_fanout
        ) + self._address_departures(due.repeated, self._gossip.pick_pair)

    def _address_departures(
        self, announced: tuple[int, ...], pick: Callable[[], list[str]]
    ) -> Outgoing:
        if not announced:
            return []
        message = messages.Departures(self._me.data_centre, announced)
        return [(host, message) for host in pick()]

    def flush_suspicions(self, now: float) -> Outgoing:
        """Returns the new suspicions, to be sent at once."""
        updates = self._instance.take_suspicions(now)
        return (
            self._address(updates, self._gossip.pick_fanout())
            if updates
            else []
        )

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to send an update to."""
        return self._gossip.pick_fanout()

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one of another."""
        return self._gossip.pick_pair()

    def record_contact(self, host: str, now: float) -> None:
        """Notes that another instance has sent a message."""
        if (
            self._received_at is not None
            and now - self._received_at > _ABSENT_S
        ):
            self._ask_until = now + _MAX_ASK_S
        self._received_at = now

    def receive(
        self,
        message: messages.Gossip
        | messages.Findings
        | messages.Departures
        | messages.Suspicions,
        host: str,
        now: float,
    ) -> Outgoing:
        """Processes a message; returns what to send in turn."""
        if isinstance(message, messages.Findings):
            self._receive_findings(message, now)
            return []
        if isinstance(message, messages.Departures):
            self._instance.record_departures(message.incarnations)
            # Forwarded at once, it reaches all instances in a few hops.
            return self.flush_departures()
        if isinstance(message, messages.Suspicions):
            return self._receive_suspicions(message, host, now)
        store_status.receive(
            self._instance, message.status, message.echo, host, now
        )
        status = self._instance.read_store_status(now)
        answer = self._gossip.answer(message, status, now)
        return [] if answer is None else [(host, answer)]

    def _receive_findings(self, message: messages.Findings, now: float) -> None:
        for finding in message.findings:
            if self._outbox.take(finding, now):
                self._instance.record_finding(finding, now)

    def _receive_suspicions(
        self, message: messages.Suspicions, host: str, now: float
    ) -> Outgoing:
        if message.wants_all:
            outgoing: Outgoing = []
            for page in self._instance.list_suspicions(now):
                outgoing += self._address(page, [host])
            return outgoing
        if self._asked:
            self._ask_until = 0.0
            self._asked = False
        self._instance.record_instance_count(self._roster.size)
        self._instance.record_suspicions(message, host, now)
        # Forwarded at once, an update reaches all instances in a few hops. What
        # arrives close behind shares a datagram with the next ones.
        if now - self._forwarded_at < _FORWARD_SPACING_S:
            return []
        self._forwarded_at = now
        return self.flush_suspicions(now)

    def _catch_up(self, now: float) -> Outgoing:
        """Returns requests and pages that make up for lost messages."""
        outgoing: Outgoing = []
        last = self._ticked_at
        self._ticked_at = now
        if last is None or now - last > _ABSENT_S:
            self._ask_until = now + _MAX_ASK_S
        if self._ask_at <= now < self._ask_until:
            self._ask_at = now + _ASK_S
            request = messages.Suspicions("", wants_all=True)
            hosts = self._gossip.pick_fanout()
            outgoing += self._address(request, hosts)
            self._asked = bool(hosts)
        if now >= self._page_at:
            self._page_at = now + _PAGE_S
            page = self._instance.take_suspicions_page(now)
            if page is not None:
                outgoing += self._address(page, self._gossip.pick_pair())
        return outgoing

    def _address(
        self, message: messages.Suspicions, hosts: list[str]
    ) -> Outgoing:
        signed = msgspec.structs.replace(
            message, data_centre=self._me.data_centre
        )
        return [(host, signed) for host in hosts]
