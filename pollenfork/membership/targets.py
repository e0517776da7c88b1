"""Recipients of heartbeats, and which of them need the sender's name."""

import msgspec

from pollenfork import ids
from pollenfork.membership import actions
from pollenfork.membership import discovery
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import roster
from pollenfork.membership import wire

_Status = messages.MemberStatus
_LOST_PROBE_INTERVAL_S = 2.0
_NAMED_INTERVAL = 8
_SETTLED_PERIODS = 3


class Targets:
    """Selects members, lost members and discovered addresses."""

    def __init__(
        self,
        local: local_member.LocalMember,
        members: roster.Roster,
        peer_discovery: discovery.Discovery,
        now: float,
    ) -> None:
        self._local = local
        self._members = members
        self._discovery = peer_discovery
        self._probed_lost_at = now
        self._incarnation = local.incarnation
        self._named_until = _SETTLED_PERIODS  # A heartbeat's sequence.

    def select_recipients(self, now: float) -> tuple[str, ...]:
        """Returns the next heartbeat's recipients, with probes that are due."""
        members = self._list_local()
        present = {member.address for member in members if member.present}
        selected = sorted(present)
        selected.extend(self._discovery.take_due_probes(present, now))
        if now - self._probed_lost_at >= _LOST_PROBE_INTERVAL_S:
            self._probed_lost_at = now
            lost = {m.address for m in members if m.status is _Status.LOST}
            selected.extend(sorted(lost - set(selected)))
        return tuple(selected)

    def plan_sends(
        self, heartbeat: wire.Heartbeat, period_s: float, now: float
    ) -> list[actions.Action]:
        """Plans a heartbeat, without names for members that know them.

        Every eighth heartbeat carries the names for all, in case a member
        doesn't know them after all.
        """
        recipients = self.select_recipients(now)
        settled = self._list_settled(now - _SETTLED_PERIODS * period_s)
        short = tuple(a for a in recipients if a in settled)
        if not short or self._needs_names():
            return [actions.SendHeartbeat(recipients, heartbeat)]
        nameless = msgspec.structs.replace(
            heartbeat,
            instance=ids.InstanceId(""),
            data_centre=ids.DataCentre(""),
        )
        planned: list[actions.Action] = [actions.SendHeartbeat(short, nameless)]
        if len(short) < len(recipients):
            rest = tuple(a for a in recipients if a not in settled)
            planned.append(actions.SendHeartbeat(rest, heartbeat))
        return planned

    def _needs_names(self) -> bool:
        sequence = self._local.sequence
        if self._incarnation != self._local.incarnation:
            self._incarnation = self._local.incarnation
            self._named_until = sequence + _SETTLED_PERIODS
        return sequence <= self._named_until or sequence % _NAMED_INTERVAL == 0

    def _list_settled(self, before: float) -> set[str]:
        return {
            member.address
            for member in self._list_local()
            if member.status is _Status.LIVE
            and max(member.changed_at, member.unrecognized_at) < before
        }

    def _list_local(self) -> list[roster.Member]:
        centre = self._local.identity.data_centre
        return [m for m in self._members if m.data_centre == centre]
