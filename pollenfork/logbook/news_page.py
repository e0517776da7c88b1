"""How late news was, as text: a line a change, then the worst by way."""

from collections.abc import Iterable
from typing import TextIO

from pollenfork.logbook import news

_ROW = "{:26} {:>8} {:>7} {:>7} {:>7}  {}\n"


def write(changes: Iterable[news.Change], out: TextIO) -> None:
    """Writes all changes in order; times in seconds."""
    told = list(changes)
    out.write(_ROW.format("change", "at", "half", "last", "work", "last at"))
    start = told[0].at if told else 0.0
    for each in told:
        out.write(_write_change(each, each.at - start))
    for way, arrival, what in _find_worst(told):
        out.write(
            f"worst by {way}: {arrival.late_s:.2f} s at {arrival.instance},"
            f" {what}\n"
        )


def _write_change(change: news.Change, at: float) -> str:
    work = "-" if change.work_s is None else f"{change.work_s:.2f}"
    last = f"{change.worst.instance} ({change.worst.way})"
    if change.missed:
        last += f"; never at {', '.join(change.missed)}"
    return _ROW.format(
        change.what,
        f"{at:.1f}",
        f"{change.median_s:.2f}",
        f"{change.worst.late_s:.2f}",
        work,
        last,
    )


def _find_worst(
    changes: list[news.Change],
) -> list[tuple[str, news.Arrival, str]]:
    worst: dict[str, tuple[news.Arrival, str]] = {}
    for change in changes:
        for arrival in change.arrivals:
            known = worst.get(arrival.way)
            if known is None or arrival.late_s > known[0].late_s:
                worst[arrival.way] = arrival, change.what
    return [(way, *found) for way, found in sorted(worst.items())]
