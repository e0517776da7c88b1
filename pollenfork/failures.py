"""Base types of the failures of all packages."""

import enum

import msgspec


class Outcome(enum.Enum):
    """What is known about whether a request took effect.

    `NOT_RUN` requires proof: the request was never sent, or the endpoint
    refused it before running it.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all failures; each package has its own in its `errors` module.

    Attributes:
        detail: A one-line message: what happened and what to do about it.
    """

    detail: str = ""
