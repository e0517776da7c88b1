"""Writes the outcome of a claimed request."""

import enum

import msgspec
import result

from pollenfork import ids
from pollenfork.ledger import keys
from pollenfork.ledger import records
from pollenfork.ledger import steps
from pollenfork.store import edges
from pollenfork.store import errors as platform_errors

_MAX_ROUNDS = 4
_UNKNOWN_VERSION = -2  # The row must be read first.


class Settlement(enum.Enum):
    """Result of writing an outcome."""

    RECORDED = "recorded"
    DEFERRED = "deferred"  # The platform is unavailable; retried later.
    SUPERSEDED = "superseded"  # The row no longer belongs to this attempt.


class OutcomeWrite(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a claim, to be written.

    Attributes:
        row: Key of the row.
        record: The record to write.
        version: Version of the row as last seen; None if unknown.
        answer: The encoded answer; None if there is none or it is stored.
        recorded: The record is written; only the answer remains.
        try_number: Increases with each try, so that each try has its own write
            ids. A reused id would get the earlier response while the table
            remembers it, and would be applied again after that.
    """

    row: str
    record: records.Record
    version: int | None
    answer: bytes | None = None
    recorded: bool = False
    try_number: int = 0


class SettleResult(msgspec.Struct, frozen=True):
    """Result of one try; `remaining` is what a later try must write."""

    settlement: Settlement
    remaining: OutcomeWrite | None = None


def settle(write: OutcomeWrite) -> steps.Steps[SettleResult]:
    """Stores the answer, then writes the record; both may be deferred."""
    answer = write.answer
    if answer is not None:
        key = keys.make_answer_key(write.row, write.record.attempt)
        stored = yield from steps.store_object(key, answer)
        answer = None if stored.is_ok() else answer
    settlement = Settlement.RECORDED
    if not write.recorded:
        settlement = yield from _write_record(write)
    recorded = settlement is Settlement.RECORDED
    if settlement is Settlement.SUPERSEDED or (recorded and answer is None):
        return SettleResult(settlement)
    remaining = msgspec.structs.replace(
        write,
        version=None,
        answer=answer,
        recorded=recorded,
        try_number=write.try_number + 1,
    )
    return SettleResult(Settlement.DEFERRED, remaining)


def _write_record(write: OutcomeWrite) -> steps.Steps[Settlement]:
    expected = _UNKNOWN_VERSION if write.version is None else write.version
    for round_number in range(_MAX_ROUNDS):
        if expected == _UNKNOWN_VERSION:
            found = yield from _find_version(write)
            if isinstance(found, Settlement):
                return found
            expected = found
        written = yield from steps.commit(
            _make_transaction(write, expected, round_number)
        )
        if isinstance(written, result.Ok):
            return Settlement.RECORDED
        if not isinstance(written.err_value, platform_errors.Conflicted):
            return Settlement.DEFERRED
        expected = _UNKNOWN_VERSION
    return Settlement.DEFERRED


def _find_version(write: OutcomeWrite) -> steps.Steps[int | Settlement]:
    """Returns the version to overwrite, or the result if no write is due."""
    read = yield from steps.read_row(write.row)
    if isinstance(read, result.Err):
        return Settlement.DEFERRED
    row = read.ok_value
    if row is None:
        return _handle_absent(write)
    decoded = records.decode_record(row.value)
    if isinstance(decoded, result.Err):
        return Settlement.SUPERSEDED
    found = decoded.ok_value
    if found.attempt != write.record.attempt:
        return Settlement.SUPERSEDED
    if found.state in (write.record.state, records.State.DONE):
        return Settlement.RECORDED
    return row.version


def _handle_absent(write: OutcomeWrite) -> int | Settlement:
    # The claim's write got no response and may still be in transit. A row that
    # says "not run" makes that write fail, so that it can't open a record.
    if write.record.state is records.State.NOT_RUN:
        return edges.ABSENT
    return Settlement.SUPERSEDED


def _make_transaction(
    write: OutcomeWrite, expected: int, round_number: int
) -> edges.Transaction:
    value = records.encode_record(write.record)
    put = edges.Put(write.row, value, expected)
    name = f"{write.record.attempt}/end/{write.try_number}.{round_number}"
    return edges.Transaction(ids.WriteId(name), puts=(put,))
