"""Rows that this slice keeps in the store, and their keys.

All lie in one table and change in one transaction, with the holder's row as
its condition: whoever reads them sees them as of one moment.
"""

import msgspec

from pollenfork import ids
from pollenfork.leases import claims
from pollenfork.leases import records

HOLDER_KEY = "holder"
FORMAT = records.FORMAT
BadRow = records.BadRow
encode = records.encode
decode = records.decode
# Accounts in one row, some 30 bytes each; a row takes 64 KB.
_ACCOUNTS_EACH = 1500


class Subject(msgspec.Struct, frozen=True):
    """What an order to the platform is about.

    Attributes:
        service: The service.
        data_centre: Where its runners run.
        reclaimable: Whether it is about those that may be taken away.
    """

    service: ids.ServiceName
    data_centre: ids.DataCentre
    reclaimable: bool


class Order(msgspec.Struct, frozen=True):
    """How many runners there shall be."""

    subject: Subject
    count: int


class HolderRow(claims.Claim, frozen=True, kw_only=True):
    """Who acts for all, and how far that has come.

    Attributes:
        host: The holder's host.
        next_window: The first window whose report isn't written down.
        orders: The latest order on each subject.
        baselines: How many runners an operator started each service with.
    """

    host: str = ""
    next_window: int = 0
    orders: tuple[Order, ...] = ()
    baselines: dict[ids.ServiceName, int] = msgspec.field(default_factory=dict)
    format: int = FORMAT


class ReportRow(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a window's report, which never changes once it is written.

    Attributes:
        window: The window's number.
        part: Which part, from 0 on.
        parts: How many there are.
        counts: Requests that began to run, by account.
    """

    window: int
    part: int
    parts: int
    counts: dict[ids.AccountId, int]
    format: int = FORMAT


def report_key(window: int, part: int) -> str:
    """Returns the key of a part of a window's report."""
    return f"report-{window}-{part}"


def cut_report(
    window: int, counts: dict[ids.AccountId, int]
) -> tuple[ReportRow, ...]:
    """Returns a window's report as rows, each small enough for the store."""
    names = sorted(counts)
    pieces = [
        names[first : first + _ACCOUNTS_EACH]
        for first in range(0, len(names), _ACCOUNTS_EACH)
    ] or [[]]
    return tuple(
        ReportRow(
            window=window,
            part=part,
            parts=len(pieces),
            counts={name: counts[name] for name in piece},
        )
        for part, piece in enumerate(pieces)
    )
