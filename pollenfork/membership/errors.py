"""Failures at the interface between entry instances."""

from pollenfork import failures


class PeerFailure(failures.Failure, frozen=True, kw_only=True):
    """Base of the failures that peers cause."""


class Undecodable(PeerFailure, frozen=True, kw_only=True):
    """The bytes aren't a valid message of this format."""


class UnknownFormat(PeerFailure, frozen=True, kw_only=True):
    """The message has a format number that this version can't read."""


class Oversized(PeerFailure, frozen=True, kw_only=True):
    """The message is larger than the interface allows."""


class MissingBase(PeerFailure, frozen=True, kw_only=True):
    """The delta applies to a state that this instance doesn't have."""


class Unreachable(PeerFailure, frozen=True, kw_only=True):
    """The connection to the peer couldn't be made or was closed."""


class TimedOut(PeerFailure, frozen=True, kw_only=True):
    """The peer didn't answer in time."""


class Refused(PeerFailure, frozen=True, kw_only=True):
    """The peer rejected the call."""
