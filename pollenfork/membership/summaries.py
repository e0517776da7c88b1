"""The sparse exchange with other data centres.

Each instance meets one instance of each other data centre in a round, chosen
at random. The rounds get rarer as members grow, so that one data centre hears
another about as often at any size. Pressure stays at home.
"""

import random

from pollenfork import ids
from pollenfork.membership import actions
from pollenfork.membership import discovery
from pollenfork.membership import leaving_notices
from pollenfork.membership import liveness
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import periods
from pollenfork.membership import roster
from pollenfork.membership import wire

_TOLD_S = 60.0


class Summaries:
    """Tells other data centres of this one, and hears of them."""

    def __init__(
        self,
        me: local_member.LocalMember,
        members: roster.Roster,
        addresses: discovery.Discovery,
        leaving: leaving_notices.LeavingNotices,
        rng: random.Random,
        now: float,
    ) -> None:
        self._me = me
        self._members = members
        self._contacts = addresses
        self._notices = leaving
        self._corrections: dict[ids.InstanceId, wire.MemberUpdate] = {}
        self._rng = rng
        self._due_at = now + rng.random() * self.period_s

    @property
    def period_s(self) -> float:
        """Seconds between two rounds, by members in this data centre."""
        return periods.compute_summary_s(self._me.members)

    def start_due(self, now: float) -> list[actions.Action]:
        """Starts a round when its time has come."""
        if now < self._due_at:
            return []
        self._due_at = now + self.period_s * self._rng.uniform(0.8, 1.2)
        return self.start_round(now)

    def start_round(self, now: float) -> list[actions.Action]:
        """Sends this data centre's summary to each other one."""
        known: dict[ids.DataCentre, list[str]] = {}
        for member in self._members:
            if member.present and not self._is_local(member.data_centre):
                addresses = known.setdefault(member.data_centre, [])
                addresses.append(member.address)
        chosen = self._contacts.choose_remote(known, self._rng)
        if not chosen:
            return []
        summary = self.compose(now)
        return [actions.SendSummary(address, summary) for address in chosen]

    def compose(self, now: float) -> wire.Summary:
        """Returns what other data centres should know of this one."""
        entries = [wire.Entry(self._me.compose_note(), self._me.revision)]
        entries.extend(
            wire.Entry(member.compose_note(), member.revision)
            for member in self._members
            if self._is_local(member.data_centre)
            and (member.present or now - member.changed_at < _TOLD_S)
        )
        corrections = tuple(self._corrections.values())
        self._corrections.clear()
        identity = self._me.identity
        return wire.Summary(
            wire.FORMAT,
            identity.instance,
            identity.data_centre,
            tuple(entries),
            self._notices.list_local(now),
            corrections,
        )

    def receive(
        self, summary: wire.Summary, now: float
    ) -> list[actions.Action]:
        """Takes in what another data centre says of its members."""
        if self._is_local(summary.data_centre):
            return []
        events: list[messages.Event] = []
        for entry in summary.entries:
            if self._may_tell(entry.note.instance):
                evidence = liveness.from_summary_entry(
                    entry, summary.data_centre, self.period_s
                )
                events.extend(self._members.receive(evidence, now)[1])
                self._correct(entry.note)
        for note in summary.corrections:
            if note.instance == self._me.identity.instance:
                self._me.receive_update(note)
        news = self._notices.record(
            summary.leaving, now, remote=True, relay=True
        )
        events.extend(
            messages.EndpointLeavingHeard(
                endpoint=endpoint, heard_from=summary.instance
            )
            for endpoint in news
        )
        return [actions.Publish(event) for event in events]

    def _correct(self, note: wire.MemberUpdate) -> None:
        """Notes a restarted member whose clock fell back."""
        member = self._members.find(note.instance)
        if member and note.incarnation < member.incarnation:
            self._corrections[note.instance] = member.compose_note()

    def _may_tell(self, instance: ids.InstanceId) -> bool:
        """No other data centre is believed about this one's members."""
        if instance == self._me.identity.instance:
            return False
        member = self._members.find(instance)
        return member is None or not self._is_local(member.data_centre)

    def _is_local(self, data_centre: ids.DataCentre) -> bool:
        return data_centre == self._me.identity.data_centre
