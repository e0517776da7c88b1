"""Pauses that runners request."""

import math

import pytest

from pollenfork.fleet import pauses


@pytest.mark.parametrize(
    ("stated", "seconds", "well_formed"),
    [
        ((), None, True),
        ((3.0,), 3.0, True),
        ((0.25,), 0.25, True),
        ((0.0,), 0.0, True),
        ((1.0, 3.0), 3.0, False),
        ((None, 2.0), 2.0, False),
        ((None,), None, False),
        ((-1.0,), None, False),
        ((math.nan,), None, False),
        ((math.inf,), None, False),
        ((1e300,), None, False),
    ],
)
def test_each_stated_figure_has_a_meaning(stated, seconds, well_formed) -> None:
    parsed = pauses.parse(stated)
    assert (parsed.seconds, parsed.well_formed) == (seconds, well_formed)
