"""The interface between the settings and the operator API."""

from typing import Protocol

import result

from pollenfork.settings import errors
from pollenfork.settings import messages
from pollenfork.settings import model


class SettingsService(Protocol):
    """Reads and writes for operators; thread-safe.

    An operator is identified by the SHA-256 hex digest of a token. Every call
    checks the token's rights and may fail with `NotReady`, `UnknownOperator`
    or `Forbidden`.
    """

    def find_rights(
        self, operator: str
    ) -> result.Result[messages.Rights, errors.SettingsFailure]:
        """Returns the rights that the settings in force grant a token."""

    def get_tree(self) -> model.Tree | None:
        """Returns the tree in force without accounts; None if none."""

    def read(
        self, operator: str, path: str
    ) -> result.Result[messages.Reading, errors.SettingsFailure]:
        """Returns the value at a path; `NoSuchPath`, `Unreadable`."""

    def write(
        self, request: messages.WriteRequest
    ) -> result.Result[messages.Written, errors.SettingsFailure]:
        """Performs a write; see `writer.Writer.write` for the failures."""

    def list_history(
        self, operator: str, path: str
    ) -> result.Result[
        tuple[messages.HistoryEntry, ...], errors.SettingsFailure
    ]:
        """Returns the history of the subtree that contains a path."""
