"""Keeps a copy of a table, and encodes it for other instances."""

import zlib

import msgspec
import result

from pollenfork import failures
from pollenfork import versions
from pollenfork.catalogue import messages


class EncodedTable(msgspec.Struct, frozen=True, array_like=True):
    """A whole table in the form that instances send to each other.

    Attributes:
        through: The store's version up to which all changes are known.
        unused: A field of earlier versions, left in place so that both can
            read each other.
        packed: The rows, encoded and compressed.
        last_change: The store's version of the table's last change; 0: sent by
            an earlier version, which doesn't tell.
        epoch: The epoch of all versions in it, which they don't contain
            themselves; 0: sent by an earlier version, which doesn't tell.
    """

    through: int
    unused: float | None
    packed: bytes
    last_change: int = 0
    epoch: int = 0


class BadTable(failures.Failure, frozen=True, kw_only=True):
    """Another instance's table can't be decoded."""


class TableCopy:
    """The rows of one table as this instance knows them."""

    def __init__(self) -> None:
        self._rows: dict[str, messages.Row] = {}
        self._through = 0
        self._last_change = 0
        self._packed: bytes | None = None

    def apply(self, changes: messages.Changes) -> None:
        """Applies changes."""
        if not versions.is_same_epoch(changes.through, self._through):
            # Rows are numbered by the epoch that they are sent in.
            self._packed = None
        self._through = changes.through
        self._last_change = max(self._last_change, changes.last_change)
        if not changes.rows:
            return
        self._packed = None
        for row in changes.rows:
            if row.removed:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row

    def encode(self) -> bytes:
        """Returns the encoded table for another instance."""
        if self._packed is None:
            rows = tuple(
                msgspec.structs.replace(row, version=self._number(row))
                for row in self._rows.values()
            )
            # A configuration of 350 routes takes 90 KB. Compressed to a tenth,
            # two dozen instances can fetch it over a small link.
            self._packed = zlib.compress(msgspec.msgpack.encode(rows), 1)
        table = EncodedTable(
            versions.get_number(self._through),
            None,
            self._packed,
            versions.get_number(self._last_change),
            versions.get_epoch(self._through),
        )
        return msgspec.msgpack.encode(table)

    def _number(self, row: messages.Row) -> int:
        """Returns a row's version as numbered in the table's epoch.

        A row that outlived its epoch is older than all that the epoch wrote.
        """
        if not versions.is_same_epoch(row.version, self._through):
            return 0
        return versions.get_number(row.version)


# Configurations and tables of runners take less than a megabyte.
_MAX_UNPACKED_BYTES = 16 << 20
_ROWS = msgspec.msgpack.Decoder(tuple[messages.Row, ...])
_TABLE = msgspec.msgpack.Decoder(EncodedTable)


def decode(data: bytes) -> result.Result[messages.Rows, BadTable]:
    """Returns the rows of another instance's encoded table."""
    try:
        table = _TABLE.decode(data)
        rows = _ROWS.decode(_unpack(table.packed))
    except (msgspec.MsgspecError, zlib.error) as error:
        return result.Err(BadTable(detail=str(error)))
    epoch = table.epoch
    combined = tuple(
        msgspec.structs.replace(
            row, version=versions.combine(epoch, row.version)
        )
        for row in rows
    )
    return result.Ok(
        messages.Rows(
            combined,
            versions.combine(epoch, table.through),
            last_change=versions.combine(epoch, table.last_change),
        )
    )


def _unpack(packed: bytes) -> bytes:
    """Returns the rows, which are invalid if they exceed the limit."""
    return zlib.decompressobj().decompress(packed, _MAX_UNPACKED_BYTES)
