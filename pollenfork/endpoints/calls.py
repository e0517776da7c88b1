"""Calls that the core asks its actor to make, and what they bring."""

from typing import Any

import msgspec
import result

from pollenfork import ids
from pollenfork.endpoints import rows
from pollenfork.endpoints import steps
from pollenfork.store import edges as platform_edges


class Probe(msgspec.Struct, frozen=True):
    """Ask an endpoint whether it is ready."""

    endpoint: ids.EndpointId


class FetchLoad(msgspec.Struct, frozen=True):
    """Fetch an engine's load report."""

    endpoint: ids.EndpointId


class FetchEvents(msgspec.Struct, frozen=True):
    """Fetch an engine's cache events past sequence `after`."""

    endpoint: ids.EndpointId
    after: int


class FetchList(msgspec.Struct, frozen=True):
    """Fetch the platform's instance list."""


class ScanDrains(msgspec.Struct, frozen=True):
    """Read the operators' wishes to drain from the table."""

    prefix: str


class StoreDrain(msgspec.Struct, frozen=True):
    """Write a wish to drain, or withdraw it where `row` is None."""

    endpoint: ids.EndpointId
    transaction: platform_edges.Transaction
    row: rows.DrainRow | None = None


class TakeStep(msgspec.Struct, frozen=True):
    """Take a step towards an endpoint's orders."""

    endpoint: ids.EndpointId
    step: steps.Step


ToEndpoint = Probe | FetchLoad | FetchEvents
ToPlatform = FetchList | ScanDrains | StoreDrain
Call = ToEndpoint | ToPlatform | TakeStep


class Done(msgspec.Struct, frozen=True):
    """A call has ended.

    Attributes:
        sent_at: Monotonic seconds before the call was made.
        answer: What its edge returned.
    """

    call: Call
    sent_at: float
    answer: result.Result[Any, Any]
