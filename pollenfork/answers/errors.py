"""Failures of the data path."""

import enum

from pollenfork import failures


class Cause(enum.Enum):
    """Why an attempt failed or an answer broke; each has its counter."""

    NEVER_SENT = "never_sent"  # No connection: proved not run.
    REFUSED = "refused"  # The endpoint said so before it ran: proved not run.
    SERVER_ERROR = "server_error"  # A 5xx that proves nothing.
    NO_HEAD = "no_head"  # Sent, and the connection ended before the head.
    HEAD_LATE = "head_late"
    CLOSED = "closed"  # The connection ended before the answer did.
    STALLED = "stalled"
    GAP = "gap"  # An event is missing.
    ERROR_EVENT = "error_event"
    OVERSIZE = "oversize"
    NOT_CONTINUED = "not_continued"  # Began again instead of continuing.
    STREAM_UNKNOWN = "stream_unknown"  # The engine can't resume it.
    CALLER_GONE = "caller_gone"


class AnswerFailure(failures.Failure, frozen=True, kw_only=True):
    """No answer; `outcome` says what is known of the request's effect.

    Attributes:
        cause: What happened to the last attempt.
    """

    outcome: failures.Outcome
    cause: Cause


class EndpointLost(AnswerFailure, frozen=True, kw_only=True):
    """The endpoint broke off, and the request may not be sent again."""


class NoOtherEndpoint(AnswerFailure, frozen=True, kw_only=True):
    """The endpoint refused or broke, and no other may be tried."""


class CallerGone(AnswerFailure, frozen=True, kw_only=True):
    """The caller went away before the answer's first byte."""


class AnswerBroken(AnswerFailure, frozen=True, kw_only=True):
    """The answer broke midway and can't be made whole.

    Attributes:
        position: Events that reached the caller.
    """

    position: int
