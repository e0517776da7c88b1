"""Failures of this slice beyond those of its edges."""

from pollenfork import failures
from pollenfork.endpoints import edges


class TooLate(edges.EndpointFailure, frozen=True, kw_only=True):
    """The lease ran out before the order was sent: it was never sent."""


class UnknownEndpoint(failures.Failure, frozen=True, kw_only=True):
    """The settings in force name no such endpoint in this data centre."""


class DrainNotStored(failures.Failure, frozen=True, kw_only=True):
    """The table did not confirm the wish; asking again does no harm."""
