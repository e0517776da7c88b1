"""Requests that carry an `Idempotency-Key`: at most one run for each key.

The claim is durable before the first sending, and the ending is recorded
before the caller sees the answer whole. A caller that goes away doesn't end
the run: its repeat gets the answer from the record.
"""

from collections.abc import Callable, Iterator, Mapping
import http

import msgspec
import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork.answers import session
from pollenfork.entry import errors
from pollenfork.ledger import errors as ledger_errors
from pollenfork.ledger import keys
from pollenfork.ledger import ledger

_FINISH_EVENT = b"data: [DONE]\n\n"
KEPT_BYTES = 4 * 1024 * 1024
HEADER = "HTTP_IDEMPOTENCY_KEY"
REPLAYED_HEADER = ("Idempotent-Replayed", "true")

Served = result.Result[session.Answer, errors.Refusal]
MaySend = Callable[[], bool]

_CODES: Mapping[type[ledger_errors.LedgerRefusal], errors.Code] = {
    ledger_errors.Running: errors.Code.RUNNING,
    ledger_errors.AnswerUnavailable: errors.Code.RECORD_UNAVAILABLE,
    ledger_errors.AnswerNotKept: errors.Code.ANSWER_NOT_KEPT,
    ledger_errors.UnknownOutcome: errors.Code.OUTCOME_UNKNOWN,
    ledger_errors.KeyReused: errors.Code.KEY_REUSED,
    ledger_errors.LedgerDown: errors.Code.RECORD_UNAVAILABLE,
}


class Submission(msgspec.Struct, frozen=True):
    """A request with a key, as it came.

    Attributes:
        header: The `Idempotency-Key` header.
        fingerprint: Of method, path and body.
    """

    team: ids.Team
    account: ids.AccountId
    header: str
    fingerprint: bytes


class Keyed:
    """Serves keyed requests through the ledger."""

    def __init__(self, records: ledger.Ledger, now: clock.Clock) -> None:
        self._ledger = records
        self._clock = now

    def serve(
        self,
        submission: Submission,
        run: Callable[[MaySend], Served],
    ) -> Served:
        """Runs the request unless its key has run before.

        Args:
            submission: The request.
            run: Sends the request, unless the function that it is handed
                says no any more; its answer must not depend on the caller
                staying.
        """
        # Two teams may have accounts of one name.
        space = ids.AccountId(f"{submission.team}/{submission.account}")
        read = keys.read_header(space, submission.header)
        if isinstance(read, result.Err):
            return result.Err(
                errors.Refusal(
                    status=http.HTTPStatus.BAD_REQUEST,
                    code=errors.Code.BAD_REQUEST,
                    detail=read.err_value.detail,
                )
            )
        claimed = self._ledger.claim(
            read.ok_value, submission.fingerprint, self._clock.wall()
        )
        if isinstance(claimed, result.Err):
            return _describe(claimed.err_value)
        return _run_claimed(claimed.ok_value, run)


class RecordedChunks(Iterator[bytes]):
    """An answer's chunks, kept for the record until their end.

    The chunk that makes the answer whole is handed over after the ending is
    recorded, so that a repeat right after it finds the record. Any other is
    handed over at once.
    """

    def __init__(
        self,
        answer: session.Answer,
        claim: ledger.Claim,
        streamed: bool,
        limit: int = KEPT_BYTES,
    ) -> None:
        self._answer = answer
        self._claim = claim
        self._streamed = streamed
        self._limit = limit
        self._kept: list[bytes] = []
        self._size = 0
        self._recorded = False

    @property
    def failed(self) -> bool:
        """Whether the last bytes were an error event."""
        return self._answer.chunks.failed

    def __next__(self) -> bytes:
        """Returns the next chunk."""
        chunk = b"" if self._recorded else self._take()
        if not chunk:
            raise StopIteration
        if not self._streamed or chunk.endswith(_FINISH_EVENT):
            return b"".join([chunk, *iter(self._take, b"")])
        return chunk

    def close(self) -> None:
        """Lets the run go on to its end, for the record."""
        for _ in self:
            pass
        self._answer.chunks.close()

    def _take(self) -> bytes:
        try:
            chunk = next(self._answer.chunks, b"")
        except BaseException:
            self._claim.record_unknown()
            raise
        if chunk:
            self._size += len(chunk)
            if self._size <= self._limit:
                self._kept.append(chunk)
        else:
            self._record()
        return chunk

    def _record(self) -> None:
        self._recorded = True
        if self._answer.chunks.failed:
            self._claim.record_unknown()
            return
        whole = self._size <= self._limit
        self._claim.record_done(
            self._answer.status,
            self._answer.headers,
            b"".join(self._kept) if whole else b"",
        )


def _run_claimed(
    claim: ledger.Claim, run: Callable[[MaySend], Served]
) -> Served:
    try:
        served = run(claim.may_send)
    except BaseException:
        claim.record_unknown()
        raise
    if isinstance(served, result.Err):
        if served.err_value.outcome is failures.Outcome.NOT_RUN:
            claim.record_not_run()
        else:
            claim.record_unknown()
        return served
    answer = served.ok_value
    streamed = not any(
        name.lower() == "content-length" for name, _ in answer.headers
    )
    chunks = RecordedChunks(answer, claim, streamed)
    recorded = session.Answer(answer.status, answer.headers, chunks)
    return result.Ok(recorded)


def _describe(refusal: ledger_errors.LedgerRefusal) -> Served:
    if isinstance(refusal, ledger_errors.Replay):
        return result.Ok(_replay(refusal))
    return result.Err(
        errors.Refusal(
            status=http.HTTPStatus(refusal.STATUS),
            code=_CODES[type(refusal)],
            outcome=refusal.outcome,
            retry_after_s=refusal.retry_after_s,
            detail=refusal.detail or type(refusal).__doc__ or "",
        )
    )


def _replay(refusal: ledger_errors.Replay) -> session.Answer:
    answer = refusal.answer
    headers = [*answer.headers, REPLAYED_HEADER]
    return session.Answer(answer.status, headers, ReplayedChunks(answer.body))


class ReplayedChunks(Iterator[bytes]):
    """The body of an answer from its record."""

    failed = False

    def __init__(self, body: bytes) -> None:
        self._chunks = iter((body,))

    def __next__(self) -> bytes:
        """Returns the body, once."""
        return next(self._chunks)

    def close(self) -> None:
        """Does nothing: there is nothing to give back."""
