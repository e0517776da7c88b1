"""Rows that this slice keeps in the platform's table, and their keys.

Every format stays readable: a later version adds fields with defaults, and
the golden files in `tests/golden` keep what earlier versions wrote.
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
    """An order written down before it is sent, until its answer is known.

    Attributes:
        sequence: Grows by one with each order to the endpoint.
    """

    sequence: int
    kind: edges.OrderKind
    argument: str = ""


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """What the endpoint has been ordered to and has confirmed.

    Attributes:
        models: Each as `name` or `name@version`.
        drained: Id of the latest wish to drain that it has confirmed.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    drained: str = ""


class LeaseRow(claims.Claim, frozen=True, kw_only=True):
    """Who may give orders to one endpoint, and how far the orders are.

    Attributes:
        sequence: Of the latest order written down.
    """

    sequence: int = 0
    pending: PendingOrder | None = None
    applied: Applied = Applied()
    format: int = FORMAT


class LoadingRow(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoints that load one model just now."""

    endpoints: tuple[ids.EndpointId, ...] = ()
    format: int = FORMAT


class DrainRow(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's wish that an endpoint take no new work.

    Attributes:
        drain_id: Tells a later wish from an earlier one, withdrawn since.
    """

    drain_id: ids.WriteId
    endpoint: ids.EndpointId
    asked_by: ids.InstanceId
    format: int = FORMAT


def lease_key(data_centre: ids.DataCentre, endpoint: ids.EndpointId) -> str:
    """Returns the key of an endpoint's lease row."""
    return f"endpoints/{data_centre}/leases/{endpoint}"


def loading_key(data_centre: ids.DataCentre, model: str) -> str:
    """Returns the key of a model's loading row; versions share it."""
    return f"endpoints/{data_centre}/loading/{model.partition('@')[0]}"


def drain_key(data_centre: ids.DataCentre, endpoint: str) -> str:
    """Returns the key of an endpoint's drain row; all share a prefix."""
    return f"endpoints/{data_centre}/drains/{endpoint}"
