"""Failures at the platform's edge."""

from pollenfork import failures


class PlatformFailure(failures.Failure, frozen=True, kw_only=True):
    """Base of the failures that the platform's services cause."""


class Unavailable(PlatformFailure, frozen=True, kw_only=True):
    """The call was refused or never sent: it had no effect."""


class Unanswered(PlatformFailure, frozen=True, kw_only=True):
    """The call was sent and its answer was lost: it may have had effect."""


class Throttled(PlatformFailure, frozen=True, kw_only=True):
    """The service refused for rate; it had no effect.

    Attributes:
        retry_after_s: Seconds to wait before the next call.
    """

    retry_after_s: float = 1.0


class Conflicted(PlatformFailure, frozen=True, kw_only=True):
    """A condition of the transaction did not hold; nothing was written.

    Attributes:
        keys: The keys whose condition failed.
    """

    keys: tuple[str, ...] = ()
