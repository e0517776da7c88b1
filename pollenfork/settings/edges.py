"""The settings as the operator interface sees them."""

from typing import Protocol

import result

from pollenfork.settings import errors
from pollenfork.settings import messages
from pollenfork.settings import model


class SettingsService(Protocol):
    """Reads and writes for operators; any thread may call it.

    An operator is the SHA-256 hex digest of a token. Every call checks what
    it is bound to: `NotReady`, `UnknownOperator`, `Forbidden`.
    """

    def find_rights(
        self, operator: str
    ) -> result.Result[messages.Rights, errors.SettingsFailure]:
        """Returns what a token is bound to, by the settings in force."""

    def get_tree(self) -> model.Tree | None:
        """Returns the tree in force here, without accounts, or None."""

    def read(
        self, operator: str, path: str
    ) -> result.Result[messages.Reading, errors.SettingsFailure]:
        """Returns what is at a path; `NoSuchPath`, `Unreadable`."""

    def write(
        self, request: messages.WriteRequest
    ) -> result.Result[messages.Written, errors.SettingsFailure]:
        """Carries out a write; see `writer.Writer.write` for the failures."""

    def list_history(
        self, operator: str, path: str
    ) -> result.Result[
        tuple[messages.HistoryEntry, ...], errors.SettingsFailure
    ]:
        """Returns the kept writes of the subtree that a path is in."""
