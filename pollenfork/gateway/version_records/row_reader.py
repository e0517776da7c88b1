"""Reads the records of all instances from the store."""

import asyncio

import msgspec

from pollenfork import versions
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.gateway import client
from pollenfork.gateway import edges
from pollenfork.gateway import settings
from pollenfork.streams import version_records

# The timeout of a call while a caller waits, in seconds. It usually takes some
# milliseconds.
_TIMEOUT_S = 0.5

Rows = dict[str, version_records.Record | None]


class AllRows(msgspec.Struct, frozen=True):
    """All rows of one moment.

    Attributes:
        rows: The records by host; None: one that can't be decoded.
        found: The version of this instance's own row; `ABSENT`: there is none.
        era: The store's era.
    """

    rows: Rows
    found: int
    era: int


class RowReader:
    """Reads all rows; requests that wait share a read."""

    def __init__(
        self, address: settings.Address, store: edges.Store, host: str
    ) -> None:
        """Creates a reader that has read nothing.

        Args:
            address: The store's address.
            store: Encodes and decodes the store's calls.
            host: This instance's host, the key of its row.
        """
        self._loop = asyncio.get_running_loop()
        self._client = client.Client(address)
        self._store = store
        self._host = host
        self._reading = asyncio.Lock()
        self._last: tuple[float, AllRows | None] = (0.0, None)

    def close(self) -> None:
        """Closes the connection to the store."""
        self._client.close()

    async def read_since(self, moment: float) -> AllRows | None:
        """Returns all rows, read after a moment; None: no answer."""
        async with self._reading:
            begun_at, read = self._last
            if begun_at < moment:
                begun_at = self._loop.time()
                read = await self.read()
                self._last = begun_at, read
            return read

    async def read(self) -> AllRows | None:
        """Returns all rows; None: the store didn't answer."""
        rows: Rows = {}
        found = changes.ABSENT
        start = ""
        while True:
            page = await self.read_page(changes.Table.STREAM_VERSIONS, start)
            if page is None:
                return None
            for row in page.rows:
                rows[row.key] = version_records.decode(row.value).ok()
                if row.key == self._host:
                    found = row.version
            if not page.more or not page.rows:
                return AllRows(rows, found, versions.get_epoch(page.version))
            start = page.rows[-1].key + "\0"

    async def read_page(
        self, table: changes.Table, start: str = ""
    ) -> catalogue.Rows | None:
        """Returns the rows of a table from a key on; None: no answer."""
        ask = self._store.encode_range_read(table, start)
        answer = await self._client.call(ask, _TIMEOUT_S)
        if answer is None:
            return None
        return self._store.decode_rows(*answer).ok()
