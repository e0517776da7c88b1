"""Requests with an `Idempotency-Key`: claimed, run once, replayed."""

from collections.abc import Callable, Iterable, Iterator
import http
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
_FINISH_MARK = b"\ndata: [DONE]"  # A line of its own: no event's text.
_MARK_BYTES = 64  # More than the mark and the blank lines after it.
_KEEP_BYTES = 32 * 1024 * 1024
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
    """The right to run one request once; it ends by one `record_` call."""

    def may_send(self) -> bool:
        """Returns whether the request may still be sent."""

    def record_done(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes | None,
    ) -> Any:
        """Keeps the whole answer for repeats; None says that it isn't kept."""

    def record_not_run(self) -> Any:
        """Frees the key."""

    def record_unknown(self) -> Any:
        """Keeps the key closed."""


class Claims(Protocol):
    """The ledger as the entry needs it."""

    def claim(
        self, key: keys.RequestKey, fingerprint: bytes, now: float
    ) -> result.Result[Claim, ledger_errors.LedgerRefusal]:
        """Claims the right to run the request under `key`; blocks."""


class IdempotencyGuard:
    """Runs requests under their callers' keys."""

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
        """Runs the request unless its key says otherwise.

        Args:
            header: The value of the header.
            ask: Whose request it is.
            call: The request.
            run_once: Runs it; takes what says whether it may be sent still.
        """
        # Accounts of two teams may have one name.
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
            return _answer_repeat(claimed.unwrap_err())
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
        print_of = keys.compute_fingerprint(call.method, path, call.body)
        return self._claims.claim(key, print_of, self._clock.wall())


class RecordedChunks(Iterator[bytes]):
    """An answer's bytes; they are kept for repeats once whole.

    The chunk that makes the answer whole is handed over after the outcome is
    recorded, so that a repeat right after it finds the record. Any other is
    handed over at once.

    A caller that goes away doesn't end the request: it may come back with
    its key for the answer, so the rest is read and kept.
    """

    def __init__(
        self, answer: session.Answer, claim: Claim, streamed: bool
    ) -> None:
        self._answer = answer
        self._claim = claim
        self._streamed = streamed
        self._parts: list[bytes] = []
        self._size = 0
        self._last = b""
        self._ended = False

    def __next__(self) -> bytes:
        """Returns the next bytes; records the outcome at their end."""
        chunk = b"" if self._ended else self._take()
        if not chunk:
            raise StopIteration
        if not self._streamed or _is_finished(chunk):
            return b"".join([chunk, *iter(self._take, b"")])
        return chunk

    def close(self) -> None:
        """Reads what is left, records the outcome and closes the answer."""
        try:
            for _ in self:
                pass
        finally:
            self._claim.record_unknown()  # Without effect once recorded.
            progress.close_chunks(self._answer.chunks)

    def _take(self) -> bytes:
        chunk = next(self._answer.chunks, b"")
        if not chunk:
            self._ended = True
            self._record()
        self._size += len(chunk)
        self._last = (self._last + chunk)[-_MARK_BYTES:]
        if self._size <= _KEEP_BYTES:
            self._parts.append(chunk)
        return chunk

    def _record(self) -> None:
        answer = self._answer
        body = b"".join(self._parts)
        failed = answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        cut = self._size > len(body)
        broken = self._streamed and not _is_finished(self._last)
        if failed or broken:
            self._claim.record_unknown()
            return
        kept = None if cut else body
        self._claim.record_done(answer.status, answer.headers, kept)


def _is_finished(body: bytes) -> bool:
    return (b"\n" + body).rstrip(b"\r\n").endswith(_FINISH_MARK)


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
        # A refused stream comes as a plain answer.
        streamed = call.streamed and answer.status == http.HTTPStatus.OK
        chunks = RecordedChunks(answer, claim, streamed)
        return result.Ok(session.Answer(answer.status, answer.headers, chunks))
    if served.unwrap_err().outcome is failures.Outcome.NOT_RUN:
        claim.record_not_run()
    else:
        claim.record_unknown()
    return served


def _answer_repeat(refusal: ledger_errors.LedgerRefusal) -> Served:
    if isinstance(refusal, ledger_errors.Replay):
        kept = refusal.answer
        headers = [*kept.headers, ("Idempotent-Replayed", "true")]
        return result.Ok(
            session.Answer(kept.status, headers, iter([kept.body]))
        )
    code, detail = _REFUSALS[type(refusal)]
    return errors.refuse(
        http.HTTPStatus(refusal.STATUS),
        code,
        detail,
        outcome=refusal.outcome,
        retry_after_s=refusal.retry_after_s,
    )
