"""Calls that the duty lease asks for, and the platform's replies."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.duties import rows


class Read(msgspec.Struct, frozen=True):
    """Read the whole table."""


class Write(msgspec.Struct, frozen=True):
    """Write rows, provided that the holder's row hasn't changed since the read.

    Attributes:
        row: The new row of the holder.
        version: The version that the stored row must have.
        reports: Rows of reports to add.
        removed: Keys of rows to remove.
        epochs: Epochs of the store to record as begun.
        unless_begun: The write fails if this epoch was recorded as begun.
    """

    row: rows.HolderRow
    version: int
    reports: tuple[rows.ReportRow, ...] = ()
    removed: tuple[str, ...] = ()
    epochs: tuple[int, ...] = ()
    unless_begun: int = 1


StoreCall = Read | Write


class UsageReport(msgspec.Struct, frozen=True):
    """How many requests of each account started in a window."""

    window: int
    counts: dict[ids.AccountId, int]


class PlatformCall(msgspec.Struct, frozen=True):
    """A call to the platform that only the holder may make.

    Attributes:
        fencing: The holder's fencing number.
        deadline: Monotonic seconds from which on it must not be sent.
        work: What to send.
    """

    fencing: ids.FencingNumber
    deadline: float
    work: UsageReport | rows.ScalingOrder


class Reply(enum.Enum):
    """The platform's reply to a call."""

    DONE = "done"
    BUSY = "busy"  # The call may be retried.
    UNAVAILABLE = "unavailable"  # No such runners are available now.
    REJECTED = "rejected"
    NO_ANSWER = "no_answer"
