"""Reasons to refuse a claim; each type maps to one HTTP response."""

from typing import ClassVar

from pollenfork import failures
from pollenfork.ledger import records


class LedgerRefusal(failures.Failure, frozen=True, kw_only=True):
    """Base class of the refusals.

    Attributes:
        STATUS: The HTTP status of the response.
        outcome: Known outcome of the request under the key. For `LedgerDown`,
            `NOT_RUN` applies to this submission only.
        retry_after_s: Seconds until a retry may get another response; None if
            it never will.
    """

    STATUS: ClassVar[int]
    outcome: failures.Outcome
    retry_after_s: float | None = None


class Running(LedgerRefusal, frozen=True, kw_only=True):
    """The request under this key is in progress."""

    STATUS: ClassVar[int] = 409
    outcome: failures.Outcome = failures.Outcome.UNKNOWN
    retry_after_s: float | None = 2.0


class Replay(LedgerRefusal, frozen=True, kw_only=True):
    """The request ran before; `answer` is its stored answer."""

    STATUS: ClassVar[int] = 200  # Replaced by the status of the stored answer.
    outcome: failures.Outcome = failures.Outcome.DONE
    answer: records.Answer


class AnswerUnavailable(LedgerRefusal, frozen=True, kw_only=True):
    """The request ran before; its answer is temporarily unavailable."""

    STATUS: ClassVar[int] = 503
    outcome: failures.Outcome = failures.Outcome.DONE
    retry_after_s: float | None = 2.0


class AnswerNotKept(LedgerRefusal, frozen=True, kw_only=True):
    """The request ran before; its answer isn't stored."""

    STATUS: ClassVar[int] = 409
    outcome: failures.Outcome = failures.Outcome.DONE


class UnknownOutcome(LedgerRefusal, frozen=True, kw_only=True):
    """Whether the request under this key ran is unknown."""

    STATUS: ClassVar[int] = 409
    outcome: failures.Outcome = failures.Outcome.UNKNOWN


class KeyReused(LedgerRefusal, frozen=True, kw_only=True):
    """The key was used with another method, path or body."""

    STATUS: ClassVar[int] = 422
    outcome: failures.Outcome = failures.Outcome.NOT_RUN


class LedgerDown(LedgerRefusal, frozen=True, kw_only=True):
    """No record could be written, so this submission wasn't run.

    Whether an earlier submission with the key ran is then unknown; the client
    learns it by a retry with the same key. `outcome` is `UNKNOWN` if an earlier
    submission was seen.

    Attributes:
        in_doubt: The write got no response and may have succeeded.
    """

    STATUS: ClassVar[int] = 503
    outcome: failures.Outcome = failures.Outcome.NOT_RUN
    retry_after_s: float | None = 2.0
    in_doubt: bool = False
