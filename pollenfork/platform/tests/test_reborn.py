"""Runners that start again under their ids with another software version."""

import asyncio

import pytest

from pollenfork.platform.tests.soak import reborn


# Guards against streams that go on at another version because a runner's entry
# is believed after its process has ended.
@pytest.mark.parametrize(
    ("scene", "seed", "callers"),
    [
        ("cut", 2, 30),
        ("cut", 3, 30),
        ("starts", 6, 30),
        ("restarts", 11, 120),
        ("late", 11, 120),
    ],
)
def test_streams_keep_their_version_as_runners_restart_in_place(
    scene, seed, callers, tmp_path
) -> None:
    outcome = asyncio.run(reborn.play(seed, tmp_path, scene, callers))
    assert outcome.mixed == 0, outcome
    assert outcome.disordered == 0, outcome
    assert outcome.began >= 0.9, outcome
    assert outcome.went_on >= 0.9, outcome
    assert outcome.completed >= 0.9, outcome
