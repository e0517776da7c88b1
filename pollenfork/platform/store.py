"""The store's calls as whole requests, and its answers decoded."""

import msgspec
import result

from pollenfork import failures
from pollenfork.catalogue import messages
from pollenfork.fleet import errors
from pollenfork.fleet import model as fleet
from pollenfork.platform import documents
from pollenfork.platform import entries
from pollenfork.platform import names
from pollenfork.platform import rows
from pollenfork.routes import model as routes

_OK = 200


class Store(msgspec.Struct, frozen=True):
    """The calls of the store at one address.

    Attributes:
        host: The store's `host:port`.
    """

    host: str

    def write_configuration_ask(self, ask: messages.Ask) -> bytes:
        """Returns the request that follows the configuration."""
        return self._write(rows.write_ask(rows.Table.CONFIGURATION, ask))

    def write_runners_ask(self, ask: messages.Ask) -> bytes:
        """Returns the request that follows the registry."""
        return self._write(rows.write_ask(rows.Table.RUNNERS, ask))

    def write_kept_ask(self, start: str) -> bytes:
        """Returns the request for the requests that are kept back."""
        return self._write(rows.write_range(rows.Table.KEPT_REQUESTS, start))

    def write_kept(
        self, key: str, value: bytes | None, trials: tuple[str, ...]
    ) -> bytes:
        """Returns the request that writes one of them, or removes it."""
        if value is not None:
            written = rows.Put(rows.Table.KEPT_REQUESTS, key, value)
            return self._write_change((written,))
        removed = [rows.Key(rows.Table.KEPT_REQUESTS, key)]
        removed += [rows.Key(rows.Table.TRIALS, each) for each in trials]
        return self._write_change(removed=tuple(removed))

    def write_trial(self, key: str) -> bytes:
        """Returns the request that claims a trial, which one caller can."""
        claim = rows.Put(rows.Table.TRIALS, key, b"", rows.ABSENT)
        return self._write_change((claim,))

    def _write_change(
        self,
        written: tuple[rows.Put, ...] = (),
        removed: tuple[rows.Key, ...] = (),
    ) -> bytes:
        body = rows.write_change(written, removed)
        head = (
            f"POST {names.CHANGE_PATH} HTTP/1.1\r\nhost: {self.host}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def read_rows(
        self, status: int, body: bytes
    ) -> result.Result[messages.Rows, messages.Trouble]:
        """Decodes the answer to either."""
        if status != _OK:
            return result.Err(rows.read_trouble(status))
        return rows.read(body).map_err(lambda bad: messages.Trouble.UNREADABLE)

    def read_configuration(
        self, row: messages.Row
    ) -> result.Result[routes.Configuration, failures.Failure] | None:
        """Decodes a row; None where it isn't the configuration."""
        if row.key != rows.CONFIGURATION_KEY or row.removed:
            return None
        return documents.read_configuration(row.value)

    def read_runner(
        self, row: messages.Row
    ) -> result.Result[fleet.Runner, errors.BadEntry]:
        """Decodes a row of the registry."""
        return entries.read(row.key, row.value)

    def _write(self, target: str) -> bytes:
        return f"GET {target} HTTP/1.1\r\nhost: {self.host}\r\n\r\n".encode()
