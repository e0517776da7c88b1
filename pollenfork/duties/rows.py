"""Rows that the duties keep in the store, and their keys.

All are in one table and change in one transaction that is conditional on the
holder's row, so that every read returns a consistent snapshot.
"""

import msgspec

from pollenfork import ids
from pollenfork.leases import claims
from pollenfork.leases import records

HOLDER_KEY = "holder"
# A row with such a key shows that someone has claimed in an epoch of the store.
_EPOCH_PREFIX = "epoch-"
EPOCH_VALUE = b"{}"
FORMAT = records.FORMAT
BadRow = records.BadRow
encode = records.encode
decode = records.decode
# Accounts per row, about 30 bytes each; a row may have 64 KB.
_ACCOUNTS_PER_ROW = 1500


class RunnerPool(msgspec.Struct, frozen=True):
    """The runners that a scaling order is about.

    Attributes:
        service: The service.
        data_centre: The data centre in which the runners run.
        reclaimable: Whether it is about runners that may be reclaimed.
    """

    service: ids.ServiceName
    data_centre: ids.DataCentre
    reclaimable: bool


class ScalingOrder(msgspec.Struct, frozen=True):
    """The number of runners that a pool should have."""

    subject: RunnerPool
    count: int


class HolderRow(claims.Claim, frozen=True, kw_only=True):
    """Who holds the duties, and their progress.

    Attributes:
        host: The holder's host.
        next_window: The first window whose report isn't stored.
        orders: The latest order for each pool.
        baselines: How many runners an operator started each service with.
        epoch: The epoch of the store in which `next_window` was established.
            In a later one it says nothing of the reports that were stored
            after the copy was made.
    """

    host: str = ""
    next_window: int = 0
    orders: tuple[ScalingOrder, ...] = ()
    baselines: dict[ids.ServiceName, int] = msgspec.field(default_factory=dict)
    format: int = FORMAT
    epoch: int = 0


class ReportRow(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a window's report; immutable once it is written.

    Attributes:
        window: The number of the window.
        part: The index of the part, from 0 on.
        parts: How many parts the report has.
        counts: How many requests of each account started.
    """

    window: int
    part: int
    parts: int
    counts: dict[ids.AccountId, int]
    format: int = FORMAT


def format_report_key(window: int, part: int) -> str:
    """Returns the key of a part of a window's report."""
    return f"report-{window}-{part}"


def format_epoch_key(epoch: int) -> str:
    """Returns the key of the row that shows that an epoch has begun."""
    return f"{_EPOCH_PREFIX}{epoch}"


def is_epoch_key(key: str) -> bool:
    """Returns whether a row shows that an epoch has begun."""
    return key.startswith(_EPOCH_PREFIX)


def split_report(
    window: int, counts: dict[ids.AccountId, int]
) -> tuple[ReportRow, ...]:
    """Returns a window's report as rows, each within the store's size limit."""
    names = sorted(counts)
    chunks = [
        names[first : first + _ACCOUNTS_PER_ROW]
        for first in range(0, len(names), _ACCOUNTS_PER_ROW)
    ] or [[]]
    return tuple(
        ReportRow(
            window=window,
            part=part,
            parts=len(chunks),
            counts={name: counts[name] for name in chunk},
        )
        for part, chunk in enumerate(chunks)
    )
