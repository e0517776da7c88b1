"""Response bodies of the operator interface, also used by the CLI."""

import msgspec

from pollenfork import ids
from pollenfork.operator import edges
from pollenfork.settings import model


class WriteReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an accepted write.

    Attributes:
        repeated: Whether the write had already been accepted under the same
            write id.
    """

    path: str
    revision: ids.Revision
    write_id: ids.WriteId
    repeated: bool = False


class HistoryLine(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted write to a subtree.

    Attributes:
        operator: First digits of the digest of the operator's token.
        at: Time of the write, in Unix seconds.
    """

    revision: ids.Revision
    write_id: ids.WriteId
    operator: str
    at: float


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True):
    """The stored writes to a subtree, oldest first."""

    path: str
    entries: tuple[HistoryLine, ...]


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """All entry instances, as seen by one of them.

    Attributes:
        instance: The instance that answers.
        newest: The highest revision in force at any instance.
    """

    instance: ids.InstanceId
    newest: ids.Revision
    instances: tuple[edges.InstanceReport, ...]


class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of an endpoint and its state at the answering instance.

    Attributes:
        live: None if the instance doesn't know the endpoint yet.
    """

    endpoint: ids.EndpointId
    settings: model.EndpointSettings
    live: edges.LiveEndpoint | None = None


class EndpointsReply(msgspec.Struct, frozen=True, kw_only=True):
    """All endpoints of the settings in force."""

    revision: ids.Revision
    endpoints: tuple[EndpointEntry, ...]


class DrainReply(msgspec.Struct, frozen=True, kw_only=True):
    """Confirms that the request to drain an endpoint is stored."""

    endpoint: ids.EndpointId
