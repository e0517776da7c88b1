"""The capacity page stands on its slopes file, figure by figure."""

import msgspec
import pytest

from benchmarks import capacity
from benchmarks import capacity_rows


def read_slopes() -> capacity_rows.Slopes:
    encoded = capacity.SLOPES.read_bytes()
    return msgspec.json.decode(encoded, type=capacity_rows.Slopes)


def test_page_has_the_tables_that_the_slopes_give() -> None:
    tables = capacity.write_tables(capacity_rows.Size(), read_slopes())
    page = capacity.PAGE.read_text()
    assert page == capacity.replace_tables(page, tables)


def test_slopes_are_those_of_the_results() -> None:
    assert capacity.read_slopes() == read_slopes()


@pytest.mark.parametrize("title", capacity_rows.TABLES)
def test_each_open_row_is_spoken_of_on_the_page(title: str) -> None:
    rows = capacity_rows.TABLES[title](capacity_rows.Size(), read_slopes())
    section = capacity.PAGE.read_text().partition("## Open rows\n")[2]
    opened = [row.what for row in rows if "open" in row.verdict]
    assert [what for what in opened if f"**{what}**" not in section] == []
