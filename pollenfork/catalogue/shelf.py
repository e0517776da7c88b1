"""One table's rows as this instance knows them, for others to read."""

import zlib

import msgspec
import result

from pollenfork import failures
from pollenfork.catalogue import messages


class Shared(msgspec.Struct, frozen=True, array_like=True):
    """A whole table as one instance tells it to another.

    Attributes:
        through: The store's version up to which nothing is unknown.
        unused: Keeps the place of what earlier versions tell here, so that
            both read each other.
        packed: The rows, encoded and compressed.
        news: The store's version of the table's last change; 0 where an
            earlier version doesn't say.
    """

    through: int
    unused: float | None
    packed: bytes
    news: int = 0


class BadTable(failures.Failure, frozen=True, kw_only=True):
    """Another instance's table can't be decoded."""


class Shelf:
    """Keeps the rows of one table."""

    def __init__(self) -> None:
        self._rows: dict[str, messages.Row] = {}
        self._through = 0
        self._news = 0
        self._packed: bytes | None = None

    def take(self, changes: messages.Changes) -> None:
        """Takes what changed."""
        self._through = changes.through
        self._news = max(self._news, changes.news)
        if not changes.rows:
            return
        self._packed = None
        for row in changes.rows:
            if row.removed:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row

    def write(self) -> bytes:
        """Returns the table for another instance."""
        if self._packed is None:
            rows = tuple(self._rows.values())
            # A configuration of 350 routes takes 90 KB and compresses to a
            # tenth, which two dozen instances can ask a small link for.
            self._packed = zlib.compress(msgspec.msgpack.encode(rows), 1)
        shared = Shared(self._through, None, self._packed, self._news)
        return msgspec.msgpack.encode(shared)


_ROWS = msgspec.msgpack.Decoder(tuple[messages.Row, ...])
_SHARED = msgspec.msgpack.Decoder(Shared)


def read(data: bytes) -> result.Result[messages.Rows, BadTable]:
    """Returns another instance's rows."""
    try:
        shared = _SHARED.decode(data)
        rows = _ROWS.decode(zlib.decompress(shared.packed))
    except (msgspec.MsgspecError, zlib.error) as error:
        return result.Err(BadTable(detail=str(error)))
    return result.Ok(messages.Rows(rows, shared.through, news=shared.news))
