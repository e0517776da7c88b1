"""Rows that instances write themselves, and what came of it."""

import enum

import msgspec

ABSENT = 0  # The version of a row that doesn't exist.


class Table(enum.Enum):
    """The tables that instances write to."""

    KEPT_REQUESTS = "kept-requests"
    TRIALS = "kept-trials"
    DUTIES = "duties"


class Key(msgspec.Struct, frozen=True):
    """Names a row."""

    table: Table
    key: str


class Put(msgspec.Struct, frozen=True):
    """Writes a row.

    Attributes:
        table: Its table.
        key: Its key.
        value: Its bytes.
        expected: The version that it must have; None: any.
    """

    table: Table
    key: str
    value: bytes
    expected: int | None = None


class Change(msgspec.Struct, frozen=True):
    """Rows to write and to remove, all or none of them."""

    written: tuple[Put, ...] = ()
    removed: tuple[Key, ...] = ()


class Trouble(enum.Enum):
    """Why a change wasn't made."""

    CONFLICT = "conflict"  # A row isn't at the version that it must have.
    REFUSED = "refused"  # Nothing was done.
    NO_ANSWER = "no_answer"  # It may have been made, or will be.
