"""What is known of the other entry instances, and which evidence wins.

Evidence is ordered by incarnation, then by the sequence of the heartbeat it
goes back to. Leaving is final for an incarnation. A lost member comes back
only with a later sequence, which only the living member can have produced.
"""

from collections.abc import Iterator

import msgspec

from pollenfork import ids
from pollenfork.membership import liveness
from pollenfork.membership import messages
from pollenfork.membership import pressures
from pollenfork.membership import wire

_Status = messages.MemberStatus
_PRESENT = (_Status.LIVE, _Status.SUSPECTED)


class Member(msgspec.Struct, kw_only=True):
    """One other entry instance.

    Attributes:
        sequence: The last heartbeat heard from the member itself.
        known_sequence: The last one that anyone is known to have heard.
        heard_at: Monotonic seconds of the last sign of life.
        changed_at: Monotonic seconds of the last change of status.
        strange_at: Monotonic seconds at which it last seemed not to know this
            instance.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    address: str
    revision: ids.Revision
    status: messages.MemberStatus
    sequence: int
    known_sequence: int
    heard_at: float
    changed_at: float
    silence_s: float
    removal_s: float
    strange_at: float = -1e9
    decoder: pressures.PressureDecoder

    def compose_view(self, now: float) -> messages.MemberView:
        """Returns what operators see of the member."""
        return messages.MemberView(
            instance=self.instance,
            incarnation=self.incarnation,
            data_centre=self.data_centre,
            address=self.address,
            status=self.status,
            revision=self.revision,
            heard_s_ago=now - self.heard_at,
        )

    @property
    def present(self) -> bool:
        """Whether the member counts: live, or suspected but not removed."""
        return self.status in _PRESENT

    def compose_note(self) -> wire.MemberUpdate:
        """Returns what this instance tells others of the member."""
        return wire.MemberUpdate(
            self.instance,
            self.incarnation,
            self.known_sequence,
            self.status,
            self.address,
        )


class Roster:
    """The other instances by name; turns evidence into events."""

    def __init__(self) -> None:
        self._members: dict[ids.InstanceId, Member] = {}
        self._names: dict[str, ids.InstanceId] = {}

    def find(self, instance: ids.InstanceId) -> Member | None:
        """Returns what is known of the instance, removed ones included."""
        return self._members.get(instance)

    def find_at(self, address: str) -> Member | None:
        """Returns the member last heard from the address."""
        name = self._names.get(address)
        return self._members.get(name) if name else None

    def __iter__(self) -> Iterator[Member]:
        """Yields every instance known, removed ones included."""
        return iter(self._members.values())

    def receive(
        self, evidence: liveness.Evidence, now: float
    ) -> tuple[bool, list[messages.Event]]:
        """Takes in a sign of a member.

        Returns:
            Whether the evidence was newer than what was known, and events.
        """
        member = self._members.get(evidence.instance)
        if member is None:
            return True, self._add(evidence, now)
        if evidence.incarnation < member.incarnation:
            return False, []
        if evidence.incarnation > member.incarnation:
            events = self._lose(member, now)
            return True, events + self._add(evidence, now)
        return self._advance(member, evidence, now)

    def mark_left(
        self, member: Member, incarnation: ids.Incarnation, now: float
    ) -> list[messages.Event]:
        """Records that the incarnation has left, whoever said it."""
        known = member.status is _Status.LEFT
        if known and incarnation <= member.incarnation:
            return []
        events: list[messages.Event] = []
        if member.present and incarnation == member.incarnation:
            left = messages.MemberLeft(
                instance=member.instance, incarnation=incarnation
            )
            events.append(left)
        elif member.present:
            events.extend(self._lose(member, now))
        member.incarnation = incarnation
        _set_status(member, _Status.LEFT, now)
        return events

    def refute(
        self, member: Member, sequence: int, now: float
    ) -> list[messages.Event]:
        """Ends a suspicion, as someone heard a later heartbeat."""
        if sequence <= member.known_sequence:
            return []
        if member.status is not _Status.SUSPECTED:
            return []
        member.known_sequence = sequence
        member.heard_at = now
        return self._confirm(member, now)

    def check_silence(self, now: float) -> list[messages.Event]:
        """Suspects silent members and removes those suspected for long."""
        events: list[messages.Event] = []
        for member in self._members.values():
            silent_s = now - member.heard_at
            suspected_s = now - member.changed_at
            if member.status is _Status.LIVE and silent_s >= member.silence_s:
                events.extend(_suspect(member, now))
            elif (
                member.status is _Status.SUSPECTED
                and suspected_s >= member.removal_s
            ):
                events.extend(self._lose(member, now))
        return events

    def discount_pause(self, seconds: float) -> None:
        """Doesn't count time in which this instance itself was paused."""
        for member in self._members.values():
            member.heard_at += seconds
            if member.status is _Status.SUSPECTED:
                member.changed_at += seconds

    def expire(self, before: float) -> None:
        """Drops those removed or left before a monotonic time."""
        old = [
            member.instance
            for member in self._members.values()
            if not member.present and member.changed_at < before
        ]
        for instance in old:
            self._names.pop(self._members[instance].address, None)
            del self._members[instance]

    def _add(
        self, evidence: liveness.Evidence, now: float
    ) -> list[messages.Event]:
        member = Member(
            instance=evidence.instance,
            incarnation=evidence.incarnation,
            data_centre=evidence.data_centre,
            address=evidence.address,
            revision=ids.Revision(0),
            status=evidence.status,
            sequence=evidence.sequence if evidence.direct else 0,
            known_sequence=evidence.sequence,
            heard_at=now,
            changed_at=now,
            silence_s=evidence.silence_s,
            removal_s=evidence.removal_s,
            decoder=pressures.PressureDecoder(evidence.instance),
        )
        self._members[evidence.instance] = member
        self._names[evidence.address] = evidence.instance
        if not member.present:
            return []
        member.status = _Status.LIVE
        return [_joined(member), *_take_revision(member, evidence)]

    def _advance(
        self, member: Member, evidence: liveness.Evidence, now: float
    ) -> tuple[bool, list[messages.Event]]:
        if member.status is _Status.LEFT:
            return False, []
        if evidence.status is _Status.LEFT:
            return True, self.mark_left(member, evidence.incarnation, now)
        if not _is_newer(member, evidence):
            return False, []
        if evidence.status is _Status.LOST:
            member.known_sequence = evidence.sequence
            return True, self._lose(member, now)
        _take_evidence(member, evidence, now)
        self._names[member.address] = member.instance
        events = self._confirm(member, now)
        return True, events + _take_revision(member, evidence)

    def _confirm(self, member: Member, now: float) -> list[messages.Event]:
        if member.status is _Status.LIVE:
            return []
        was = member.status
        _set_status(member, _Status.LIVE, now)
        if was is _Status.LOST:
            member.decoder = pressures.PressureDecoder(member.instance)
            member.revision = ids.Revision(0)  # Who lost it forgot that too.
            return [_joined(member)]
        return [
            messages.SuspicionRefuted(
                instance=member.instance, incarnation=member.incarnation
            )
        ]

    def _lose(self, member: Member, now: float) -> list[messages.Event]:
        if not member.present:
            return []
        _set_status(member, _Status.LOST, now)
        lost = messages.MemberLost(
            instance=member.instance, incarnation=member.incarnation
        )
        return [lost]


def _is_newer(member: Member, evidence: liveness.Evidence) -> bool:
    if evidence.direct:
        return evidence.sequence > member.sequence and (
            member.status is _Status.LIVE
            or evidence.sequence > member.known_sequence
        )
    if evidence.status is _Status.LOST:
        return evidence.sequence >= member.known_sequence
    return evidence.sequence > member.known_sequence


def _take_evidence(
    member: Member, evidence: liveness.Evidence, now: float
) -> None:
    if evidence.direct:
        member.sequence = evidence.sequence
    member.known_sequence = max(member.known_sequence, evidence.sequence)
    member.address = evidence.address
    member.heard_at = now
    member.silence_s = evidence.silence_s
    member.removal_s = evidence.removal_s


def _take_revision(
    member: Member, evidence: liveness.Evidence
) -> list[messages.Event]:
    if evidence.revision == member.revision:
        return []
    member.revision = evidence.revision
    return [
        messages.PeerRevision(
            instance=member.instance,
            address=member.address,
            revision=member.revision,
        )
    ]


def _suspect(member: Member, now: float) -> list[messages.Event]:
    _set_status(member, _Status.SUSPECTED, now)
    suspected = messages.MemberSuspected(
        instance=member.instance, incarnation=member.incarnation
    )
    return [suspected]


def _joined(member: Member) -> messages.MemberJoined:
    return messages.MemberJoined(
        instance=member.instance,
        incarnation=member.incarnation,
        data_centre=member.data_centre,
        address=member.address,
    )


def _set_status(
    member: Member, status: messages.MemberStatus, now: float
) -> None:
    member.status = status
    member.changed_at = now
