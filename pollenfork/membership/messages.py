"""What other slices hear from membership."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages


class MemberStatus(enum.Enum):
    """What this instance believes of another entry instance."""

    LIVE = "live"
    SUSPECTED = "suspected"  # Silent, but its slots still count.
    LOST = "lost"  # Silent for too long; only its own voice brings it back.
    LEFT = "left"  # It said so; final for that incarnation.


class MemberJoined(msgspec.Struct, frozen=True, kw_only=True):
    """A member is heard for the first time in this incarnation, or again.

    Attributes:
        address: `host:port` of its peer interface.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    address: str


class MemberSuspected(msgspec.Struct, frozen=True, kw_only=True):
    """A member has been silent; it is removed unless someone hears it."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class SuspicionRefuted(msgspec.Struct, frozen=True, kw_only=True):
    """A suspected member was heard, by this instance or by another."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class MemberLost(msgspec.Struct, frozen=True, kw_only=True):
    """A member was removed after a suspicion, or replaced by a restart."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class MemberLeft(msgspec.Struct, frozen=True, kw_only=True):
    """A member said that it leaves: its pressure no longer counts."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class PressureHeard(msgspec.Struct, frozen=True, kw_only=True):
    """The pressure of a member in this data centre, newer than the last.

    Attributes:
        sequence: Grows with each heartbeat of the member's incarnation.
    """

    incarnation: ids.Incarnation
    sequence: int
    pressure: dispatch_messages.Pressure


class PeerRevision(msgspec.Struct, frozen=True, kw_only=True):
    """The settings revision in force at a member has changed.

    Attributes:
        address: Where `FetchSettings` can ask for that revision.
    """

    instance: ids.InstanceId
    address: str
    revision: ids.Revision


class EndpointLeavingHeard(msgspec.Struct, frozen=True, kw_only=True):
    """A member says that an endpoint leaves; published once for each."""

    endpoint: ids.EndpointId
    heard_from: ids.InstanceId


Event = (
    MemberJoined
    | MemberSuspected
    | SuspicionRefuted
    | MemberLost
    | MemberLeft
    | PressureHeard
    | PeerRevision
    | EndpointLeavingHeard
)


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the list of instances that operators see.

    Attributes:
        heard_s_ago: Seconds since the last sign of life.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    address: str
    status: MemberStatus
    revision: ids.Revision
    heard_s_ago: float
