"""What the core of the duties asks to have done, and is told."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.duties import rows


class Read(msgspec.Struct, frozen=True):
    """Read the whole table."""


class Write(msgspec.Struct, frozen=True):
    """Write rows, if the holder's row is still as it was read.

    Attributes:
        row: The holder's row.
        version: Which it must have.
        reports: Further rows.
        removed: Keys of rows to remove.
    """

    row: rows.HolderRow
    version: int
    reports: tuple[rows.ReportRow, ...] = ()
    removed: tuple[str, ...] = ()


Step = Read | Write


class Report(msgspec.Struct, frozen=True):
    """What began to run in a window, by account."""

    window: int
    counts: dict[ids.AccountId, int]


class Task(msgspec.Struct, frozen=True):
    """A call to the platform that only the holder may make.

    Attributes:
        fencing: The holder's number.
        before: Monotonic seconds from which on it must not be sent.
        work: What it says.
    """

    fencing: ids.FencingNumber
    before: float
    work: Report | rows.Order


class Reply(enum.Enum):
    """What the platform answered."""

    DONE = "done"
    BUSY = "busy"  # It may be asked again.
    UNAVAILABLE = "unavailable"  # There are no such runners now.
    REJECTED = "rejected"
    NO_ANSWER = "no_answer"
