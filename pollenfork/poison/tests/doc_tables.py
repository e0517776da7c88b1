"""Reads tables of the documentation, which tests compare with the code."""

import pathlib


def find_row(page: pathlib.Path, name: str) -> list[str]:
    """Returns the cells of the first row whose first cell contains a name."""
    rows = [
        [cell.strip() for cell in line.split("|")[1:-1]]
        for line in page.read_text().splitlines()
        if line.startswith("|")
    ]
    return next(row for row in rows if name in row[0])
