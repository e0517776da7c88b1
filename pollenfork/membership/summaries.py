"""Low-rate exchange of summaries with other data centres.

In each round, an instance exchanges summaries with one random instance of each
other data centre. The period grows with the members, so that a data centre is
updated about equally often at any size. Pressure isn't sent to other data
centres.
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

_DEPARTED_TTL_S = 60.0


class Summaries:
    """Sends this data centre's summary and applies those of others."""

    def __init__(
        self,
        local: local_member.LocalMember,
        members: roster.Roster,
        peer_discovery: discovery.Discovery,
        notices: leaving_notices.LeavingNotices,
        rng: random.Random,
        now: float,
    ) -> None:
        self._local = local
        self._members = members
        self._discovery = peer_discovery
        self._notices = notices
        self._corrections: dict[ids.InstanceId, wire.MemberUpdate] = {}
        self._rng = rng
        self._due_at = now + rng.random() * self.period_s

    @property
    def period_s(self) -> float:
        """Seconds between rounds; depends on this data centre's members."""
        return periods.compute_summary_s(self._local.members)

    def start_due(self, now: float) -> list[actions.Action]:
        """Starts a round if it is due."""
        if now < self._due_at:
            return []
        self._due_at = now + self.period_s * self._rng.uniform(0.8, 1.2)
        return self.start_round(now)

    def start_round(self, now: float) -> list[actions.Action]:
        """Sends this data centre's summary to every other data centre."""
        known: dict[ids.DataCentre, list[str]] = {}
        for member in self._members:
            if member.present and not self._is_local(member.data_centre):
                addresses = known.setdefault(member.data_centre, [])
                addresses.append(member.address)
        chosen = self._discovery.choose_remote(known, self._rng)
        if not chosen:
            return []
        summary = self.compose(now)
        return [actions.SendSummary(address, summary) for address in chosen]

    def compose(self, now: float) -> wire.Summary:
        """Returns this data centre's summary."""
        entries = [
            wire.Entry(self._local.compose_update(), self._local.revision)
        ]
        entries.extend(
            wire.Entry(member.compose_update(), member.revision)
            for member in self._members
            if self._is_local(member.data_centre)
            and (member.present or now - member.changed_at < _DEPARTED_TTL_S)
        )
        corrections = tuple(self._corrections.values())
        self._corrections.clear()
        identity = self._local.identity
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
        """Applies the summary of another data centre."""
        if self._is_local(summary.data_centre):
            return []
        events: list[messages.Event] = []
        for entry in summary.entries:
            if self._accepts_claims_about(entry.update.instance):
                evidence = liveness.from_summary_entry(
                    entry, summary.data_centre, self.period_s
                )
                events.extend(self._members.receive(evidence, now)[1])
                self._record_correction(entry.update)
        for update in summary.corrections:
            if update.instance == self._local.identity.instance:
                self._local.receive_update(update)
        added = self._notices.record(
            summary.leaving, now, remote=True, relay=True
        )
        events.extend(
            messages.EndpointLeavingHeard(
                endpoint=endpoint, heard_from=summary.instance
            )
            for endpoint in added
        )
        return [actions.Publish(event) for event in events]

    def _record_correction(self, update: wire.MemberUpdate) -> None:
        """Records a correction for a restarted member with a late clock.

        Its clock was set back, so that its incarnation is too low.
        """
        member = self._members.find(update.instance)
        if member and update.incarnation < member.incarnation:
            self._corrections[update.instance] = member.compose_update()

    def _accepts_claims_about(self, instance: ids.InstanceId) -> bool:
        """Returns whether other data centres may report on the instance.

        They may not for members of this data centre.
        """
        if instance == self._local.identity.instance:
            return False
        member = self._members.find(instance)
        return member is None or not self._is_local(member.data_centre)

    def _is_local(self, data_centre: ids.DataCentre) -> bool:
        return data_centre == self._local.identity.data_centre
