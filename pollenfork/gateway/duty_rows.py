"""Reads and writes the rows of the duties in the store."""

import logging

import result

from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.gateway import client
from pollenfork.gateway import edges
from pollenfork.gateway import settings

_LOG = logging.getLogger(__name__)

# The timeout of a call, in seconds. A call usually takes some milliseconds, but
# the store may be slow.
_CALL_TIMEOUT_S = 1.0


class DutyRows:
    """Reads and writes the table of the duties, one call at a time."""

    def __init__(self, address: settings.Address, store: edges.Store) -> None:
        """Creates a client of the store.

        Args:
            address: The store's address.
            store: Encodes and decodes the store's calls.
        """
        self._client = client.Client(address)
        self._store = store

    async def read(
        self,
    ) -> result.Result[catalogue.Rows, catalogue.ReadFailure]:
        """Returns all rows, reading as many pages as needed."""
        found: tuple[catalogue.Row, ...] = ()
        start = ""
        while True:
            ask = self._store.encode_range_read(changes.Table.DUTIES, start)
            answer = await self._client.call(ask, _CALL_TIMEOUT_S)
            if answer is None:
                return result.Err(catalogue.ReadFailure.NO_ANSWER)
            read = self._store.decode_rows(*answer)
            if isinstance(read, result.Err):
                return read
            page = read.ok_value
            found += page.rows
            if not page.more or not page.rows:
                return result.Ok(catalogue.Rows(found, page.version))
            start = page.rows[-1].key + "\0"

    async def write(
        self, step: messages.Write
    ) -> result.Result[int, changes.WriteFailure]:
        """Returns the version of the rows written, or why the write failed."""
        change = self._store.encode_change(_make_change(step))
        answer = await self._client.call(change, _CALL_TIMEOUT_S)
        written: result.Result[int, changes.WriteFailure]
        written = result.Err(changes.WriteFailure.NO_ANSWER)
        if answer is not None:
            written = self._store.decode_change_result(*answer)
        if isinstance(written, result.Err):
            _LOG.warning(
                "event=duty_write_failed fencing=%d trouble=%s",
                step.row.fencing,
                written.err_value.value,
            )
        return written


def _make_change(step: messages.Write) -> changes.Change:
    """Returns the change that a write step of the holder stands for."""
    table = changes.Table.DUTIES
    holder = changes.Put(
        table, rows.HOLDER_KEY, rows.encode(step.row), step.version
    )
    reports = [
        changes.Put(
            table,
            rows.format_report_key(each.window, each.part),
            rows.encode(each),
        )
        for each in step.reports
    ]
    epochs = [
        changes.Put(table, rows.format_epoch_key(epoch), rows.EPOCH_VALUE)
        for epoch in step.epochs
    ]
    removed = [changes.Key(table, key) for key in step.removed]
    next_epoch = changes.Key(table, rows.format_epoch_key(step.unless_begun))
    return changes.Change(
        (holder, *reports, *epochs), tuple(removed), (next_epoch,)
    )
