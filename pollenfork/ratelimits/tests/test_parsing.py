import math

import pytest

from pollenfork.ratelimits import parsing


def test_an_answer_without_a_rate_sets_no_limit() -> None:
    assert parsing.parse(()) == parsing.ParsedLimit()


def test_a_number_is_the_rate() -> None:
    assert parsing.parse((2.5,)) == parsing.ParsedLimit(2.5)


@pytest.mark.parametrize("rate", [0.0, -3.0, -math.inf])
def test_zero_or_less_allows_an_occasional_request(rate) -> None:
    parsed = parsing.parse((rate,))
    assert parsed.rate == parsing.MIN_RATE
    assert not parsed.well_formed


@pytest.mark.parametrize("rate", [1e300, math.inf])
def test_an_absurdly_large_rate_counts_as_no_limit(rate) -> None:
    parsed = parsing.parse((rate,))
    assert parsed.rate is None and parsed.readable and not parsed.well_formed


@pytest.mark.parametrize("given", [(math.nan,), (None,), (None, math.nan)])
def test_rates_that_are_not_numbers_are_unreadable(given) -> None:
    assert not parsing.parse(given).readable


def test_the_lower_of_two_rates_applies() -> None:
    parsed = parsing.parse((5.0, 2.0))
    assert parsed.rate == 2.0 and not parsed.well_formed
    assert parsing.parse((None, 2.0)).rate == 2.0
