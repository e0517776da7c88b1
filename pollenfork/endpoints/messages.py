"""What the slice hears and says, beside `dispatch.messages`."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages


class Sign(enum.Enum):
    """Who says that an endpoint is leaving."""

    OWN = "own"  # Its readiness, asked by this instance.
    LIST = "list"  # The platform's instance list.
    DRAIN = "drain"  # An operator's wish in the table.
    PEER = "peer"  # Another instance.


class CacheHint(msgspec.Struct, frozen=True, kw_only=True):
    """What changed in an engine's prefix cache, as far as it is known.

    Attributes:
        forget: All that was said earlier may be wrong.
        stored: Hashes of prefixes that entered the cache.
        evicted: Hashes of prefixes that left it.
    """

    endpoint: ids.EndpointId
    forget: bool = False
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class EndpointView(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint as the operators' page shows it.

    Attributes:
        state: None before the first sign of it.
        signs: Who says that it is leaving.
        holder: This instance may give it orders.
        fencing: The latest number seen, 0 before the first order.
        order: The order under way, empty where there is none.
        heard_s: Seconds since its last answer; None before the first.
    """

    endpoint: ids.EndpointId
    address: str
    state: dispatch_messages.EndpointState | None
    signs: tuple[Sign, ...] = ()
    holder: bool = False
    fencing: ids.FencingNumber
    order: str = ""
    heard_s: float | None = None


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class PeerLeaving(msgspec.Struct, frozen=True):
    """A peer says which endpoints leave; see `Endpoints`."""

    endpoints: tuple[ids.EndpointId, ...]
    peer: ids.InstanceId | None


class MakeDrain(msgspec.Struct, frozen=True):
    """Asks for the write of a wish to drain; answers with a `Result`."""

    endpoint: ids.EndpointId
    wished: bool


class ListEndpoints(msgspec.Struct, frozen=True):
    """Asks for the operators' view."""


class Stop(msgspec.Struct, frozen=True):
    """Starts no further order."""
