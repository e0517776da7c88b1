"""Bodies of the operator interface, shared with the command line."""

import msgspec

from pollenfork import ids
from pollenfork.operator import edges
from pollenfork.settings import model


class WriteReply(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted write.

    Attributes:
        repeated: An earlier sending of the same write had been accepted.
    """

    path: str
    revision: ids.Revision
    write_id: ids.WriteId
    repeated: bool = False


class HistoryLine(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted write of a subtree.

    Attributes:
        operator: First digits of the digest of the operator's token.
        at: Unix seconds.
    """

    revision: ids.Revision
    write_id: ids.WriteId
    operator: str
    at: float


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True):
    """The kept writes of a subtree, oldest first."""

    path: str
    entries: tuple[HistoryLine, ...]


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """All entry instances as one of them sees them.

    Attributes:
        instance: Who answers.
        newest: The highest revision in force anywhere.
    """

    instance: ids.InstanceId
    newest: ids.Revision
    instances: tuple[edges.InstanceReport, ...]


class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint: its settings, and what the answering instance sees.

    Attributes:
        live: None where the instance hasn't met the endpoint yet.
    """

    endpoint: ids.EndpointId
    settings: model.EndpointSettings
    live: edges.LiveEndpoint | None = None


class EndpointsReply(msgspec.Struct, frozen=True, kw_only=True):
    """All endpoints of the settings in force."""

    revision: ids.Revision
    endpoints: tuple[EndpointEntry, ...]


class DrainReply(msgspec.Struct, frozen=True, kw_only=True):
    """The wish that an endpoint take no new work is kept."""

    endpoint: ids.EndpointId
