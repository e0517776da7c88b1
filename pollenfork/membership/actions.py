"""What the membership core asks its shell to do."""

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
    """Asks a peer for its last heartbeat with its whole pressure."""

    instance: ids.InstanceId
    address: str


class SendSummary(msgspec.Struct, frozen=True):
    """Exchanges summaries with an instance of another data centre."""

    address: str
    summary: wire.Summary


class FetchList(msgspec.Struct, frozen=True):
    """Asks the platform for its list of instances."""


class Publish(msgspec.Struct, frozen=True):
    """Tells the rest of this instance."""

    event: messages.Event


class Report(msgspec.Struct, frozen=True):
    """Counts and logs what was wrong with a peer's message."""

    instance: ids.InstanceId
    failure: errors.PeerFailure


Action = SendHeartbeat | FetchState | SendSummary | FetchList | Publish | Report
