"""What the other instances tell, handed to the slices that it concerns."""

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

_IN_FORCE = ids.Revision(0)  # Asks a peer for the tree in force there.


class NoPeer(failures.Failure, frozen=True, kw_only=True):
    """No address of the peer is known."""


class Presence:
    """Who is there, kept from membership's events; safe from any thread.

    It answers from what was heard last, without a call to any actor.
    """

    def __init__(
        self, instance: ids.InstanceId, data_centre: ids.DataCentre
    ) -> None:
        self._own = instance
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._joined: dict[ids.InstanceId, messages.MemberJoined] = {}
        self._ended: dict[ids.InstanceId, ids.Incarnation] = {}

    def join(self, event: messages.MemberJoined) -> None:
        """Notes a member that is there, perhaps after it was thought lost."""
        with self._lock:
            self._joined[event.instance] = event
            if self._ended.get(event.instance, 0) >= event.incarnation:
                del self._ended[event.instance]

    def end(self, instance: ids.InstanceId, incarnation: int) -> None:
        """Notes that an incarnation was lost or left."""
        with self._lock:
            latest = max(self._ended.get(instance, 0), incarnation)
            self._ended[instance] = ids.Incarnation(latest)
            joined = self._joined.get(instance)
            if joined and joined.incarnation <= incarnation:
                del self._joined[instance]

    def is_gone(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns whether this process is known to have ended."""
        with self._lock:
            joined = self._joined.get(instance)
            if joined and joined.incarnation > incarnation:
                return True
            return incarnation <= self._ended.get(instance, 0)

    def list_near(self) -> tuple[ids.InstanceId, ...]:
        """Returns the instances of this data centre, this one included."""
        with self._lock:
            near = {
                name
                for name, joined in self._joined.items()
                if joined.data_centre == self._data_centre
            }
        return tuple(sorted(near | {self._own}))

    def count(self) -> int:
        """Returns how many instances are there, this one included."""
        with self._lock:
            return len(self._joined.keys() | {self._own})

    def find_address(self, instance: ids.InstanceId) -> str | None:
        """Returns a member's peer address."""
        with self._lock:
            joined = self._joined.get(instance)
        return joined.address if joined else None


class Router:
    """Takes membership's events and tells each slice its part."""

    def __init__(
        self,
        presence: Presence,
        slots: scheduler.Scheduler,
        settings: settings_actor.Settings,
        endpoints: endpoints_actor.Endpoints,
    ) -> None:
        self._presence = presence
        self._slots = slots
        self._settings = settings
        self._endpoints = endpoints

    def publish(self, event: messages.Event) -> None:
        """Hands one event on; returns at once."""
        match event:
            case messages.MemberJoined():
                self._presence.join(event)
            case messages.MemberLost() | messages.MemberLeft():
                self._note_end(event)
            case messages.PressureHeard(pressure=pressure):
                self._slots.report(pressure)
                self._endpoints.receive_peer_leaving(
                    pressure.leaving, pressure.instance
                )
            case messages.PeerRevision():
                self._settings.report(
                    settings_messages.PeerRevision(
                        event.instance, event.revision
                    )
                )

    def _note_end(
        self, event: messages.MemberLost | messages.MemberLeft
    ) -> None:
        self._presence.end(event.instance, event.incarnation)
        if self._presence.find_address(event.instance):
            return  # A later incarnation is there already.
        self._slots.report(dispatch_messages.PeerLost(event.instance))
        self._settings.report(settings_messages.PeerGone(event.instance))


class Copies:
    """Settings trees asked of peers, for when the platform is away."""

    def __init__(
        self, presence: Presence, membership: lifecycle.Membership
    ) -> None:
        self._presence = presence
        self._membership = membership

    def fetch(
        self, instance: ids.InstanceId
    ) -> result.Result[bytes, failures.Failure]:
        """Returns the tree in force at a peer; blocks for some seconds."""
        address = self._presence.find_address(instance)
        if address is None:
            return result.Err(NoPeer(detail=f"no address of {instance}"))
        return self._membership.fetch_settings(address, _IN_FORCE)


def add_leaving(
    pressure: dispatch_messages.Pressure, leaving: tuple[ids.EndpointId, ...]
) -> dispatch_messages.Pressure:
    """Returns the pressure with the endpoints known to be leaving."""
    return msgspec.structs.replace(pressure, leaving=leaving)
