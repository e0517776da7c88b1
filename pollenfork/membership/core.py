"""Membership decisions: who is there, whom to tell what, and when.

No I/O: time, chance and everything heard come in, actions go out.
"""

from collections.abc import Iterable
import random

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import actions
from pollenfork.membership import discovery
from pollenfork.membership import fetch_limiter
from pollenfork.membership import leaving_notices
from pollenfork.membership import liveness
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import periods
from pollenfork.membership import pressures
from pollenfork.membership import roster
from pollenfork.membership import summaries
from pollenfork.membership import targets
from pollenfork.membership import wire
from pollenfork.store import edges

_Status = messages.MemberStatus

LIST_PERIOD_S = 10.0
_PAUSE_S = 1.0
_FORGET_S = 2 * 3600.0
_NOTES_LIMIT = 32
_REFUTERS = 4


class Core:
    """The membership of one instance."""

    def __init__(
        self,
        identity: local_member.Identity,
        incarnation: ids.Incarnation,
        rng: random.Random,
        now: float,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self._me = local_member.LocalMember(identity, incarnation)
        self._rng = rng
        self._roster = roster.Roster()
        self._contacts = discovery.Discovery(
            identity.address, identity.data_centre, seeds
        )
        self._targets = targets.Targets(
            self._me, self._roster, self._contacts, now
        )
        self._notices = leaving_notices.LeavingNotices()
        self._encoder = pressures.PressureEncoder()
        self._answers: dict[ids.InstanceId, wire.MemberUpdate] = {}
        self._fetches = fetch_limiter.FetchLimiter()
        self._ticked_at = now
        self._heartbeat_at = now
        self._list_at = now
        self._last = self._compose(b"", now)
        self.summaries = summaries.Summaries(
            self._me,
            self._roster,
            self._contacts,
            self._notices,
            rng,
            now,
        )

    @property
    def incarnation(self) -> ids.Incarnation:
        """This instance's own; grows when an earlier life seems later."""
        return self._me.incarnation

    @property
    def period_s(self) -> float:
        """Seconds between two heartbeats, by members in the data centre."""
        return periods.compute_heartbeat_s(self._me.members)

    @property
    def heartbeat_at(self) -> float:
        """Monotonic seconds at which `beat` is due."""
        return self._heartbeat_at

    def tick(self, now: float) -> list[actions.Action]:
        """Checks for silence and starts what is due."""
        if self._me.left:
            return []
        gap = now - self._ticked_at
        if gap > _PAUSE_S:
            self._roster.discount_pause(gap)
        self._ticked_at = now
        found = _publish(self._roster.check_silence(now))
        self._me.members = 1 + sum(m.present for m in self._local_members())
        found.extend(self.summaries.start_due(now))
        if now >= self._list_at:
            self._list_at = now + LIST_PERIOD_S * self._rng.uniform(0.8, 1.2)
            self._roster.expire(now - _FORGET_S)
            self._notices.expire(now)
            found.append(actions.FetchList())
        return found

    def send_heartbeat(
        self,
        now: float,
        pressure: dispatch_messages.Pressure,
        revision: ids.Revision,
    ) -> list[actions.Action]:
        """Sends one heartbeat, with the pressure of the moment."""
        if self._me.left:
            return []
        self._me.revision = revision
        self._notices.record(pressure.leaving, now, remote=False)
        body = self._encoder.encode_delta(pressure, now)
        self._me.sequence += 1
        self._last = self._compose(body, now)
        self._answers.clear()
        self._heartbeat_at = max(self._heartbeat_at + self.period_s, now)
        return self._targets.plan_sends(self._last, self.period_s, now)

    def leave(self, now: float) -> list[actions.Action]:
        """Says goodbye, twice because datagrams get lost; nothing follows."""
        if self._me.left:
            return []
        self._me.left = True
        found: list[actions.Action] = []
        for _ in range(2):
            self._me.sequence += 1
            self._last = self._compose(b"", now)
            everyone = self._targets.list_addresses(now)
            found.append(actions.SendHeartbeat(everyone, self._last))
        return found + self.summaries.start_round(now)

    def receive_heartbeat(
        self, heartbeat: wire.Heartbeat, address: str, now: float
    ) -> list[actions.Action]:
        """Takes in a heartbeat; `address` is where it came from."""
        if not heartbeat.instance:
            return self._hear_short(heartbeat, address, now)
        if heartbeat.instance == self._me.identity.instance:
            return []
        if heartbeat.data_centre != self._me.identity.data_centre:
            return []
        newer, events = self._roster.receive(
            liveness.from_heartbeat(heartbeat, address), now
        )
        found = _publish(events)
        member = self._roster.find(heartbeat.instance)
        if member is None or not newer:
            self._answer_stale(heartbeat, address, now)
            return found
        if not member.present:
            return found
        found.extend(self._hear_pressure(member, heartbeat, now))
        found.extend(
            self._hear_leaving(heartbeat.leaving, member, now, remote=True)
        )
        for note in heartbeat.notes:
            found.extend(self._hear_note(note, now))
        return found

    def _hear_short(
        self, heartbeat: wire.Heartbeat, address: str, now: float
    ) -> list[actions.Action]:
        member = self._roster.find_at(address)
        if member is None or member.incarnation != heartbeat.incarnation:
            return []  # A heartbeat with names follows soon.
        named = msgspec.structs.replace(
            heartbeat,
            instance=member.instance,
            data_centre=member.data_centre,
        )
        return self.receive_heartbeat(named, address, now)

    def receive_state(
        self,
        instance: ids.InstanceId,
        heartbeat: wire.Heartbeat | None,
        now: float,
    ) -> list[actions.Action]:
        """Takes in the answer of `instance` to `FetchState`; None for none.

        A new instance thereby learns of members that its list lacks.
        """
        self._fetches.finish(instance)
        if heartbeat is None:
            return []
        member = self._roster.find(heartbeat.instance)
        if member is None or heartbeat.incarnation != member.incarnation:
            return []
        have = member.decoder.sequence
        if not member.present or (have and heartbeat.sequence <= have):
            return []
        found = self._apply_pressure(member, heartbeat, now)
        for note in heartbeat.notes:
            found.extend(self._hear_note(note, now))
        return found

    def receive_list(self, listed: Iterable[edges.ListedInstance]) -> None:
        """Takes in the platform's list, however stale it may be."""
        self._contacts.set_listed(listed)

    def compose_state(self) -> wire.Heartbeat:
        """Returns the last heartbeat with all pressure and all members."""
        members = self._local_members()
        return msgspec.structs.replace(
            self._last,
            pressure=self._encoder.encode_full(),
            notes=tuple(m.compose_note() for m in members if m.present),
        )

    def view(self, now: float) -> tuple[messages.MemberView, ...]:
        """Returns this instance and all others, sorted by name."""
        views = [member.compose_view(now) for member in self._roster]
        views.append(self._me.compose_view())
        return tuple(sorted(views, key=lambda view: view.instance))

    def _local_members(self) -> list[roster.Member]:
        centre = self._me.identity.data_centre
        return [m for m in self._roster if m.data_centre == centre]

    def _compose(self, body: bytes, now: float) -> wire.Heartbeat:
        return wire.Heartbeat(
            format=wire.FORMAT,
            instance=self._me.identity.instance,
            data_centre=self._me.identity.data_centre,
            incarnation=self._me.incarnation,
            sequence=self._me.sequence,
            period_ms=int(self.period_s * 1000),
            status=self._me.status,
            revision=self._me.revision,
            pressure=body,
            notes=tuple(self._compose_notes(now)),
            leaving=self._notices.list_relayed(now),
        )

    def _compose_notes(self, now: float) -> list[wire.MemberUpdate]:
        notes = list(self._answers.values())
        for member in self._local_members():
            recent = now - member.changed_at < 2 * self.period_s
            left = member.status is _Status.LEFT and recent
            suspected = member.status is _Status.SUSPECTED
            if suspected or (left and self._is_chosen()):
                notes.append(member.compose_note())
        return notes[:_NOTES_LIMIT]

    def _is_chosen(self) -> bool:
        """Lets about four of the members speak where all could."""
        return self._rng.random() < _REFUTERS / self._me.members

    def _answer_stale(
        self, heartbeat: wire.Heartbeat, address: str, now: float
    ) -> None:
        """Tells a restarted instance whose clock fell back what it was."""
        member = self._roster.find(heartbeat.instance)
        if member is None or heartbeat.status is _Status.LEFT:
            return
        stale = heartbeat.incarnation < member.incarnation
        same = heartbeat.incarnation == member.incarnation
        if stale or (same and member.status is _Status.LEFT):
            member.strange_at = now
            self._answers[member.instance] = member.compose_note()
            self._contacts.probe_now(address, now)

    def _hear_pressure(
        self, member: roster.Member, heartbeat: wire.Heartbeat, now: float
    ) -> list[actions.Action]:
        if not heartbeat.pressure:
            return []
        return self._apply_pressure(member, heartbeat, now)

    def _apply_pressure(
        self, member: roster.Member, heartbeat: wire.Heartbeat, now: float
    ) -> list[actions.Action]:
        decoded = member.decoder.apply(heartbeat.sequence, heartbeat.pressure)
        if decoded.is_err():
            failure = decoded.unwrap_err()
            report = actions.Report(member.instance, failure)
            return [report, *self._fetch_whole(member)]
        pressure = decoded.unwrap()
        heard = messages.PressureHeard(
            incarnation=member.incarnation,
            sequence=member.decoder.sequence or 0,
            pressure=pressure,
        )
        found: list[actions.Action] = [actions.Publish(heard)]
        return found + self._hear_leaving(
            pressure.leaving, member, now, remote=False
        )

    def _fetch_whole(self, member: roster.Member) -> list[actions.Action]:
        if not self._fetches.try_start(member.instance):
            return []
        return [actions.FetchState(member.instance, member.address)]

    def _hear_leaving(
        self,
        endpoints: tuple[ids.EndpointId, ...],
        member: roster.Member,
        now: float,
        *,
        remote: bool,
    ) -> list[actions.Action]:
        if not endpoints:
            return []
        news = self._notices.record(endpoints, now, remote=remote)
        return _publish(
            messages.EndpointLeavingHeard(
                endpoint=endpoint, heard_from=member.instance
            )
            for endpoint in news
        )

    def _hear_note(
        self, note: wire.MemberUpdate, now: float
    ) -> list[actions.Action]:
        if note.instance == self._me.identity.instance:
            self._me.receive_update(note)
            return []
        member = self._roster.find(note.instance)
        unheard = member is None or note.incarnation > member.incarnation
        if unheard and note.status in (_Status.LIVE, _Status.SUSPECTED):
            self._contacts.add_hint(note.address, now)
        if member is None or note.incarnation < member.incarnation:
            return []
        if note.status is _Status.LEFT:
            events = self._roster.mark_left(member, note.incarnation, now)
            return _publish(events)
        if note.incarnation > member.incarnation:
            return []
        if note.status is _Status.LIVE:
            events = self._roster.refute(member, note.sequence, now)
            return _publish(events)
        self._refute_for(member, note)
        return []

    def _refute_for(
        self, member: roster.Member, note: wire.MemberUpdate
    ) -> None:
        if member.status is not _Status.LIVE:
            return
        if member.known_sequence > note.sequence and self._is_chosen():
            self._answers[member.instance] = member.compose_note()


def _publish(events: Iterable[messages.Event]) -> list[actions.Action]:
    return [actions.Publish(event) for event in events]
