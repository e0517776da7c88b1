"""Why a claim is refused; each type is an HTTP answer of its own."""

from typing import ClassVar

from pollenfork import failures
from pollenfork.ledger import records


class LedgerRefusal(failures.Failure, frozen=True, kw_only=True):
    """Base of the refusals.

    Attributes:
        STATUS: The HTTP status to answer with.
        outcome: What is known of the request under the key. `NOT_RUN` with
            `LedgerDown` speaks of this submission only.
        retry_after_s: When a repeat may be answered otherwise, if ever.
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
    """The request ran before: here is its answer."""

    STATUS: ClassVar[int] = 200  # The caller gets the answer's own status.
    outcome: failures.Outcome = failures.Outcome.DONE
    answer: records.Answer


class AnswerUnavailable(LedgerRefusal, frozen=True, kw_only=True):
    """The request ran before; its answer can't be read now."""

    STATUS: ClassVar[int] = 503
    outcome: failures.Outcome = failures.Outcome.DONE
    retry_after_s: float | None = 2.0


class AnswerNotKept(LedgerRefusal, frozen=True, kw_only=True):
    """The request ran before; its answer is not kept."""

    STATUS: ClassVar[int] = 409
    outcome: failures.Outcome = failures.Outcome.DONE


class UnknownOutcome(LedgerRefusal, frozen=True, kw_only=True):
    """Whether the request under this key ran can't be known."""

    STATUS: ClassVar[int] = 409
    outcome: failures.Outcome = failures.Outcome.UNKNOWN


class KeyReused(LedgerRefusal, frozen=True, kw_only=True):
    """The key was used for another method, path or body."""

    STATUS: ClassVar[int] = 422
    outcome: failures.Outcome = failures.Outcome.NOT_RUN


class LedgerDown(LedgerRefusal, frozen=True, kw_only=True):
    """No record could be written, so this submission was not run.

    Whether an earlier submission with the key ran is not known then; the
    caller learns it by a repeat with the same key. `outcome` is `UNKNOWN`
    where an earlier one was seen.

    Attributes:
        in_doubt: The record may have been written after all.
    """

    STATUS: ClassVar[int] = 503
    outcome: failures.Outcome = failures.Outcome.NOT_RUN
    retry_after_s: float | None = 2.0
    in_doubt: bool = False
