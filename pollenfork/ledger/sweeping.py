"""The core of the clean-up: one bounded page of records at a time."""

from collections.abc import Callable

import msgspec
import result

from pollenfork import ids
from pollenfork.ledger import claiming
from pollenfork.ledger import keys
from pollenfork.ledger import records
from pollenfork.ledger import steps
from pollenfork.store import edges
from pollenfork.store import errors as platform_errors

WRITE_PART = 0.25  # Each keyed request writes four times, once to leave.


def compute_removals(writes_per_s: float, period_s: float) -> int:
    """Returns the records that one sweep may remove.

    Args:
        writes_per_s: The instance's share of the platform's writes.
        period_s: Seconds between two sweeps.
    """
    return max(1, int(writes_per_s * period_s * WRITE_PART))


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """One page to clean.

    Attributes:
        after: Key of the last row looked at; empty for the first page.
        rows: Rows read at most.
        removals: Expired records removed at most; each costs a write for
            its answer.
        write_id: New for each page.
        is_lost: Returns whether the owner of an open record has ended.
    """

    after: str
    rows: int
    removals: int
    write_id: ids.WriteId
    now_ms: int
    limits: claiming.Limits
    is_lost: Callable[[records.Record], bool]


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """What a page came to.

    Attributes:
        after: Where the next page begins; empty at the end of the table.
        open_records: Open ones seen that were left open.
        closed: Open ones whose outcome was set to unknown.
    """

    after: str
    rows: int = 0
    open_records: int = 0
    closed: int = 0
    removed: int = 0
    unreadable: int = 0


class _Page(msgspec.Struct):
    puts: list[edges.Put]
    deletes: list[edges.Delete]
    after: str
    rows: int = 0
    open_records: int = 0
    unreadable: int = 0
    whole: bool = True


def sweep(ask: Ask) -> steps.Steps[Report]:
    """Closes abandoned records and removes expired ones of one page.

    All instances do this at random places without agreeing: each write has
    the row's version as its condition, so two that meet do no harm.
    """
    scanned = yield from steps.scan_rows(keys.ROW_PREFIX, ask.after, ask.rows)
    if isinstance(scanned, result.Err):
        return Report(after=ask.after)
    rows = scanned.ok_value
    page = _Page(puts=[], deletes=[], after=ask.after)
    for row in rows:
        handled = yield from _handle(ask, row, page)
        if not handled:
            page.whole = False
            break
        page.rows += 1
        page.after = row.key
    closed, removed = yield from _commit(ask, page)
    at_end = page.whole and len(rows) < ask.rows
    return Report(
        after="" if at_end else page.after,
        rows=page.rows,
        open_records=page.open_records,
        closed=closed,
        removed=removed,
        unreadable=page.unreadable,
    )


def _handle(ask: Ask, row: edges.Row, page: _Page) -> steps.Steps[bool]:
    """Adds the row's writes to the page; False where the page must end."""
    decoded = records.decode_record(row.value)
    if isinstance(decoded, result.Err):
        page.unreadable += 1  # A later version's; that version removes it.
        return True
    record = decoded.ok_value
    if claiming.is_expired(record, ask.now_ms, ask.limits):
        return (yield from _remove(ask, row, record, page))
    if record.state is not records.State.OPEN:
        return True
    overdue = claiming.is_overdue(record, ask.now_ms, ask.limits)
    if overdue or ask.is_lost(record):
        page.puts.append(_make_unknown(ask, row, record))
    else:
        page.open_records += 1
    return True


def _remove(
    ask: Ask, row: edges.Row, record: records.Record, page: _Page
) -> steps.Steps[bool]:
    if len(page.deletes) >= ask.removals:
        return False
    if record.state is not records.State.NOT_RUN:
        # The answer goes first: a row without it can be removed later, an
        # answer without its row would stay for ever.
        key = keys.make_answer_key(row.key, record.attempt)
        removed = yield from steps.remove_object(key)
        if removed.is_err():
            return False
    page.deletes.append(edges.Delete(row.key, row.version))
    return True


def _make_unknown(
    ask: Ask, row: edges.Row, record: records.Record
) -> edges.Put:
    closed = msgspec.structs.replace(
        record, state=records.State.UNKNOWN, changed_ms=ask.now_ms
    )
    return edges.Put(row.key, records.encode_record(closed), row.version)


def _commit(ask: Ask, page: _Page) -> steps.Steps[tuple[int, int]]:
    """Writes the page, without the rows that changed meanwhile."""
    puts, deletes = tuple(page.puts), tuple(page.deletes)
    for number in range(2):
        if not puts and not deletes:
            return 0, 0
        name = ids.WriteId(f"{ask.write_id}/sweep/{number}")
        written = yield from steps.commit(
            edges.Transaction(name, puts=puts, deletes=deletes)
        )
        if isinstance(written, result.Ok):
            return len(puts), len(deletes)
        failure = written.err_value
        if not isinstance(failure, platform_errors.Conflicted):
            return 0, 0
        puts = tuple(put for put in puts if put.key not in failure.keys)
        deletes = tuple(row for row in deletes if row.key not in failure.keys)
    return 0, 0
