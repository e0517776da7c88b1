"""Side effects that the membership core requests from its actor."""

import msgspec

from pollenfork import ids
from pollenfork.membership import errors
from pollenfork.membership import messages
from pollenfork.membership import wire


class SendHeartbeat(msgspec.Struct, frozen=True):
    """Sends the same datagram to every address."""

    addresses: tuple[str, ...]
    heartbeat: wire.Heartbeat


class FetchState(msgspec.Struct, frozen=True):
    """Requests a peer's last heartbeat with its full pressure."""

    instance: ids.InstanceId
    address: str


class SendSummary(msgspec.Struct, frozen=True):
    """Exchanges summaries with an instance of another data centre."""

    address: str
    summary: wire.Summary


class FetchList(msgspec.Struct, frozen=True):
    """Requests the list of instances from the platform."""


class Publish(msgspec.Struct, frozen=True):
    """Publishes an event to the other components of this instance."""

    event: messages.Event


class Report(msgspec.Struct, frozen=True):
    """Counts and logs a failure that a peer's message caused."""

    instance: ids.InstanceId
    failure: errors.PeerFailure


Action = SendHeartbeat | FetchState | SendSummary | FetchList | Publish | Report
