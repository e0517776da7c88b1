"""Calls needed to send an endpoint its orders; one at a time per endpoint."""

import msgspec

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.store import edges as platform_edges


class Read(msgspec.Struct, frozen=True):
    """Read one row from the store."""

    key: str


class Write(msgspec.Struct, frozen=True):
    """Commit a transaction to the store."""

    transaction: platform_edges.Transaction


class RequestPermit(msgspec.Struct, frozen=True):
    """Request a permit from the weight store to load a model or adapter."""

    model: ids.ModelName
    version: str


class SendOrder(msgspec.Struct, frozen=True):
    """Send an order, unless the lease has ended.

    Attributes:
        send_before: Monotonic seconds. Checked again right before sending, as
            the process may have been paused since the step was chosen.
    """

    order: edges.Order
    send_before: float


Step = Read | Write | RequestPermit | SendOrder
