"""Whom a heartbeat goes to, and who needs to be told the sender's name."""

import msgspec

from pollenfork import ids
from pollenfork.membership import actions
from pollenfork.membership import discovery
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import roster
from pollenfork.membership import wire

_Status = messages.MemberStatus
_LOST_PROBE_S = 2.0
_NAMED_EACH = 8
_SETTLED_PERIODS = 3


class Targets:
    """Addresses of members, of those lost, and of contacts."""

    def __init__(
        self,
        me: local_member.LocalMember,
        members: roster.Roster,
        addresses: discovery.Discovery,
        now: float,
    ) -> None:
        self._me = me
        self._members = members
        self._contacts = addresses
        self._probed_lost_at = now
        self._incarnation = me.incarnation
        self._named_until = _SETTLED_PERIODS  # A sequence.

    def list_addresses(self, now: float) -> tuple[str, ...]:
        """Returns every address that the next heartbeat goes to."""
        members = self._list_local()
        present = {member.address for member in members if member.present}
        found = sorted(present)
        found.extend(self._contacts.take_due_probes(present, now))
        if now - self._probed_lost_at >= _LOST_PROBE_S:
            self._probed_lost_at = now
            lost = {m.address for m in members if m.status is _Status.LOST}
            found.extend(sorted(lost - set(found)))
        return tuple(found)

    def plan_sends(
        self, heartbeat: wire.Heartbeat, period_s: float, now: float
    ) -> list[actions.Action]:
        """Leaves the names out towards members that must know them by now.

        Each eighth heartbeat has them for all, should that be wrong.
        """
        everyone = self.list_addresses(now)
        settled = self._list_settled(now - _SETTLED_PERIODS * period_s)
        short = tuple(a for a in everyone if a in settled)
        if not short or self._needs_names():
            return [actions.SendHeartbeat(everyone, heartbeat)]
        nameless = msgspec.structs.replace(
            heartbeat,
            instance=ids.InstanceId(""),
            data_centre=ids.DataCentre(""),
        )
        found: list[actions.Action] = [actions.SendHeartbeat(short, nameless)]
        if len(short) < len(everyone):
            rest = tuple(a for a in everyone if a not in settled)
            found.append(actions.SendHeartbeat(rest, heartbeat))
        return found

    def _needs_names(self) -> bool:
        sequence = self._me.sequence
        if self._incarnation != self._me.incarnation:
            self._incarnation = self._me.incarnation
            self._named_until = sequence + _SETTLED_PERIODS
        return sequence <= self._named_until or sequence % _NAMED_EACH == 0

    def _list_settled(self, before: float) -> set[str]:
        return {
            member.address
            for member in self._list_local()
            if member.status is _Status.LIVE
            and max(member.changed_at, member.strange_at) < before
        }

    def _list_local(self) -> list[roster.Member]:
        centre = self._me.identity.data_centre
        return [m for m in self._members if m.data_centre == centre]
