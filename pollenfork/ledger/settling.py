"""The core of an ending: writes what became of a claimed request."""

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
_REREAD = -2  # The row's version isn't known.


class Settlement(enum.Enum):
    """What became of an ending."""

    RECORDED = "recorded"
    DEFERRED = "deferred"  # The platform is away; tried again later.
    SUPERSEDED = "superseded"  # The row is no longer this attempt's.


class Ending(msgspec.Struct, frozen=True, kw_only=True):
    """An ending to write.

    Attributes:
        row: Key of the row.
        record: As it shall stand.
        version: Of the row as last seen; None where it isn't known.
        answer: The answer's object, until it is stored.
        number: Grows with each try, so that each try has write ids of its
            own: an old id would be answered from memory at first and have
            a second effect once the table has forgotten it.
    """

    row: str
    record: records.Record
    version: int | None
    answer: bytes | None = None
    recorded: bool = False
    number: int = 0


class Settled(msgspec.Struct, frozen=True):
    """The verdict; `rest` is what a later try has to do."""

    settlement: Settlement
    rest: Ending | None = None


def settle(ending: Ending) -> steps.Steps[Settled]:
    """Stores the answer, then writes the record, as far as possible."""
    answer = ending.answer
    if answer is not None:
        key = keys.make_answer_key(ending.row, ending.record.attempt)
        stored = yield from steps.store_object(key, answer)
        answer = None if stored.is_ok() else answer
    settlement = Settlement.RECORDED
    if not ending.recorded:
        settlement = yield from _record(ending)
    recorded = settlement is Settlement.RECORDED
    if settlement is Settlement.SUPERSEDED or (recorded and answer is None):
        return Settled(settlement)
    rest = msgspec.structs.replace(
        ending,
        version=None,
        answer=answer,
        recorded=recorded,
        number=ending.number + 1,
    )
    return Settled(Settlement.DEFERRED, rest)


def _record(ending: Ending) -> steps.Steps[Settlement]:
    expected = _REREAD if ending.version is None else ending.version
    for number in range(_MAX_ROUNDS):
        if expected == _REREAD:
            found = yield from _find_version(ending)
            if isinstance(found, Settlement):
                return found
            expected = found
        written = yield from steps.commit(
            _make_transaction(ending, expected, number)
        )
        if isinstance(written, result.Ok):
            return Settlement.RECORDED
        if not isinstance(written.err_value, platform_errors.Conflicted):
            return Settlement.DEFERRED
        expected = _REREAD
    return Settlement.DEFERRED


def _find_version(ending: Ending) -> steps.Steps[int | Settlement]:
    """Returns the version to write over, or the verdict without a write."""
    read = yield from steps.read_row(ending.row)
    if isinstance(read, result.Err):
        return Settlement.DEFERRED
    row = read.ok_value
    if row is None:
        return _judge_absent(ending)
    decoded = records.decode_record(row.value)
    if isinstance(decoded, result.Err):
        return Settlement.SUPERSEDED
    found = decoded.ok_value
    if found.attempt != ending.record.attempt:
        return Settlement.SUPERSEDED
    if found.state in (ending.record.state, records.State.DONE):
        return Settlement.RECORDED
    return row.version


def _judge_absent(ending: Ending) -> int | Settlement:
    # A claim whose answer was lost may still be on its way; a row that says
    # "not run" takes its place, so that it can't open a record any more.
    if ending.record.state is records.State.NOT_RUN:
        return edges.ABSENT
    return Settlement.SUPERSEDED


def _make_transaction(
    ending: Ending, expected: int, number: int
) -> edges.Transaction:
    value = records.encode_record(ending.record)
    put = edges.Put(ending.row, value, expected)
    name = f"{ending.record.attempt}/end/{ending.number}.{number}"
    return edges.Transaction(ids.WriteId(name), puts=(put,))
