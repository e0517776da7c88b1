"""A short seeded run of the soak; more seeds are run by hand."""

import asyncio

import pytest

from pollenfork.platform.tests.soak import play


# 102: SIGHUP came to a process that was still loading, and ended it.
# From 1000 on runners start again under their ids, and entries are overwritten.
@pytest.mark.parametrize("seed", [3, 102, 1000])
def test_promises_hold_under_random_faults(seed, tmp_path) -> None:
    played = asyncio.run(play.play(seed, seconds=4.0, folder=tmp_path))
    assert played.broken == []
    assert played.served > 50
