"""Events and views that membership gives other components."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages


class MemberStatus(enum.Enum):
    """Status of an entry instance as this instance knows it."""

    LIVE = "live"
    SUSPECTED = "suspected"  # Silent, but its slots still count.
    LOST = "lost"  # Silent for too long; back only by its own messages.
    LEFT = "left"  # It announced it; final for that incarnation.


class MemberJoined(msgspec.Struct, frozen=True, kw_only=True):
    """A member's incarnation was first seen, or is back after a loss.

    Attributes:
        address: `host:port` of its peer interface.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    address: str


class MemberSuspected(msgspec.Struct, frozen=True, kw_only=True):
    """A member is silent and will be removed unless anyone hears it."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class SuspicionRefuted(msgspec.Struct, frozen=True, kw_only=True):
    """A suspected member was heard by this or another instance."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class MemberLost(msgspec.Struct, frozen=True, kw_only=True):
    """A member was removed after a suspicion or replaced by a restart."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class MemberLeft(msgspec.Struct, frozen=True, kw_only=True):
    """A member announced its departure: its pressure no longer counts."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class PressureHeard(msgspec.Struct, frozen=True, kw_only=True):
    """New pressure of a member in this data centre.

    Attributes:
        sequence: Grows with each heartbeat of the member's incarnation.
    """

    incarnation: ids.Incarnation
    sequence: int
    pressure: dispatch_messages.Pressure


class PeerRevision(msgspec.Struct, frozen=True, kw_only=True):
    """The settings revision in force at a member has changed.

    Attributes:
        address: Where `FetchSettings` can fetch that revision.
    """

    instance: ids.InstanceId
    address: str
    revision: ids.Revision


class EndpointLeavingHeard(msgspec.Struct, frozen=True, kw_only=True):
    """A member reports that an endpoint is leaving; published once each."""

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
    """A row of the operators' list of instances.

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
