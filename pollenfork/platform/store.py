"""Encodes calls to the store as HTTP requests and decodes the responses."""

from collections.abc import Iterable

import msgspec
import result

from pollenfork import failures
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages
from pollenfork.fleet import errors
from pollenfork.fleet import model as fleet
from pollenfork.platform import documents
from pollenfork.platform import entries
from pollenfork.platform import names
from pollenfork.platform import rows
from pollenfork.routes import model as routes

_Header = tuple[bytes, bytes]
_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410


class Store(msgspec.Struct, frozen=True):
    """Encodes and decodes calls to the store at one address.

    Attributes:
        host: The store's host and port, for the `Host` header.
    """

    host: str

    def encode_configuration_read(self, call: messages.ReadCall) -> bytes:
        """Returns the request that watches the configuration."""
        return self._encode_get(rows.format_read_path(rows.CONFIGURATION, call))

    def encode_runners_read(self, call: messages.ReadCall) -> bytes:
        """Returns the request that watches the registry of runners."""
        return self._encode_get(rows.format_read_path(rows.RUNNERS, call))

    def encode_range_read(self, table: changes.Table, start: str) -> bytes:
        """Returns the request for a table's rows, starting at a key."""
        return self._encode_get(rows.format_range_path(table.value, start))

    def encode_change(self, change: changes.Change) -> bytes:
        """Returns the request that writes and removes rows."""
        body = rows.encode_change(change)
        head = (
            f"POST {names.TRANSACTION_PATH} HTTP/1.1\r\nhost: {self.host}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def decode_change_result(
        self, status: int, body: bytes, headers: Iterable[_Header] = ()
    ) -> result.Result[int, changes.WriteFailure]:
        """Decodes the response to a change: the version of the rows written."""
        if status == _CONFLICT:
            return result.Err(changes.WriteFailure.CONFLICT)
        if status != _OK:
            return result.Err(changes.WriteFailure.REFUSED)
        decoded = rows.decode(body, headers).map_err(
            lambda error: changes.WriteFailure.NO_ANSWER
        )
        return decoded.map(lambda response: response.version)

    def decode_rows(
        self, status: int, body: bytes, headers: Iterable[_Header] = ()
    ) -> result.Result[messages.Rows, messages.ReadFailure]:
        """Decodes the response to any read."""
        if status == _HISTORY_GONE:
            return result.Err(messages.ReadFailure.HISTORY_GONE)
        if status != _OK:
            return result.Err(messages.ReadFailure.REFUSED)
        return rows.decode(body, headers).map_err(
            lambda error: messages.ReadFailure.UNREADABLE
        )

    def decode_configuration(
        self, row: messages.Row
    ) -> result.Result[routes.Configuration, failures.Failure] | None:
        """Decodes a row; returns None if it isn't the configuration."""
        if row.key != rows.CONFIGURATION_KEY or row.removed:
            return None
        return documents.decode_configuration(row.value)

    def decode_runner(
        self, row: messages.Row
    ) -> result.Result[fleet.Runner, errors.BadEntry]:
        """Decodes a row of the registry."""
        return entries.decode(row.key, row.value)

    def _encode_get(self, target: str) -> bytes:
        return f"GET {target} HTTP/1.1\r\nhost: {self.host}\r\n\r\n".encode()
