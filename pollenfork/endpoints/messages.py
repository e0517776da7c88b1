"""Messages of this package, besides those in `dispatch.messages`."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages


class LeavingSource(enum.Enum):
    """A source that reports an endpoint as leaving."""

    READINESS = "own"  # The endpoint's answer to a readiness probe.
    INSTANCE_LIST = "list"  # The platform's instance list.
    DRAIN = "drain"  # An operator's drain request in the store.
    PEER = "peer"  # Another instance.


class CacheHint(msgspec.Struct, frozen=True, kw_only=True):
    """Known changes of an engine's prefix cache.

    Attributes:
        invalidates_all: Earlier hints may be wrong and must be dropped.
        stored: Hashes of prefixes that were added to the cache.
        evicted: Hashes of prefixes that were evicted.
    """

    endpoint: ids.EndpointId
    invalidates_all: bool = False
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class EndpointView(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one endpoint, for the operators' page.

    Attributes:
        state: None while nothing is known about it.
        leaving_sources: The sources that report it as leaving.
        holder: Whether this instance may send it orders.
        fencing: The latest fencing number seen; 0 before the first order.
        order: The order in progress; empty if there is none.
        last_answer_age_s: Seconds since its last answer; None before that.
    """

    endpoint: ids.EndpointId
    address: str
    state: dispatch_messages.EndpointState | None
    leaving_sources: tuple[LeavingSource, ...] = ()
    holder: bool = False
    fencing: ids.FencingNumber
    order: str = ""
    last_answer_age_s: float | None = None


class Tick(msgspec.Struct, frozen=True):
    """Runs the calls that are due; sent by a timer."""


class PeerLeaving(msgspec.Struct, frozen=True):
    """A peer's list of leaving endpoints; see `Endpoints`."""

    endpoints: tuple[ids.EndpointId, ...]
    peer: ids.InstanceId | None


class MakeDrain(msgspec.Struct, frozen=True):
    """Requests the write that stores or withdraws a drain request."""

    endpoint: ids.EndpointId
    draining: bool


class ListEndpoints(msgspec.Struct, frozen=True):
    """Requests the status of all endpoints."""


class Stop(msgspec.Struct, frozen=True):
    """Stops the start of further orders."""
