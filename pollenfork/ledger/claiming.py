"""Claims an idempotency key for a request, or decides the reply to it."""

from collections.abc import Callable
import enum
import logging

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.ledger import errors
from pollenfork.ledger import keys
from pollenfork.ledger import records
from pollenfork.ledger import steps
from pollenfork.store import edges
from pollenfork.store import errors as platform_errors

_LOG = logging.getLogger(__name__)
_MAX_ROUNDS = 4  # Conflicts on one row before a claim gives up.


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Times and sizes of the ledger; equal on all instances.

    Attributes:
        longest_run_s: Time limit from the claim to the last byte of the answer.
            An open record that is older has an unknown outcome, even if its
            owner is running.
        retention_s: From the end of a request until its key is free again.
        answer_bytes: Maximum size of an answer that is stored for replay.
    """

    longest_run_s: float = 900.0
    retention_s: float = 24 * 3600.0
    answer_bytes: int = 4 * 1024 * 1024


class Owner(msgspec.Struct, frozen=True):
    """One process of an instance; each start has a new incarnation."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One submission of a request with a key.

    Attributes:
        now_ms: Unix milliseconds.
        is_owner_gone: Returns whether the owner of an open record has ended.
    """

    key: keys.RequestKey
    fingerprint: bytes
    attempt: ids.AttemptId
    owner: Owner
    now_ms: int
    limits: Limits
    is_owner_gone: Callable[[records.Record], bool]


class ClaimedRow(msgspec.Struct, frozen=True):
    """A row that this submission wrote, with its version and record."""

    version: int
    record: records.Record


class _Rewrite(msgspec.Struct, frozen=True):
    """Write the record again, over the row at version `expected`."""

    expected: int


class _Reread(enum.Enum):
    """The row changed meanwhile; read it again."""

    REREAD = "reread"


ClaimResult = result.Result[ClaimedRow, errors.LedgerRefusal]
_Evaluation = ClaimedRow | errors.LedgerRefusal | _Rewrite | _Reread


def claim(request: ClaimRequest) -> steps.Steps[ClaimResult]:
    """Writes the record of a new request, or returns why it may not run.

    The write comes before any read, so that a new key costs one write only.
    """
    record = make_record(request)
    expected = edges.ABSENT
    for round_number in range(_MAX_ROUNDS):
        written = yield from steps.commit(
            _make_transaction(request, record, expected, round_number)
        )
        if isinstance(written, result.Ok):
            return result.Ok(ClaimedRow(written.ok_value.versions[0], record))
        if not isinstance(written.err_value, platform_errors.Conflicted):
            return result.Err(_refuse_write(written.err_value))
        evaluated = yield from _check_existing(request, record)
        if isinstance(evaluated, ClaimedRow):
            return result.Ok(evaluated)
        if isinstance(evaluated, errors.LedgerRefusal):
            return result.Err(evaluated)
        expected = evaluated.expected
    return result.Err(errors.Running(detail="other claims were faster"))


def make_record(request: ClaimRequest) -> records.Record:
    """Returns the record that a claim writes."""
    return records.Record(
        state=records.State.OPEN,
        account=request.key.account,
        fingerprint=request.fingerprint,
        attempt=request.attempt,
        owner=request.owner.instance,
        incarnation=request.owner.incarnation,
        claimed_ms=request.now_ms,
        changed_ms=request.now_ms,
    )


def is_expired(record: records.Record, now_ms: int, limits: Limits) -> bool:
    """Returns whether the key is free again; an open record never expires."""
    if record.state is records.State.OPEN:
        return False
    return now_ms - record.changed_ms >= limits.retention_s * 1000


def is_overdue(record: records.Record, now_ms: int, limits: Limits) -> bool:
    """Returns whether an open record is older than `longest_run_s`."""
    if record.state is not records.State.OPEN:
        return False
    return now_ms - record.claimed_ms >= limits.longest_run_s * 1000


def _check_existing(
    request: ClaimRequest, new_record: records.Record
) -> steps.Steps[ClaimedRow | errors.LedgerRefusal | _Rewrite]:
    for _ in range(_MAX_ROUNDS):
        read = yield from steps.read_row(request.key.row)
        if isinstance(read, result.Err):
            return _refuse_read(read.err_value)
        row = read.ok_value
        if row is None:
            return _Rewrite(edges.ABSENT)
        evaluated = yield from _evaluate(request, new_record, row)
        if not isinstance(evaluated, _Reread):
            return evaluated
    return errors.Running(detail="the record keeps changing")


def _evaluate(
    request: ClaimRequest, new_record: records.Record, row: edges.Row
) -> steps.Steps[_Evaluation]:
    decoded = records.decode_record(row.value)
    if isinstance(decoded, result.Err):
        detail = decoded.err_value.detail
        _LOG.error("event=record_unreadable row=%s why=%s", row.key, detail)
        return errors.UnknownOutcome(detail=f"unreadable record: {detail}")
    record = decoded.ok_value
    if record.attempt == request.attempt:
        # This submission's own write; its response was lost.
        return ClaimedRow(row.version, new_record)
    if record.state is records.State.NOT_RUN:
        return _Rewrite(row.version)
    if is_expired(record, request.now_ms, request.limits):
        return _Rewrite(row.version)
    if record.fingerprint != request.fingerprint:
        return errors.KeyReused(detail="the key came with another request")
    if record.state is records.State.DONE:
        return (yield from _replay(request, record))
    if record.state is records.State.OPEN and not _is_abandoned(
        request, record
    ):
        return errors.Running(detail="the request is in progress")
    return (yield from _close_abandoned(request, record, row))


def _is_abandoned(request: ClaimRequest, record: records.Record) -> bool:
    overdue = is_overdue(record, request.now_ms, request.limits)
    return overdue or request.is_owner_gone(record)


def _replay(
    request: ClaimRequest, record: records.Record
) -> steps.Steps[errors.LedgerRefusal]:
    if not record.answer_digest:
        return errors.AnswerNotKept(detail="the answer was too large to keep")
    key = keys.make_answer_key(request.key.row, record.attempt)
    fetched = yield from steps.fetch_object(key)
    if isinstance(fetched, result.Err):
        return errors.AnswerUnavailable(detail="the object store is away")
    body = fetched.ok_value
    if body is not None and (
        records.compute_digest(body) == record.answer_digest
    ):
        return _decode_answer(body)
    # After an object store outage, the owner stores the answer later.
    pending_ms = request.limits.longest_run_s * 1000
    if body is None and request.now_ms - record.changed_ms < pending_ms:
        return errors.AnswerUnavailable(detail="the answer isn't stored yet")
    _LOG.error("event=answer_missing object=%s", key)
    return errors.AnswerNotKept(detail="the answer was lost")


def _close_abandoned(
    request: ClaimRequest, record: records.Record, row: edges.Row
) -> steps.Steps[errors.LedgerRefusal | _Reread]:
    """Closes an abandoned record: as done if its answer is stored."""
    key = keys.make_answer_key(request.key.row, record.attempt)
    fetched = yield from steps.fetch_object(key)
    if isinstance(fetched, result.Err):
        return errors.UnknownOutcome(detail="its owner is gone")
    body = fetched.ok_value
    if body is not None:
        digest = records.compute_digest(body)
        yield from _close(request, record, row, records.State.DONE, digest)
        return _decode_answer(body)
    if record.state is records.State.OPEN:
        written = yield from _close(request, record, row, records.State.UNKNOWN)
        if isinstance(written, result.Err) and isinstance(
            written.err_value, platform_errors.Conflicted
        ):
            return _Reread.REREAD
    return errors.UnknownOutcome(detail="its owner is gone or gave up")


def _close(
    request: ClaimRequest,
    record: records.Record,
    row: edges.Row,
    state: records.State,
    digest: bytes = b"",
) -> steps.Steps[
    result.Result[edges.Committed, platform_errors.PlatformFailure]
]:
    closed = msgspec.structs.replace(
        record, state=state, changed_ms=request.now_ms, answer_digest=digest
    )
    put = edges.Put(row.key, records.encode_record(closed), row.version)
    name = f"{request.attempt}/close/{row.version}"
    return (
        yield from steps.commit(
            edges.Transaction(ids.WriteId(name), puts=(put,))
        )
    )


def _decode_answer(body: bytes) -> errors.LedgerRefusal:
    decoded = records.decode_answer(body)
    if isinstance(decoded, result.Err):
        return errors.AnswerNotKept(detail=decoded.err_value.detail)
    return errors.Replay(answer=decoded.ok_value)


def _make_transaction(
    request: ClaimRequest,
    record: records.Record,
    expected: int,
    round_number: int,
) -> edges.Transaction:
    put = edges.Put(request.key.row, records.encode_record(record), expected)
    name = f"{request.attempt}/claim/{round_number}"
    return edges.Transaction(ids.WriteId(name), puts=(put,))


def _refuse_write(
    failure: platform_errors.PlatformFailure,
) -> errors.LedgerDown:
    return errors.LedgerDown(
        detail=f"no record could be written: {failure.detail}",
        retry_after_s=_get_retry_after(failure),
        in_doubt=isinstance(failure, platform_errors.Unanswered),
    )


def _refuse_read(
    failure: platform_errors.PlatformFailure,
) -> errors.LedgerDown:
    return errors.LedgerDown(
        detail=f"an earlier record can't be read: {failure.detail}",
        outcome=failures.Outcome.UNKNOWN,
        retry_after_s=_get_retry_after(failure),
    )


def _get_retry_after(failure: platform_errors.PlatformFailure) -> float:
    if isinstance(failure, platform_errors.Throttled):
        return max(1.0, failure.retry_after_s)
    return 2.0
