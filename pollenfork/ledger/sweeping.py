"""Cleans up records, one bounded page at a time."""

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

# A keyed request makes four writes in all; one of them removes its record.
WRITE_SHARE = 0.25


def compute_removals(writes_per_s: float, period_s: float) -> int:
    """Returns the number of records that one sweep may remove.

    Args:
        writes_per_s: The instance's share of the platform's writes.
        period_s: Seconds between two sweeps.
    """
    return max(1, int(writes_per_s * period_s * WRITE_SHARE))


class PageRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A page of records to clean up.

    Attributes:
        after: Key of the last row processed; empty for the first page.
        rows: Maximum number of rows to read.
        removals: Maximum number of expired records to remove; each costs
            one more write, for its answer.
        write_id: A new id for each page.
        is_owner_gone: Returns whether the owner of an open record has ended.
    """

    after: str
    rows: int
    removals: int
    write_id: ids.WriteId
    now_ms: int
    limits: claiming.Limits
    is_owner_gone: Callable[[records.Record], bool]


class PageReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of cleaning one page.

    Attributes:
        after: Key after which the next page starts; empty at the end of the
            table.
        open_records: Open records that stay open.
        closed: Open records whose outcome was set to unknown.
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
    complete: bool = True


def sweep(request: PageRequest) -> steps.Steps[PageReport]:
    """Closes abandoned and removes expired records of one page.

    All instances do this from random positions without coordination. Each write
    depends on the row's version, so overlapping sweeps do no harm.
    """
    scanned = yield from steps.scan_rows(
        keys.ROW_PREFIX, request.after, request.rows
    )
    if isinstance(scanned, result.Err):
        return PageReport(after=request.after)
    rows = scanned.ok_value
    page = _Page(puts=[], deletes=[], after=request.after)
    for row in rows:
        processed = yield from _process_row(request, row, page)
        if not processed:
            page.complete = False
            break
        page.rows += 1
        page.after = row.key
    closed, removed = yield from _commit(request, page)
    at_end = page.complete and len(rows) < request.rows
    return PageReport(
        after="" if at_end else page.after,
        rows=page.rows,
        open_records=page.open_records,
        closed=closed,
        removed=removed,
        unreadable=page.unreadable,
    )


def _process_row(
    request: PageRequest, row: edges.Row, page: _Page
) -> steps.Steps[bool]:
    """Adds the row's writes to the page; returns False to end the page."""
    decoded = records.decode_record(row.value)
    if isinstance(decoded, result.Err):
        page.unreadable += 1  # Written by a later version, which removes it.
        return True
    record = decoded.ok_value
    if claiming.is_expired(record, request.now_ms, request.limits):
        return (yield from _add_removal(request, row, record, page))
    if record.state is not records.State.OPEN:
        return True
    overdue = claiming.is_overdue(record, request.now_ms, request.limits)
    if overdue or request.is_owner_gone(record):
        page.puts.append(_make_closing_put(request, row, record))
    else:
        page.open_records += 1
    return True


def _add_removal(
    request: PageRequest, row: edges.Row, record: records.Record, page: _Page
) -> steps.Steps[bool]:
    if len(page.deletes) >= request.removals:
        return False
    if record.state is not records.State.NOT_RUN:
        # Remove the answer first: a row without answer can be removed later,
        # but an answer without row would never be found again.
        key = keys.make_answer_key(row.key, record.attempt)
        removed = yield from steps.remove_object(key)
        if removed.is_err():
            return False
    page.deletes.append(edges.Delete(row.key, row.version))
    return True


def _make_closing_put(
    request: PageRequest, row: edges.Row, record: records.Record
) -> edges.Put:
    closed = msgspec.structs.replace(
        record, state=records.State.UNKNOWN, changed_ms=request.now_ms
    )
    return edges.Put(row.key, records.encode_record(closed), row.version)


def _commit(request: PageRequest, page: _Page) -> steps.Steps[tuple[int, int]]:
    """Writes the page, except for rows that changed meanwhile."""
    puts, deletes = tuple(page.puts), tuple(page.deletes)
    for number in range(2):
        if not puts and not deletes:
            return 0, 0
        name = ids.WriteId(f"{request.write_id}/sweep/{number}")
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
