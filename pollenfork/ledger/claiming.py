"""The core of a claim: what a request with a key may do, or is answered."""

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
_MAX_ROUNDS = 4  # Lost races for one row before a claim gives up.


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Times and sizes of the ledger; alike at all instances.

    Attributes:
        longest_run_s: From the claim to the last byte. An older open record
            has an unknown outcome, whoever owns it.
        retention_s: From the end of a request until its key is free again.
        answer_bytes: Of an answer that is kept for repeats.
    """

    longest_run_s: float = 900.0
    retention_s: float = 24 * 3600.0
    answer_bytes: int = 4 * 1024 * 1024


class Owner(msgspec.Struct, frozen=True):
    """One process start of an instance."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """One submission that wants to run under a key.

    Attributes:
        now_ms: Unix milliseconds.
        is_lost: Returns whether the owner of an open record has ended.
    """

    key: keys.RequestKey
    fingerprint: bytes
    attempt: ids.AttemptId
    owner: Owner
    now_ms: int
    limits: Limits
    is_lost: Callable[[records.Record], bool]


class Held(msgspec.Struct, frozen=True):
    """The row is ours, at this version; the record is as we wrote it."""

    version: int
    record: records.Record


class _Again(msgspec.Struct, frozen=True):
    """Write the record once more, over the row at this version."""

    expected: int


class _Reread(enum.Enum):
    """The row changed under us."""

    REREAD = "reread"


Verdict = result.Result[Held, errors.LedgerRefusal]
_Judgement = Held | errors.LedgerRefusal | _Again | _Reread


def claim(ask: Ask) -> steps.Steps[Verdict]:
    """Writes the record of a new request, or says why it may not run.

    The write comes first, so that a new key costs one write and no read.
    """
    record = make_record(ask)
    expected = edges.ABSENT
    for number in range(_MAX_ROUNDS):
        written = yield from steps.commit(
            _make_transaction(ask, record, expected, number)
        )
        if isinstance(written, result.Ok):
            return result.Ok(Held(written.ok_value.versions[0], record))
        if not isinstance(written.err_value, platform_errors.Conflicted):
            return result.Err(_refuse_write(written.err_value))
        judged = yield from _examine(ask, record)
        if isinstance(judged, Held):
            return result.Ok(judged)
        if isinstance(judged, errors.LedgerRefusal):
            return result.Err(judged)
        expected = judged.expected
    return result.Err(errors.Running(detail="other claims were faster"))


def make_record(ask: Ask) -> records.Record:
    """Returns the record that the claim writes."""
    return records.Record(
        state=records.State.OPEN,
        account=ask.key.account,
        fingerprint=ask.fingerprint,
        attempt=ask.attempt,
        owner=ask.owner.instance,
        incarnation=ask.owner.incarnation,
        claimed_ms=ask.now_ms,
        changed_ms=ask.now_ms,
    )


def is_expired(record: records.Record, now_ms: int, limits: Limits) -> bool:
    """Returns whether the key is free again; never while open."""
    if record.state is records.State.OPEN:
        return False
    return now_ms - record.changed_ms >= limits.retention_s * 1000


def is_overdue(record: records.Record, now_ms: int, limits: Limits) -> bool:
    """Returns whether an open record is older than the longest run."""
    if record.state is not records.State.OPEN:
        return False
    return now_ms - record.claimed_ms >= limits.longest_run_s * 1000


def _examine(
    ask: Ask, mine: records.Record
) -> steps.Steps[Held | errors.LedgerRefusal | _Again]:
    for _ in range(_MAX_ROUNDS):
        read = yield from steps.read_row(ask.key.row)
        if isinstance(read, result.Err):
            return _refuse_read(read.err_value)
        row = read.ok_value
        if row is None:
            return _Again(edges.ABSENT)
        judged = yield from _judge(ask, mine, row)
        if not isinstance(judged, _Reread):
            return judged
    return errors.Running(detail="the record keeps changing")


def _judge(
    ask: Ask, mine: records.Record, row: edges.Row
) -> steps.Steps[_Judgement]:
    decoded = records.decode_record(row.value)
    if isinstance(decoded, result.Err):
        detail = decoded.err_value.detail
        _LOG.error("event=record_unreadable row=%s why=%s", row.key, detail)
        return errors.UnknownOutcome(detail=f"unreadable record: {detail}")
    record = decoded.ok_value
    if record.attempt == ask.attempt:
        return Held(row.version, mine)  # Our write; its answer was lost.
    if record.state is records.State.NOT_RUN:
        return _Again(row.version)
    if is_expired(record, ask.now_ms, ask.limits):
        return _Again(row.version)
    if record.fingerprint != ask.fingerprint:
        return errors.KeyReused(detail="the key came with another request")
    if record.state is records.State.DONE:
        return (yield from _replay(ask, record))
    if record.state is records.State.OPEN and not _is_abandoned(ask, record):
        return errors.Running(detail="the request is in progress")
    return (yield from _close_abandoned(ask, record, row))


def _is_abandoned(ask: Ask, record: records.Record) -> bool:
    overdue = is_overdue(record, ask.now_ms, ask.limits)
    return overdue or ask.is_lost(record)


def _replay(
    ask: Ask, record: records.Record
) -> steps.Steps[errors.LedgerRefusal]:
    if not record.answer_digest:
        return errors.AnswerNotKept(detail="the answer was too large to keep")
    key = keys.make_answer_key(ask.key.row, record.attempt)
    fetched = yield from steps.fetch_object(key)
    if isinstance(fetched, result.Err):
        return errors.AnswerUnavailable(detail="the object store is away")
    body = fetched.ok_value
    if body is not None and (
        records.compute_digest(body) == record.answer_digest
    ):
        return _decode_answer(body)
    # The owner stores it later where the object store was away.
    pending_ms = ask.limits.longest_run_s * 1000
    if body is None and ask.now_ms - record.changed_ms < pending_ms:
        return errors.AnswerUnavailable(detail="the answer isn't stored yet")
    _LOG.error("event=answer_missing object=%s", key)
    return errors.AnswerNotKept(detail="the answer was lost")


def _close_abandoned(
    ask: Ask, record: records.Record, row: edges.Row
) -> steps.Steps[errors.LedgerRefusal | _Reread]:
    """Ends a record whose owner will not: done, where its answer is stored."""
    key = keys.make_answer_key(ask.key.row, record.attempt)
    fetched = yield from steps.fetch_object(key)
    if isinstance(fetched, result.Err):
        return errors.UnknownOutcome(detail="its owner is gone")
    body = fetched.ok_value
    if body is not None:
        digest = records.compute_digest(body)
        yield from _close(ask, record, row, records.State.DONE, digest)
        return _decode_answer(body)
    if record.state is records.State.OPEN:
        written = yield from _close(ask, record, row, records.State.UNKNOWN)
        if isinstance(written, result.Err) and isinstance(
            written.err_value, platform_errors.Conflicted
        ):
            return _Reread.REREAD
    return errors.UnknownOutcome(detail="its owner is gone or gave up")


def _close(
    ask: Ask,
    record: records.Record,
    row: edges.Row,
    state: records.State,
    digest: bytes = b"",
) -> steps.Steps[
    result.Result[edges.Committed, platform_errors.PlatformFailure]
]:
    closed = msgspec.structs.replace(
        record, state=state, changed_ms=ask.now_ms, answer_digest=digest
    )
    put = edges.Put(row.key, records.encode_record(closed), row.version)
    name = f"{ask.attempt}/close/{row.version}"
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
    ask: Ask, record: records.Record, expected: int, number: int
) -> edges.Transaction:
    put = edges.Put(ask.key.row, records.encode_record(record), expected)
    name = f"{ask.attempt}/claim/{number}"
    return edges.Transaction(ids.WriteId(name), puts=(put,))


def _refuse_write(
    failure: platform_errors.PlatformFailure,
) -> errors.LedgerDown:
    return errors.LedgerDown(
        detail=f"no record could be written: {failure.detail}",
        retry_after_s=_find_retry_after(failure),
        in_doubt=isinstance(failure, platform_errors.Unanswered),
    )


def _refuse_read(
    failure: platform_errors.PlatformFailure,
) -> errors.LedgerDown:
    return errors.LedgerDown(
        detail=f"an earlier record can't be read: {failure.detail}",
        outcome=failures.Outcome.UNKNOWN,
        retry_after_s=_find_retry_after(failure),
    )


def _find_retry_after(failure: platform_errors.PlatformFailure) -> float:
    if isinstance(failure, platform_errors.Throttled):
        return max(1.0, failure.retry_after_s)
    return 2.0
