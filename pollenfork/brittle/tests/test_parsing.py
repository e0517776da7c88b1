"""What a runner states about its brittleness."""

import pytest

from pollenfork.brittle import parsing


def test_no_statement_means_not_brittle() -> None:
    assert parsing.parse(()) is parsing.NOT_BRITTLE


@pytest.mark.parametrize("stated", [0.0, 5.0, 2.5, 1e300])
def test_a_number_of_zero_or_more_is_taken(stated) -> None:
    assert parsing.parse((stated,)) == parsing.ParsedLimit(stated)


@pytest.mark.parametrize("stated", [-1.0, float("nan"), float("inf"), None])
def test_nonsense_is_taken_for_the_most_brittle(stated) -> None:
    assert parsing.parse((stated,)) == parsing.ParsedLimit(0.0, False)


def test_the_lowest_of_several_applies() -> None:
    assert parsing.parse((5.0, 3.0)) == parsing.ParsedLimit(3.0, False)
    assert parsing.parse((5.0, None)) == parsing.ParsedLimit(5.0, False)
