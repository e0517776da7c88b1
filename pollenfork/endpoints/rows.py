"""Rows that this package keeps in the store, and their keys.

Rows of all earlier versions must stay readable: new fields have defaults, and
the golden files in `tests/golden` hold rows of earlier versions.
"""

import msgspec

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.leases import claims
from pollenfork.leases import records

FORMAT = records.FORMAT
BadRow = records.BadRow
encode = records.encode
decode = records.decode


class PendingOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order, stored before it is sent until its outcome is known.

    Attributes:
        sequence: Incremented with each order to the endpoint.
    """

    sequence: int
    kind: edges.OrderKind
    argument: str = ""


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """The orders that the endpoint has confirmed.

    Attributes:
        models: Each as `name` or `name@version`.
        drained: The id of the latest confirmed drain request.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    drained: str = ""


class LeaseRow(claims.Claim, frozen=True, kw_only=True):
    """The lease on one endpoint's orders, and the progress of the orders.

    Attributes:
        sequence: The sequence number of the latest stored order.
    """

    sequence: int = 0
    pending: PendingOrder | None = None
    applied: Applied = Applied()
    format: int = FORMAT


class LoadingRow(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoints that are loading one model."""

    endpoints: tuple[ids.EndpointId, ...] = ()
    format: int = FORMAT


class DrainRow(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's request that an endpoint take no new work.

    Attributes:
        drain_id: Distinguishes the request from earlier, withdrawn ones.
    """

    drain_id: ids.WriteId
    endpoint: ids.EndpointId
    asked_by: ids.InstanceId
    format: int = FORMAT


def lease_key(data_centre: ids.DataCentre, endpoint: ids.EndpointId) -> str:
    """Returns the key of an endpoint's lease row."""
    return f"endpoints/{data_centre}/leases/{endpoint}"


def loading_key(data_centre: ids.DataCentre, model: str) -> str:
    """Returns the key of a model's loading row, which versions share."""
    return f"endpoints/{data_centre}/loading/{model.partition('@')[0]}"


def drain_key(data_centre: ids.DataCentre, endpoint: str) -> str:
    """Returns the key of an endpoint's drain request."""
    return f"endpoints/{data_centre}/drains/{endpoint}"
