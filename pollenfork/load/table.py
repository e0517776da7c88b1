"""Renders the report of a load run: rich on a terminal, else plain."""

from collections.abc import Iterator
from typing import TextIO

from pollenfork import tables
from pollenfork.load import report as reports

_COLUMNS = (
    "class", "sent", "whole", "attained", "goodput/s", "first p50", "first p95",
    "gap p95", "not answered",
)  # fmt: skip


def write_report(
    report: reports.Report, out: TextIO, is_terminal: bool
) -> None:
    """Writes the table and a summary; times are in milliseconds."""
    rows = [_make_row(name, c) for name, c in sorted(report.classes.items())]
    tables.write_table(_COLUMNS, rows, out, is_terminal)
    for line in _make_lines(report):
        out.write(line + "\n")


def _make_row(name: str, results: reports.ClassReport) -> tuple[str, ...]:
    reasons = ", ".join(f"{k} {v}" for k, v in results.reasons.items())
    return (
        name,
        str(results.sent),
        str(results.whole),
        f"{results.attainment:.1%}",
        f"{results.goodput:.2f}",
        f"{results.first_token_p50:.0f}",
        f"{results.first_token_p95:.0f}",
        f"{results.gap_p95:.1f}",
        reasons or "-",
    )


def _make_lines(report: reports.Report) -> Iterator[str]:
    yield f"goodput {report.goodput:.2f}/s, broken answers {report.broken}"
    waste = report.waste
    if waste:
        yield (
            f"tokens generated {waste.generated}, wasted {waste.wasted} "
            f"({waste.share:.2%}), repeats {waste.repeats}, "
            f"run though refused {waste.run_though_refused}"
        )
