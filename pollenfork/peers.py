"""Routes events from other instances to the components concerned."""

import threading

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork import scheduler
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import actor as endpoints_actor
from pollenfork.membership import lifecycle
from pollenfork.membership import messages
from pollenfork.settings import actor as settings_actor
from pollenfork.settings import messages as settings_messages

_LATEST = ids.Revision(0)  # Requests the tree that the peer has in force.


class NoPeer(failures.Failure, frozen=True, kw_only=True):
    """The address of the peer is unknown."""


class Presence:
    """Tracks live instances from membership events; thread-safe.

    Answers from the last events received, without calling any actor.
    """

    def __init__(
        self, instance: ids.InstanceId, data_centre: ids.DataCentre
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._members: dict[ids.InstanceId, messages.MemberJoined] = {}
        self._ended: dict[ids.InstanceId, ids.Incarnation] = {}

    def record_joined(self, event: messages.MemberJoined) -> None:
        """Records a live member, which may have been thought lost before."""
        with self._lock:
            self._members[event.instance] = event
            if self._ended.get(event.instance, 0) >= event.incarnation:
                del self._ended[event.instance]

    def record_ended(self, instance: ids.InstanceId, incarnation: int) -> None:
        """Records that an incarnation was lost or has left."""
        with self._lock:
            latest = max(self._ended.get(instance, 0), incarnation)
            self._ended[instance] = ids.Incarnation(latest)
            member = self._members.get(instance)
            if member and member.incarnation <= incarnation:
                del self._members[instance]

    def is_gone(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns whether this process is known to have ended."""
        with self._lock:
            member = self._members.get(instance)
            if member and member.incarnation > incarnation:
                return True
            return incarnation <= self._ended.get(instance, 0)

    def list_local(self) -> tuple[ids.InstanceId, ...]:
        """Returns the instances in this data centre, including this one."""
        with self._lock:
            local = {
                name
                for name, member in self._members.items()
                if member.data_centre == self._data_centre
            }
        return tuple(sorted(local | {self._instance}))

    def count(self) -> int:
        """Returns the number of live instances, including this one."""
        with self._lock:
            return len(self._members.keys() | {self._instance})

    def find_address(self, instance: ids.InstanceId) -> str | None:
        """Returns the peer address of a member, if known."""
        with self._lock:
            member = self._members.get(instance)
        return member.address if member else None


class Router:
    """Forwards membership events to the components that need them."""

    def __init__(
        self,
        presence: Presence,
        slot_scheduler: scheduler.Scheduler,
        settings: settings_actor.Settings,
        endpoints: endpoints_actor.Endpoints,
    ) -> None:
        self._presence = presence
        self._scheduler = slot_scheduler
        self._settings = settings
        self._endpoints = endpoints

    def publish(self, event: messages.Event) -> None:
        """Forwards one event without blocking."""
        match event:
            case messages.MemberJoined():
                self._presence.record_joined(event)
            case messages.MemberLost() | messages.MemberLeft():
                self._record_ended(event)
            case messages.PressureHeard(pressure=pressure):
                self._scheduler.report(pressure)
                self._endpoints.receive_peer_leaving(
                    pressure.leaving, pressure.instance
                )
            case messages.PeerRevision():
                self._settings.report(
                    settings_messages.PeerRevision(
                        event.instance, event.revision
                    )
                )

    def _record_ended(
        self, event: messages.MemberLost | messages.MemberLeft
    ) -> None:
        self._presence.record_ended(event.instance, event.incarnation)
        if self._presence.find_address(event.instance):
            return  # A later incarnation has already joined.
        self._scheduler.report(dispatch_messages.PeerLost(event.instance))
        self._settings.report(settings_messages.PeerGone(event.instance))


class PeerSettings:
    """Fetches settings trees from peers when the platform is unavailable."""

    def __init__(
        self, presence: Presence, membership: lifecycle.Membership
    ) -> None:
        self._presence = presence
        self._membership = membership

    def fetch(
        self, instance: ids.InstanceId
    ) -> result.Result[bytes, failures.Failure]:
        """Returns the tree in force at a peer; may block for seconds."""
        address = self._presence.find_address(instance)
        if address is None:
            return result.Err(NoPeer(detail=f"no address of {instance}"))
        return self._membership.fetch_settings(address, _LATEST)


def add_leaving(
    pressure: dispatch_messages.Pressure, leaving: tuple[ids.EndpointId, ...]
) -> dispatch_messages.Pressure:
    """Returns a copy of the pressure that lists the leaving endpoints."""
    return msgspec.structs.replace(pressure, leaving=leaving)
