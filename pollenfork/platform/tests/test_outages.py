"""All gateways are killed at once, beside two versions of the runners."""

import asyncio

import pytest

from pollenfork.platform.tests.soak import outages

SEED = 88
# The rules ask for half of the share of new streams that begin.
GO_ON = 0.5


def play(folder, scene, **given) -> outages.Played:
    return asyncio.run(outages.Play(SEED, folder).run(scene, **given))


# Guards against streams of a version that is gone which go on at the only one
# that instances have seen since they started.
def test_late_callers_get_no_text_of_two_versions(tmp_path) -> None:
    played = play(tmp_path, "gone")
    assert played.streams > 0
    assert played.mixed == 0, played
    assert played.disordered == 0, played


# Guards against streams that are refused after a loss of all instances while
# runners of their version serve.
@pytest.mark.parametrize("scene", ["both", "series", "same"])
def test_streams_go_on_after_a_loss_of_all_instances(scene, tmp_path) -> None:
    played = play(tmp_path, scene, late_s=(0.0, 0.0), tries_s=12.0)
    assert played.taken_up >= 12, played
    assert played.went_on >= GO_ON * played.began, played
    assert played.mixed == 0, played
    assert played.disordered == 0, played


# Guards against believing the entries of runners that started again during a
# loss of all instances, and against refusing what the others could go on with.
def test_restarts_in_place_during_an_outage_mix_no_streams(tmp_path) -> None:
    played = play(tmp_path, "in_place", late_s=(0.0, 0.0), tries_s=12.0)
    assert played.taken_up >= 12, played
    assert played.went_on >= GO_ON * played.began, played
    assert played.mixed == 0, played
    assert played.disordered == 0, played
