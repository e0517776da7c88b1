"""Tables on the standard output: rich on a terminal, else plain."""

from collections.abc import Iterable, Sequence
from typing import TextIO


def write_table(
    columns: Sequence[str],
    rows: Iterable[Sequence[str]],
    out: TextIO,
    is_terminal: bool,
) -> None:
    """Writes a table whose rows have a cell for each column."""
    kept = list(rows)
    if is_terminal:
        _write_rich(columns, kept, out)
    else:
        _write_plain([columns, *kept], out)


def _write_plain(lines: Sequence[Sequence[str]], out: TextIO) -> None:
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    for line in lines:
        cells = (cell.ljust(w) for cell, w in zip(line, widths, strict=True))
        out.write("  ".join(cells).rstrip() + "\n")


def _write_rich(
    columns: Sequence[str], rows: Sequence[Sequence[str]], out: TextIO
) -> None:
    # Only a terminal needs rich, and it is slow to import.
    import rich.console
    import rich.markup
    import rich.table

    table = rich.table.Table(*columns)
    for row in rows:
        table.add_row(*(rich.markup.escape(cell) for cell in row))
    rich.console.Console(file=out).print(table)
