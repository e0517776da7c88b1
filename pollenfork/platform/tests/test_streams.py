"""Short seeded plays of streams that are spoiled, cut, left and resumed."""

import asyncio

import pytest

from pollenfork.platform.tests.soak import streams


# Guards against streams that reach callers out of order, joined of runs that
# don't follow each other, with foreign bytes, or cut short as if complete.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_streams_hold_their_promises_under_overlapping_faults(
    seed, tmp_path
) -> None:
    scale = streams.Scale(least_spoiled=30)
    outcome = asyncio.run(streams.play(seed, 4.0, tmp_path, scale))
    assert outcome.broken == []
    assert outcome.complete > 100, outcome
    assert outcome.resumed > 20, outcome
    assert outcome.spoiled > 20, outcome
