"""The capacity page matches its slopes file."""

import msgspec
import pytest

from benchmarks import capacity
from benchmarks import capacity_rows


def read_slopes() -> capacity_rows.Slopes:
    encoded = capacity.SLOPES.read_bytes()
    return msgspec.json.decode(encoded, type=capacity_rows.Slopes)


def test_page_tables_match_the_slopes() -> None:
    tables = capacity.write_tables(capacity_rows.Size(), read_slopes())
    page = capacity.PAGE.read_text()
    assert page == capacity.replace_tables(page, tables)


def test_slopes_match_the_results() -> None:
    assert capacity.read_slopes() == read_slopes()


@pytest.mark.parametrize("title", capacity_rows.TABLES)
def test_page_discusses_each_open_row(title: str) -> None:
    rows = capacity_rows.TABLES[title](capacity_rows.Size(), read_slopes())
    section = capacity.PAGE.read_text().partition("## Open rows\n")[2]
    open_rows = [row.what for row in rows if "open" in row.verdict]
    assert [what for what in open_rows if f"**{what}**" not in section] == []
