"""Calls that the core plans and the actor makes, and their results."""

from typing import Any

import msgspec
import result

from pollenfork import ids
from pollenfork.endpoints import rows
from pollenfork.endpoints import steps
from pollenfork.store import edges as platform_edges


class Probe(msgspec.Struct, frozen=True):
    """Probe an endpoint's readiness."""

    endpoint: ids.EndpointId


class FetchLoad(msgspec.Struct, frozen=True):
    """Fetch an engine's load report."""

    endpoint: ids.EndpointId


class FetchEvents(msgspec.Struct, frozen=True):
    """Fetch an engine's cache events after sequence `after`."""

    endpoint: ids.EndpointId
    after: int


class FetchList(msgspec.Struct, frozen=True):
    """Fetch the platform's instance list."""


class ScanDrains(msgspec.Struct, frozen=True):
    """Read all drain requests from the store."""

    prefix: str


class StoreDrain(msgspec.Struct, frozen=True):
    """Store a drain request, or withdraw it if `row` is None."""

    endpoint: ids.EndpointId
    transaction: platform_edges.Transaction
    row: rows.DrainRow | None = None


class RunStep(msgspec.Struct, frozen=True):
    """Run the next step of an endpoint's orders."""

    endpoint: ids.EndpointId
    step: steps.Step


ToEndpoint = Probe | FetchLoad | FetchEvents
ToPlatform = FetchList | ScanDrains | StoreDrain
Call = ToEndpoint | ToPlatform | RunStep


class Done(msgspec.Struct, frozen=True):
    """A completed call.

    Attributes:
        sent_at: Monotonic seconds, taken before the call was made.
        answer: The result of the call.
    """

    call: Call
    sent_at: float
    answer: result.Result[Any, Any]
