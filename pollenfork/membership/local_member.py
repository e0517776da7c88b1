"""The state that this instance announces of itself."""

import msgspec

from pollenfork import ids
from pollenfork.membership import messages
from pollenfork.membership import wire

_Status = messages.MemberStatus
_GONE = (_Status.LEFT, _Status.LOST)


class Identity(msgspec.Struct, frozen=True):
    """Identifies this instance; `address` is its peer address."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    address: str


class LocalMember(msgspec.Struct):
    """This instance as a member; only itself changes its status.

    Attributes:
        sequence: Of the last heartbeat sent.
        members: Number of present members in this data centre, including
            this one.
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

    def compose_update(self) -> wire.MemberUpdate:
        """Returns this instance's state for a summary."""
        return wire.MemberUpdate(
            self.identity.instance,
            self.incarnation,
            self.sequence,
            self.status,
            self.identity.address,
        )

    def compose_view(self) -> messages.MemberView:
        """Returns this instance's state for operators."""
        return messages.MemberView(
            instance=self.identity.instance,
            incarnation=self.incarnation,
            data_centre=self.identity.data_centre,
            address=self.identity.address,
            status=self.status,
            revision=self.revision,
            heard_s_ago=0.0,
        )

    def receive_update(self, update: wire.MemberUpdate) -> None:
        """Raises the incarnation above that of a previous run.

        A live process of the same name at another address is ignored: this
        one may be the older of the two.
        """
        if self.left or update.incarnation < self.incarnation:
            return
        ours = update.address == self.identity.address
        later = update.incarnation > self.incarnation
        if (later and (ours or update.status in _GONE)) or (
            update.status is _Status.LEFT
        ):
            self.incarnation = ids.Incarnation(update.incarnation + 1)
