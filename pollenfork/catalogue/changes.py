"""Changes that instances make to the store's tables, and why they fail."""

import enum

import msgspec

ABSENT = 0  # The version of a row that doesn't exist.


class Table(enum.Enum):
    """The tables that instances write to."""

    KEPT_REQUESTS = "kept-requests"
    TRIALS = "kept-trials"
    DUTIES = "duties"
    STREAM_VERSIONS = "stream-versions"


class Key(msgspec.Struct, frozen=True):
    """Identifies a row."""

    table: Table
    key: str


class Put(msgspec.Struct, frozen=True):
    """Writes a row.

    Attributes:
        table: Its table.
        key: Its key.
        value: Its bytes.
        expected: The version that the row must have; None: any.
    """

    table: Table
    key: str
    value: bytes
    expected: int | None = None


class Change(msgspec.Struct, frozen=True):
    """Rows to write and to remove in one transaction.

    Attributes:
        written: Rows to write.
        removed: Rows to remove.
        absent: Rows that must not exist.
    """

    written: tuple[Put, ...] = ()
    removed: tuple[Key, ...] = ()
    absent: tuple[Key, ...] = ()

    def list_conditions(self) -> list[tuple[Key, int]]:
        """Returns the versions that rows must have."""
        expected = [
            (Key(put.table, put.key), put.expected)
            for put in self.written
            if put.expected is not None
        ]
        return [*expected, *((key, ABSENT) for key in self.absent)]


class WriteFailure(enum.Enum):
    """Why a change failed."""

    CONFLICT = "conflict"  # A row doesn't have the expected version.
    REFUSED = "refused"  # Nothing was changed.
    NO_ANSWER = "no_answer"  # The change may have been made, or still be made.
