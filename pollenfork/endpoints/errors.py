"""Failures of this package, besides those in `edges`."""

from pollenfork import failures
from pollenfork.endpoints import edges


class TooLate(edges.EndpointFailure, frozen=True, kw_only=True):
    """The lease ended before the order was sent; it was not sent."""


class UnknownEndpoint(failures.Failure, frozen=True, kw_only=True):
    """The current settings have no such endpoint in this data centre."""


class DrainNotStored(failures.Failure, frozen=True, kw_only=True):
    """The store didn't confirm the drain request; it can safely be retried."""
