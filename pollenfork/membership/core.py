"""Decision logic of the membership protocol.

Does no I/O: the caller passes in the time, the random generator and received
messages, and executes the actions that are returned.
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
_PAUSE_THRESHOLD_S = 1.0
_REMOVED_TTL_S = 2 * 3600.0
_MAX_UPDATES = 32
_EXPECTED_SPEAKERS = 4


class Core:
    """One instance's view of the cluster and its protocol state."""

    def __init__(
        self,
        identity: local_member.Identity,
        incarnation: ids.Incarnation,
        rng: random.Random,
        now: float,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self._local = local_member.LocalMember(identity, incarnation)
        self._rng = rng
        self._roster = roster.Roster()
        self._discovery = discovery.Discovery(
            identity.address, identity.data_centre, seeds
        )
        self._targets = targets.Targets(
            self._local, self._roster, self._discovery, now
        )
        self._notices = leaving_notices.LeavingNotices()
        self._encoder = pressures.PressureEncoder()
        self._replies: dict[ids.InstanceId, wire.MemberUpdate] = {}
        self._fetch_limiter = fetch_limiter.FetchLimiter()
        self._last_tick_at = now
        self._heartbeat_at = now
        self._next_list_at = now
        self._last_heartbeat = self._compose(b"", now)
        self.summaries = summaries.Summaries(
            self._local,
            self._roster,
            self._discovery,
            self._notices,
            rng,
            now,
        )

    @property
    def incarnation(self) -> ids.Incarnation:
        """This instance's incarnation.

        It is raised when peers know a later one from a previous run.
        """
        return self._local.incarnation

    @property
    def period_s(self) -> float:
        """Heartbeat period; depends on the members in the data centre."""
        return periods.compute_heartbeat_s(self._local.members)

    @property
    def heartbeat_at(self) -> float:
        """Monotonic seconds at which `send_heartbeat` is due."""
        return self._heartbeat_at

    def tick(self, now: float) -> list[actions.Action]:
        """Detects silent members and starts periodic work that is due."""
        if self._local.left:
            return []
        gap = now - self._last_tick_at
        if gap > _PAUSE_THRESHOLD_S:
            self._roster.discount_pause(gap)
        self._last_tick_at = now
        planned = _to_publish_actions(self._roster.check_silence(now))
        self._local.members = 1 + sum(m.present for m in self._local_members())
        planned.extend(self.summaries.start_due(now))
        if now >= self._next_list_at:
            self._next_list_at = now + LIST_PERIOD_S * self._rng.uniform(
                0.8, 1.2
            )
            self._roster.expire(now - _REMOVED_TTL_S)
            self._notices.expire(now)
            planned.append(actions.FetchList())
        return planned

    def send_heartbeat(
        self,
        now: float,
        pressure: dispatch_messages.Pressure,
        revision: ids.Revision,
    ) -> list[actions.Action]:
        """Sends one heartbeat with the current pressure."""
        if self._local.left:
            return []
        self._local.revision = revision
        self._notices.record(pressure.leaving, now, remote=False)
        delta = self._encoder.encode_delta(pressure, now)
        self._local.sequence += 1
        self._last_heartbeat = self._compose(delta, now)
        self._replies.clear()
        self._heartbeat_at = max(self._heartbeat_at + self.period_s, now)
        return self._targets.plan_sends(
            self._last_heartbeat, self.period_s, now
        )

    def leave(self, now: float) -> list[actions.Action]:
        """Announces the departure; nothing is sent afterwards.

        The last heartbeat is sent twice because datagrams may be lost.
        """
        if self._local.left:
            return []
        self._local.left = True
        planned: list[actions.Action] = []
        for _ in range(2):
            self._local.sequence += 1
            self._last_heartbeat = self._compose(b"", now)
            recipients = self._targets.select_recipients(now)
            planned.append(
                actions.SendHeartbeat(recipients, self._last_heartbeat)
            )
        return planned + self.summaries.start_round(now)

    def receive_heartbeat(
        self, heartbeat: wire.Heartbeat, address: str, now: float
    ) -> list[actions.Action]:
        """Processes a heartbeat that came from `address`."""
        if not heartbeat.instance:
            return self._receive_short(heartbeat, address, now)
        if heartbeat.instance == self._local.identity.instance:
            return []
        if heartbeat.data_centre != self._local.identity.data_centre:
            return []
        newer, events = self._roster.receive(
            liveness.from_heartbeat(heartbeat, address), now
        )
        planned = _to_publish_actions(events)
        member = self._roster.find(heartbeat.instance)
        if member is None or not newer:
            self._reply_to_stale(heartbeat, address, now)
            return planned
        if not member.present:
            return planned
        planned.extend(self._receive_pressure(member, heartbeat, now))
        planned.extend(
            self._record_leaving(heartbeat.leaving, member, now, remote=True)
        )
        for update in heartbeat.updates:
            planned.extend(self._receive_update(update, now))
        return planned

    def _receive_short(
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
        """Processes the answer of `instance` to `FetchState`; None for failure.

        A new instance also learns of members that its list lacks.
        """
        self._fetch_limiter.finish(instance)
        if heartbeat is None:
            return []
        member = self._roster.find(heartbeat.instance)
        if member is None or heartbeat.incarnation != member.incarnation:
            return []
        known_sequence = member.decoder.sequence
        if not member.present or (
            known_sequence and heartbeat.sequence <= known_sequence
        ):
            return []
        planned = self._apply_pressure(member, heartbeat, now)
        for update in heartbeat.updates:
            planned.extend(self._receive_update(update, now))
        return planned

    def receive_list(self, listed: Iterable[edges.ListedInstance]) -> None:
        """Updates the addresses from the platform's list, possibly stale."""
        self._discovery.set_listed(listed)

    def compose_state(self) -> wire.Heartbeat:
        """Returns the last heartbeat with full pressure and all members."""
        members = self._local_members()
        return msgspec.structs.replace(
            self._last_heartbeat,
            pressure=self._encoder.encode_full(),
            updates=tuple(m.compose_update() for m in members if m.present),
        )

    def view(self, now: float) -> tuple[messages.MemberView, ...]:
        """Returns this instance and all others, sorted by name."""
        views = [member.compose_view(now) for member in self._roster]
        views.append(self._local.compose_view())
        return tuple(sorted(views, key=lambda view: view.instance))

    def _local_members(self) -> list[roster.Member]:
        centre = self._local.identity.data_centre
        return [m for m in self._roster if m.data_centre == centre]

    def _compose(self, delta: bytes, now: float) -> wire.Heartbeat:
        return wire.Heartbeat(
            format=wire.FORMAT,
            instance=self._local.identity.instance,
            data_centre=self._local.identity.data_centre,
            incarnation=self._local.incarnation,
            sequence=self._local.sequence,
            period_ms=int(self.period_s * 1000),
            status=self._local.status,
            revision=self._local.revision,
            pressure=delta,
            updates=tuple(self._compose_updates(now)),
            leaving=self._notices.list_relayed(now),
        )

    def _compose_updates(self, now: float) -> list[wire.MemberUpdate]:
        updates = list(self._replies.values())
        for member in self._local_members():
            recent = now - member.changed_at < 2 * self.period_s
            left = member.status is _Status.LEFT and recent
            suspected = member.status is _Status.SUSPECTED
            if suspected or (left and self._is_sampled()):
                updates.append(member.compose_update())
        return updates[:_MAX_UPDATES]

    def _is_sampled(self) -> bool:
        """Returns whether this instance sends an update that all could send.

        True for about four members of the data centre on average.
        """
        return self._rng.random() < _EXPECTED_SPEAKERS / self._local.members

    def _reply_to_stale(
        self, heartbeat: wire.Heartbeat, address: str, now: float
    ) -> None:
        """Sends a restarted instance the later incarnation known of it.

        Its clock was set back, so that its new incarnation is the lower one.
        """
        member = self._roster.find(heartbeat.instance)
        if member is None or heartbeat.status is _Status.LEFT:
            return
        stale = heartbeat.incarnation < member.incarnation
        same = heartbeat.incarnation == member.incarnation
        if stale or (same and member.status is _Status.LEFT):
            member.unrecognized_at = now
            self._replies[member.instance] = member.compose_update()
            self._discovery.probe_now(address, now)

    def _receive_pressure(
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
            return [report, *self._fetch_full(member)]
        pressure = decoded.unwrap()
        pressure_heard = messages.PressureHeard(
            incarnation=member.incarnation,
            sequence=member.decoder.sequence or 0,
            pressure=pressure,
        )
        planned: list[actions.Action] = [actions.Publish(pressure_heard)]
        return planned + self._record_leaving(
            pressure.leaving, member, now, remote=False
        )

    def _fetch_full(self, member: roster.Member) -> list[actions.Action]:
        if not self._fetch_limiter.try_start(member.instance):
            return []
        return [actions.FetchState(member.instance, member.address)]

    def _record_leaving(
        self,
        endpoints: tuple[ids.EndpointId, ...],
        member: roster.Member,
        now: float,
        *,
        remote: bool,
    ) -> list[actions.Action]:
        if not endpoints:
            return []
        added = self._notices.record(endpoints, now, remote=remote)
        return _to_publish_actions(
            messages.EndpointLeavingHeard(
                endpoint=endpoint, heard_from=member.instance
            )
            for endpoint in added
        )

    def _receive_update(
        self, update: wire.MemberUpdate, now: float
    ) -> list[actions.Action]:
        if update.instance == self._local.identity.instance:
            self._local.receive_update(update)
            return []
        member = self._roster.find(update.instance)
        unknown = member is None or update.incarnation > member.incarnation
        if unknown and update.status in (_Status.LIVE, _Status.SUSPECTED):
            self._discovery.add_hint(update.address, now)
        if member is None or update.incarnation < member.incarnation:
            return []
        if update.status is _Status.LEFT:
            events = self._roster.mark_left(member, update.incarnation, now)
            return _to_publish_actions(events)
        if update.incarnation > member.incarnation:
            return []
        if update.status is _Status.LIVE:
            events = self._roster.refute(member, update.sequence, now)
            return _to_publish_actions(events)
        self._refute_suspicion(member, update)
        return []

    def _refute_suspicion(
        self, member: roster.Member, update: wire.MemberUpdate
    ) -> None:
        if member.status is not _Status.LIVE:
            return
        if member.known_sequence > update.sequence and self._is_sampled():
            self._replies[member.instance] = member.compose_update()


def _to_publish_actions(
    events: Iterable[messages.Event],
) -> list[actions.Action]:
    return [actions.Publish(event) for event in events]
