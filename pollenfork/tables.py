"""Writes tables: with rich on a terminal, otherwise as plain text."""

from collections.abc import Iterable, Sequence
from typing import TextIO


def write_table(
    columns: Sequence[str],
    rows: Iterable[Sequence[str]],
    out: TextIO,
    is_terminal: bool,
) -> None:
    """Writes a table; each row must have one cell per column."""
    all_rows = list(rows)
    if is_terminal:
        _write_rich(columns, all_rows, out)
    else:
        _write_plain([columns, *all_rows], out)


def _write_plain(lines: Sequence[Sequence[str]], out: TextIO) -> None:
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    for line in lines:
        cells = (cell.ljust(w) for cell, w in zip(line, widths, strict=True))
        out.write("  ".join(cells).rstrip() + "\n")


def _write_rich(
    columns: Sequence[str], rows: Sequence[Sequence[str]], out: TextIO
) -> None:
    # Imported here because rich is slow to import and not always needed.
    import rich.console
    import rich.markup
    import rich.table

    table = rich.table.Table(*columns)
    for row in rows:
        table.add_row(*(rich.markup.escape(cell) for cell in row))
    rich.console.Console(file=out).print(table)
