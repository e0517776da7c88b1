"""Failures of calls to the platform."""

from pollenfork import failures


class PlatformFailure(failures.Failure, frozen=True, kw_only=True):
    """Base class of the failures of calls to the platform."""


class Unavailable(PlatformFailure, frozen=True, kw_only=True):
    """The call was refused or never sent; it had no effect."""


class Unanswered(PlatformFailure, frozen=True, kw_only=True):
    """The call was sent but got no valid response; its effect is unknown."""


class Throttled(PlatformFailure, frozen=True, kw_only=True):
    """The call exceeded a rate limit and was refused; it had no effect.

    Attributes:
        retry_after_s: Seconds to wait before the next call.
    """

    retry_after_s: float = 1.0


class Conflicted(PlatformFailure, frozen=True, kw_only=True):
    """A condition of the transaction failed; nothing was written.

    Attributes:
        keys: Keys of the rows whose condition failed.
    """

    keys: tuple[str, ...] = ()
