"""What every failure carries, whichever slice it comes from."""

import enum

import msgspec


class Outcome(enum.Enum):
    """What is known of a request's effect.

    `NOT_RUN` is claimed only with proof: the request was never sent, or the
    endpoint refused it before it ran.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """Base of every failure type; each slice derives its own in `errors`.

    Attributes:
        detail: One line for a person: what happened and what to do next.
    """

    detail: str = ""
