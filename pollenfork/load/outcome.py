"""The outcome of one request, as the client saw it."""

import enum

import msgspec


class End(enum.Enum):
    """How a request ended."""

    WHOLE = "whole"
    REFUSED = "refused"  # The server stated that the request didn't run.
    FAILED = "failed"  # Any other error before the first token.
    BROKEN = "broken"  # The answer was cut off, had a gap or a repeat.
    WRONG = "wrong"  # Complete and well-formed, but with wrong text.
    TIMED_OUT = "timed_out"
    NOT_SENT = "not_sent"  # `Scenario.max_open` was reached.


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The result and timing of one request.

    Attributes:
        reason: Error code or fault; empty for a complete answer.
        first_token_ms: From the planned arrival; None without a token.
        gaps_us: Times between consecutive tokens, in microseconds.
        tokens: Tokens received in order.
        ended_s: When it ended, in seconds after the start of the run.
    """

    class_name: str
    label: str
    end: End
    reason: str = ""
    first_token_ms: float | None = None
    gaps_us: tuple[int, ...] = ()
    tokens: int = 0
    ended_s: float = 0.0
