"""Rows of the store, the calls that read them, and what came of a call."""

import enum

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One row as it stood at a version of the store.

    Attributes:
        key: Its key.
        value: Its bytes; empty where it was removed.
        version: The store's version that wrote or removed it.
        removed: Whether it is no longer there.
        missing: Whether that is known only from a read without it.
    """

    key: str
    value: bytes
    version: int
    removed: bool = False
    missing: bool = False


class Rows(msgspec.Struct, frozen=True):
    """An answer to a reading call.

    Attributes:
        rows: The rows of the range, or those that changed, in order.
        version: The store's newest version at the answer.
        more: Whether the range goes on past these rows.
        news: The store's version of the table's last change, where another
            instance told it.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False
    news: int = 0


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """A reading call to make now.

    Attributes:
        after: Wait for changes after this version; None reads the table.
        start: The first key to read, where the table is read.
        wait_s: How long the store may wait for a change, in seconds.
        timeout_s: When to give the call up, in seconds.
    """

    after: int | None
    start: str = ""
    wait_s: float = 0.0
    timeout_s: float


class Trouble(enum.Enum):
    """Why a call brought no rows."""

    REFUSED = "refused"  # The store turned it away.
    HISTORY_GONE = "history_gone"  # The changes asked for are forgotten.
    NO_ANSWER = "no_answer"  # Closed, unreachable or too late.
    UNREADABLE = "unreadable"  # The answer can't be decoded.
    STALE = "stale"  # It is from before what is known already.

    @property
    def is_failure(self) -> bool:
        """Whether the store didn't do what it was asked."""
        return self in (Trouble.REFUSED, Trouble.NO_ANSWER)


class Way(enum.Enum):
    """From whom changes came."""

    STORE = "store"
    PEER = "peer"  # Another instance, which had them from the store.


class Changes(msgspec.Struct, frozen=True):
    """What a table's rows have become.

    Attributes:
        rows: Rows that changed, each newer than what was known of its key.
        through: The store's version up to which nothing is unknown.
        way: From whom they came.
        known_news: The store's version of the last change, where these rows
            don't show it: rows may have been removed that were never known.
    """

    rows: tuple[Row, ...]
    through: int
    way: Way = Way.STORE
    known_news: int = 0

    @property
    def news(self) -> int:
        """The store's version of the newest change; 0 where there is none.

        A row that a whole read found missing was removed nobody knows when,
        but not after the read.
        """
        versions = [
            self.through if row.missing else row.version for row in self.rows
        ]
        return max(self.known_news, *versions, 0)
