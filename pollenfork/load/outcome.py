"""What became of one request, as its caller saw it."""

import enum

import msgspec


class End(enum.Enum):
    """How a request ended."""

    WHOLE = "whole"
    REFUSED = "refused"  # Said to be not run.
    FAILED = "failed"  # An error of any other kind, before the first token.
    BROKEN = "broken"  # The answer stopped, had a gap or a repeat.
    WRONG = "wrong"  # Whole in form, with the wrong text.
    TIMED_OUT = "timed_out"
    NOT_SENT = "not_sent"  # The load tool's own limit.


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """One request's end and times.

    Attributes:
        reason: The typed code or what was wrong; empty for a whole answer.
        first_token_ms: From the planned arrival; None without a token.
        gaps_us: Times between two tokens, in microseconds.
        tokens: Tokens received in order.
        ended_s: Seconds after the run's start.
    """

    class_name: str
    label: str
    end: End
    reason: str = ""
    first_token_ms: float | None = None
    gaps_us: tuple[int, ...] = ()
    tokens: int = 0
    ended_s: float = 0.0
