"""What this instance says of itself."""

import msgspec

from pollenfork import ids
from pollenfork.membership import messages
from pollenfork.membership import wire

_Status = messages.MemberStatus
_GONE = (_Status.LEFT, _Status.LOST)


class Identity(msgspec.Struct, frozen=True):
    """Who this instance is; `address` is its peer address."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    address: str


class LocalMember(msgspec.Struct):
    """This instance's own entry; nobody else ever changes its status.

    Attributes:
        sequence: Of the last heartbeat sent.
        members: Members present in this data centre, this one included.
    """

    identity: Identity
    incarnation: ids.Incarnation
    sequence: int = 0
    revision: ids.Revision = ids.Revision(0)
    left: bool = False
    members: int = 1

    @property
    def status(self) -> messages.MemberStatus:
        """Returns `LIVE` until this instance leaves."""
        return _Status.LEFT if self.left else _Status.LIVE

    def compose_note(self) -> wire.MemberUpdate:
        """Returns what a summary says of this instance."""
        return wire.MemberUpdate(
            self.identity.instance,
            self.incarnation,
            self.sequence,
            self.status,
            self.identity.address,
        )

    def compose_view(self) -> messages.MemberView:
        """Returns what operators see of this instance."""
        return messages.MemberView(
            instance=self.identity.instance,
            incarnation=self.incarnation,
            data_centre=self.identity.data_centre,
            address=self.identity.address,
            status=self.status,
            revision=self.revision,
            heard_s_ago=0.0,
        )

    def receive_update(self, note: wire.MemberUpdate) -> None:
        """Takes a later incarnation when an earlier life seems later.

        Another live process of the same name at another address is left
        alone: this one may be the older of the two.
        """
        if self.left or note.incarnation < self.incarnation:
            return
        ours = note.address == self.identity.address
        later = note.incarnation > self.incarnation
        if (later and (ours or note.status in _GONE)) or (
            note.status is _Status.LEFT
        ):
            self.incarnation = ids.Incarnation(note.incarnation + 1)
