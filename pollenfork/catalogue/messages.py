"""Rows of the store, the calls that read them, and their results.

Versions are those of `pollenfork.versions`, which order those of all epochs.
"""

import enum

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One row as of a version of the store.

    Attributes:
        key: Its key.
        value: Its bytes; empty if it was removed.
        version: The store's version that wrote or removed it.
        removed: Whether it no longer exists.
        missing: Whether the removal is known only from a read that lacks it.
    """

    key: str
    value: bytes
    version: int
    removed: bool = False
    missing: bool = False


class Rows(msgspec.Struct, frozen=True):
    """The answer to a read call.

    Attributes:
        rows: The rows of the range, or those that changed, in order.
        version: The store's newest version at the time of the answer.
        more: Whether the range continues after these rows.
        last_change: The store's version of the table's last change, if
            another instance sent it.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False
    last_change: int = 0


class ReadCall(msgspec.Struct, frozen=True, kw_only=True):
    """A read call to make now.

    Attributes:
        after: Wait for changes after this version; None reads the table.
        start: The first key to read, where the table is read.
        wait_s: How long the store may wait for a change, in seconds.
        timeout_s: When to abort the call, in seconds.
    """

    after: int | None
    start: str = ""
    wait_s: float = 0.0
    timeout_s: float


class ReadFailure(enum.Enum):
    """Why a call returned no rows."""

    REFUSED = "refused"  # The store rejected it.
    HISTORY_GONE = "history_gone"  # The store no longer has these changes.
    NO_ANSWER = "no_answer"  # Closed, unreachable or timed out.
    UNREADABLE = "unreadable"  # The answer can't be decoded.
    STALE = "stale"  # The answer is older than what is already known.

    @property
    def is_failure(self) -> bool:
        """Whether the store didn't answer the call."""
        return self in (ReadFailure.REFUSED, ReadFailure.NO_ANSWER)


class ChangeSource(enum.Enum):
    """Where changes were received from."""

    STORE = "store"
    PEER = "peer"  # Another instance, which had them from the store.


class Changes(msgspec.Struct, frozen=True):
    """Changes to a table's rows.

    Attributes:
        rows: Changed rows, each newer than the known version of its key.
        through: The store's version up to which all changes are known.
        source: Where they were received from.
        known_last_change: The store's version of the last change, if these
            rows don't show it: rows may have been removed that were never
            known here.
        superseded: Rows that were received but whose content is older than the
            known one, which stays.
    """

    rows: tuple[Row, ...]
    through: int
    source: ChangeSource = ChangeSource.STORE
    known_last_change: int = 0
    superseded: tuple[Row, ...] = ()

    @property
    def last_change(self) -> int:
        """The store's version of the newest change; 0 if there is none.

        When a row was removed that a full read lacks is unknown, but it wasn't
        after the read.
        """
        versions = [
            self.through if row.missing else row.version for row in self.rows
        ]
        return max(self.known_last_change, *versions, 0)
