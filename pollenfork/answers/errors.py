"""Failures of the relay."""

import enum

from pollenfork import failures


class Cause(enum.Enum):
    """Why an attempt failed or an answer broke; each has its own counter."""

    NEVER_SENT = "never_sent"  # No connection: proved not run.
    REFUSED = "refused"  # The endpoint refused to run it: proved not run.
    SERVER_ERROR = "server_error"  # A 5xx, after which it may have run.
    NO_HEAD = "no_head"  # Sent, but the connection ended before the head.
    HEAD_LATE = "head_late"
    CLOSED = "closed"  # The connection ended before the answer did.
    STALLED = "stalled"
    GAP = "gap"  # An event is missing.
    FOREIGN = "foreign"  # Bytes of a numbered stream are no event.
    ERROR_EVENT = "error_event"
    OVERSIZE = "oversize"
    NOT_CONTINUED = "not_continued"  # Restarted instead of continuing.
    OTHER_VERSION = "other_version"  # Its software didn't begin the answer.
    STREAM_UNKNOWN = "stream_unknown"  # The engine can't resume it.
    CALLER_GONE = "caller_gone"


class AnswerFailure(failures.Failure, frozen=True, kw_only=True):
    """The request got no complete answer.

    Attributes:
        outcome: What is known of the request's effect.
        cause: Why the last attempt failed.
    """

    outcome: failures.Outcome
    cause: Cause


class EndpointLost(AnswerFailure, frozen=True, kw_only=True):
    """The endpoint failed, and the request must not be sent again."""


class NoOtherEndpoint(AnswerFailure, frozen=True, kw_only=True):
    """The endpoint refused or failed, and no other can be tried."""


class CallerGone(AnswerFailure, frozen=True, kw_only=True):
    """The caller disconnected before the answer's first byte."""


class AnswerBroken(AnswerFailure, frozen=True, kw_only=True):
    """The answer broke midway and couldn't be completed.

    Attributes:
        position: Number of events that were relayed to the caller.
    """

    position: int
