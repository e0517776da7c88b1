"""Text report of change propagation: one line per change, slowest by source."""

from collections.abc import Iterable
from typing import TextIO

from pollenfork.logbook import propagation

_ROW = "{:26} {:>8} {:>7} {:>7} {:>7}  {}\n"


def write(changes: Iterable[propagation.Change], out: TextIO) -> None:
    """Writes all changes in order, with times in seconds."""
    listed = list(changes)
    out.write(_ROW.format("change", "at", "half", "last", "work", "last at"))
    start = listed[0].at if listed else 0.0
    for each in listed:
        out.write(_format_change(each, each.at - start))
    for source, receipt, what in _find_slowest_by_source(listed):
        out.write(
            f"worst by {source}: {receipt.delay_s:.2f} s at {receipt.instance},"
            f" {what}\n"
        )


def _format_change(change: propagation.Change, at: float) -> str:
    last_request = (
        "-" if change.last_request_s is None else f"{change.last_request_s:.2f}"
    )
    last = f"{change.slowest.instance} ({change.slowest.source})"
    if change.missing:
        last += f"; never at {', '.join(change.missing)}"
    return _ROW.format(
        change.what,
        f"{at:.1f}",
        f"{change.median_s:.2f}",
        f"{change.slowest.delay_s:.2f}",
        last_request,
        last,
    )


def _find_slowest_by_source(
    changes: list[propagation.Change],
) -> list[tuple[str, propagation.Receipt, str]]:
    slowest: dict[str, tuple[propagation.Receipt, str]] = {}
    for change in changes:
        for receipt in change.receipts:
            previous = slowest.get(receipt.source)
            if previous is None or receipt.delay_s > previous[0].delay_s:
                slowest[receipt.source] = receipt, change.what
    return [(source, *found) for source, found in sorted(slowest.items())]
