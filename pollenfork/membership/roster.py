"""State of the other entry instances, and precedence of evidence.

Evidence is ordered by incarnation, then by the sequence of the heartbeat that
it derives from. Leaving is final for an incarnation. A lost member comes back
only with a later sequence, which only a running member can have produced.
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
        sequence: Of the last heartbeat received from the member itself.
        known_sequence: Of the last one that any instance is known to have
            received.
        last_seen_at: Monotonic seconds of the last evidence that it is alive.
        changed_at: Monotonic seconds of the last change of status.
        unrecognized_at: Monotonic seconds at which the member last seemed not
            to know this instance.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    address: str
    revision: ids.Revision
    status: messages.MemberStatus
    sequence: int
    known_sequence: int
    last_seen_at: float
    changed_at: float
    silence_timeout_s: float
    removal_timeout_s: float
    unrecognized_at: float = -1e9
    decoder: pressures.PressureDecoder

    def compose_view(self, now: float) -> messages.MemberView:
        """Returns the member's state for operators."""
        return messages.MemberView(
            instance=self.instance,
            incarnation=self.incarnation,
            data_centre=self.data_centre,
            address=self.address,
            status=self.status,
            revision=self.revision,
            heard_s_ago=now - self.last_seen_at,
        )

    @property
    def present(self) -> bool:
        """Whether the member is live, or suspected but not removed."""
        return self.status in _PRESENT

    def compose_update(self) -> wire.MemberUpdate:
        """Returns the member's state to send to others."""
        return wire.MemberUpdate(
            self.instance,
            self.incarnation,
            self.known_sequence,
            self.status,
            self.address,
        )


class Roster:
    """Tracks the other instances and turns evidence into events."""

    def __init__(self) -> None:
        self._members: dict[ids.InstanceId, Member] = {}
        self._by_address: dict[str, ids.InstanceId] = {}

    def find(self, instance: ids.InstanceId) -> Member | None:
        """Returns the member of that name, even if it was removed."""
        return self._members.get(instance)

    def find_at(self, address: str) -> Member | None:
        """Returns the member that last used the address."""
        instance = self._by_address.get(address)
        return self._members.get(instance) if instance else None

    def __iter__(self) -> Iterator[Member]:
        """Iterates over all members, including removed ones."""
        return iter(self._members.values())

    def receive(
        self, evidence: liveness.Evidence, now: float
    ) -> tuple[bool, list[messages.Event]]:
        """Applies evidence about a member.

        Returns:
            Whether the evidence was newer than the known state, and events.
        """
        member = self._members.get(evidence.instance)
        if member is None:
            return True, self._add(evidence, now)
        if evidence.incarnation < member.incarnation:
            return False, []
        if evidence.incarnation > member.incarnation:
            events = self._mark_lost(member, now)
            return True, events + self._add(evidence, now)
        return self._update(member, evidence, now)

    def mark_left(
        self, member: Member, incarnation: ids.Incarnation, now: float
    ) -> list[messages.Event]:
        """Records that the incarnation left, whichever instance reported it."""
        already_left = member.status is _Status.LEFT
        if already_left and incarnation <= member.incarnation:
            return []
        events: list[messages.Event] = []
        if member.present and incarnation == member.incarnation:
            left = messages.MemberLeft(
                instance=member.instance, incarnation=incarnation
            )
            events.append(left)
        elif member.present:
            events.extend(self._mark_lost(member, now))
        member.incarnation = incarnation
        _set_status(member, _Status.LEFT, now)
        return events

    def refute(
        self, member: Member, sequence: int, now: float
    ) -> list[messages.Event]:
        """Ends a suspicion because another instance got a later heartbeat."""
        if sequence <= member.known_sequence:
            return []
        if member.status is not _Status.SUSPECTED:
            return []
        member.known_sequence = sequence
        member.last_seen_at = now
        return self._mark_live(member, now)

    def check_silence(self, now: float) -> list[messages.Event]:
        """Suspects silent members and removes those suspected too long."""
        events: list[messages.Event] = []
        for member in self._members.values():
            silent_for_s = now - member.last_seen_at
            suspected_for_s = now - member.changed_at
            if (
                member.status is _Status.LIVE
                and silent_for_s >= member.silence_timeout_s
            ):
                events.extend(_suspect(member, now))
            elif (
                member.status is _Status.SUSPECTED
                and suspected_for_s >= member.removal_timeout_s
            ):
                events.extend(self._mark_lost(member, now))
        return events

    def discount_pause(self, seconds: float) -> None:
        """Excludes time in which this instance was paused from timeouts."""
        for member in self._members.values():
            member.last_seen_at += seconds
            if member.status is _Status.SUSPECTED:
                member.changed_at += seconds

    def expire(self, before: float) -> None:
        """Drops members that were removed or left before a monotonic time."""
        expired = [
            member.instance
            for member in self._members.values()
            if not member.present and member.changed_at < before
        ]
        for instance in expired:
            self._by_address.pop(self._members[instance].address, None)
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
            last_seen_at=now,
            changed_at=now,
            silence_timeout_s=evidence.silence_timeout_s,
            removal_timeout_s=evidence.removal_timeout_s,
            decoder=pressures.PressureDecoder(evidence.instance),
        )
        self._members[evidence.instance] = member
        self._by_address[evidence.address] = evidence.instance
        if not member.present:
            return []
        member.status = _Status.LIVE
        return [_make_joined(member), *_update_revision(member, evidence)]

    def _update(
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
            return True, self._mark_lost(member, now)
        _apply_evidence(member, evidence, now)
        self._by_address[member.address] = member.instance
        events = self._mark_live(member, now)
        return True, events + _update_revision(member, evidence)

    def _mark_live(self, member: Member, now: float) -> list[messages.Event]:
        if member.status is _Status.LIVE:
            return []
        previous_status = member.status
        _set_status(member, _Status.LIVE, now)
        if previous_status is _Status.LOST:
            member.decoder = pressures.PressureDecoder(member.instance)
            # Listeners dropped the revision when the member was lost, so it
            # must be published again.
            member.revision = ids.Revision(0)
            return [_make_joined(member)]
        return [
            messages.SuspicionRefuted(
                instance=member.instance, incarnation=member.incarnation
            )
        ]

    def _mark_lost(self, member: Member, now: float) -> list[messages.Event]:
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


def _apply_evidence(
    member: Member, evidence: liveness.Evidence, now: float
) -> None:
    if evidence.direct:
        member.sequence = evidence.sequence
    member.known_sequence = max(member.known_sequence, evidence.sequence)
    member.address = evidence.address
    member.last_seen_at = now
    member.silence_timeout_s = evidence.silence_timeout_s
    member.removal_timeout_s = evidence.removal_timeout_s


def _update_revision(
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


def _make_joined(member: Member) -> messages.MemberJoined:
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
