"""Runs each request with an `Idempotency-Key` once and replays its answer."""

from collections.abc import Callable, Iterable, Iterator
import http
import io
from typing import Any, Protocol

import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.answers import messages as answer_messages
from pollenfork.answers import session
from pollenfork.entry import errors
from pollenfork.entry import progress
from pollenfork.ledger import errors as ledger_errors
from pollenfork.ledger import keys

HEADER = "HTTP_IDEMPOTENCY_KEY"
# The newline before it keeps it from matching the text of an event.
_DONE_LINE = b"\ndata: [DONE]"
_TAIL_BYTES = 64  # Fits that line and the blank lines after it.
_MAX_RECORDED_BYTES = 32 * 1024 * 1024
_REFUSALS: dict[type[ledger_errors.LedgerRefusal], tuple[errors.Code, str]] = {
    ledger_errors.Running: (
        errors.Code.RUNNING,
        "The request with this key is in progress; ask again later.",
    ),
    ledger_errors.UnknownOutcome: (
        errors.Code.OUTCOME_UNKNOWN,
        "Whether the request with this key ran can't be known; look for its"
        " effect, then take a new key.",
    ),
    ledger_errors.KeyReused: (
        errors.Code.KEY_REUSED,
        "The key came with another request; take a new one."
        " This request was not run.",
    ),
    ledger_errors.AnswerNotKept: (
        errors.Code.ANSWER_NOT_KEPT,
        "The request with this key ran; its answer was too long to keep.",
    ),
    ledger_errors.AnswerUnavailable: (
        errors.Code.RECORD_UNAVAILABLE,
        "The request with this key ran; its answer can't be read now.",
    ),
    ledger_errors.LedgerDown: (
        errors.Code.RECORD_UNAVAILABLE,
        "The record of the key can't be written now; nothing was run"
        " for this call.",
    ),
}

Served = result.Result[session.Answer, errors.Refusal]


class Claim(Protocol):
    """The right to run a request once; ends with the first `record_` call."""

    def may_send(self) -> bool:
        """Returns whether the request may still be sent."""

    def record_done(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes | None,
    ) -> Any:
        """Stores the answer for retries; a body of None isn't stored."""

    def record_not_run(self) -> Any:
        """Releases the key, so that a retry may run the request."""

    def record_unknown(self) -> Any:
        """Blocks the key: a retry must not run the request again."""


class Claims(Protocol):
    """The part of the ledger that the entry uses."""

    def claim(
        self, key: keys.RequestKey, fingerprint: bytes, now: float
    ) -> result.Result[Claim, ledger_errors.LedgerRefusal]:
        """Claims the right to run the request with `key`; blocking."""


class IdempotencyGuard:
    """Runs requests that carry an idempotency key."""

    def __init__(self, claims: Claims | None, now: clock.Clock) -> None:
        self._claims = claims
        self._clock = now

    def run(
        self,
        header: str,
        ask: admission_messages.Ask,
        call: answer_messages.Call,
        run_once: Callable[[Callable[[], bool]], Served],
    ) -> Served:
        """Runs the request, or replays or refuses it according to its key.

        Args:
            header: The value of the `Idempotency-Key` header.
            ask: The admission ask, with the team and account.
            call: The request.
            run_once: Runs the request; its argument tells whether the claim
                still allows sending it.
        """
        # Account names are unique only within a team.
        owner = ids.AccountId(f"{ask.team}/{ask.account}")
        read = keys.read_header(owner, header)
        if read.is_err():
            return errors.refuse(
                http.HTTPStatus.BAD_REQUEST,
                errors.Code.BAD_IDEMPOTENCY_KEY,
                read.unwrap_err().detail,
            )
        claimed = self._claim(read.unwrap(), ask, call)
        if claimed.is_err():
            return _answer_retry(claimed.unwrap_err())
        return _run_claimed(claimed.unwrap(), call, run_once)

    def _claim(
        self,
        key: keys.RequestKey,
        ask: admission_messages.Ask,
        call: answer_messages.Call,
    ) -> result.Result[Claim, ledger_errors.LedgerRefusal]:
        if self._claims is None:
            down = ledger_errors.LedgerDown(detail="There is no ledger.")
            return result.Err(down)
        path = f"/services/{ask.service}{call.path}"
        if ask.service is None:
            path = call.path
        fingerprint = keys.compute_fingerprint(call.method, path, call.body)
        return self._claims.claim(key, fingerprint, self._clock.wall())


class RecordedChunks(Iterator[bytes]):
    """Passes an answer on and records it for retries once it is complete.

    The chunk that completes the answer is returned only after the outcome is
    recorded, so that an immediate retry finds the record. All other chunks
    are returned at once.

    If the caller disconnects, the rest of the answer is still read and
    recorded, as the caller may retry with the same key.
    """

    def __init__(
        self, answer: session.Answer, claim: Claim, streamed: bool
    ) -> None:
        self._answer = answer
        self._claim = claim
        self._streamed = streamed
        self._recorded = io.BytesIO()
        self._size = 0
        self._tail = b""
        self._ended = False

    def __next__(self) -> bytes:
        """Returns the next bytes; at the end, records the outcome."""
        chunk = b"" if self._ended else self._read_chunk()
        if not chunk:
            raise StopIteration
        if not self._streamed or _is_finished(chunk):
            return b"".join([chunk, *iter(self._read_chunk, b"")])
        return chunk

    def close(self) -> None:
        """Reads the rest, records the outcome and closes the answer."""
        try:
            for _ in self:
                pass
        finally:
            self._claim.record_unknown()  # No-op if already recorded.
            progress.close_chunks(self._answer.chunks)

    def _read_chunk(self) -> bytes:
        chunk = next(self._answer.chunks, b"")
        if not chunk:
            self._ended = True
            self._record()
        self._size += len(chunk)
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]
        if self._size <= _MAX_RECORDED_BYTES:
            self._recorded.write(chunk)
        return chunk

    def _record(self) -> None:
        answer = self._answer
        body = self._recorded.getvalue()
        failed = answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        truncated = self._size > len(body)
        incomplete = self._streamed and not _is_finished(self._tail)
        if failed or incomplete:
            self._claim.record_unknown()
            return
        recorded = None if truncated else body
        self._claim.record_done(answer.status, answer.headers, recorded)


def _is_finished(body: bytes) -> bool:
    return (b"\n" + body).rstrip(b"\r\n").endswith(_DONE_LINE)


def _run_claimed(
    claim: Claim,
    call: answer_messages.Call,
    run_once: Callable[[Callable[[], bool]], Served],
) -> Served:
    try:
        served = run_once(claim.may_send)
    except BaseException:
        claim.record_unknown()
        raise
    if served.is_ok():
        answer = served.unwrap()
        # An endpoint that refuses a stream sends a plain response.
        streamed = call.streamed and answer.status == http.HTTPStatus.OK
        chunks = RecordedChunks(answer, claim, streamed)
        return result.Ok(session.Answer(answer.status, answer.headers, chunks))
    if served.unwrap_err().outcome is failures.Outcome.NOT_RUN:
        claim.record_not_run()
    else:
        claim.record_unknown()
    return served


def _answer_retry(refusal: ledger_errors.LedgerRefusal) -> Served:
    if isinstance(refusal, ledger_errors.Replay):
        recorded = refusal.answer
        headers = [*recorded.headers, ("Idempotent-Replayed", "true")]
        return result.Ok(
            session.Answer(recorded.status, headers, iter([recorded.body]))
        )
    code, detail = _REFUSALS[type(refusal)]
    return errors.refuse(
        http.HTTPStatus(refusal.STATUS),
        code,
        detail,
        outcome=refusal.outcome,
        retry_after_s=refusal.retry_after_s,
    )
