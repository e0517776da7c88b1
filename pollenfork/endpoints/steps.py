"""What a holder's core asks to have done; one at a time per endpoint."""

import msgspec

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.store import edges as platform_edges


class Read(msgspec.Struct, frozen=True):
    """Read one row of the table."""

    key: str


class Write(msgspec.Struct, frozen=True):
    """Commit a transaction."""

    transaction: platform_edges.Transaction


class AskPermit(msgspec.Struct, frozen=True):
    """Ask the weight store for leave to load a model or adapter."""

    model: ids.ModelName
    version: str


class Send(msgspec.Struct, frozen=True):
    """Send an order, unless it is too late.

    Attributes:
        send_before: Monotonic seconds; checked again right before the
            sending, as the sender may have been paused meanwhile.
    """

    order: edges.Order
    send_before: float


Step = Read | Write | AskPermit | Send
